//! What operators see: acknowledgements, refusals and reads of the document.

use super::Violation;
use super::documents::{Void, is_acknowledged, is_refused};
use super::facts::Facts;
use crate::soak::history::{DocumentRead, History};

/// Figures on publications that are no breach by themselves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    pub acknowledged: usize,
    /// Longest time from the first sending of a valid document to its first acknowledgement.
    pub slowest_acknowledgement_ms: u64,
    /// Valid documents without an acknowledgement that a higher version has overtaken.
    pub overtaken: usize,
}

pub fn figures(history: &History) -> Figures {
    let facts = Facts::new(history);
    let valid = || facts.documents.iter().filter(|known| known.void.is_none());
    let newest = facts.floor_version(u64::MAX, 0);
    let waits: Vec<u64> = valid()
        .filter_map(|known| Some(known.acknowledged_ms? - known.first_sent_ms))
        .collect();
    let overtaken = valid()
        .filter(|known| known.acknowledged_ms.is_none() && known.document.version < newest)
        .count();
    Figures {
        acknowledged: waits.len(),
        slowest_acknowledgement_ms: waits.into_iter().max().unwrap_or(0),
        overtaken,
    }
}

/// CONFIG: an invalid document is acknowledged.
pub(super) fn invalid_acknowledged(facts: &Facts) -> Vec<Violation> {
    let publications = facts.history.publications.iter();
    let acknowledged = publications.filter(|publication| is_acknowledged(publication));
    acknowledged
        .filter_map(|publication| {
            let document = facts.history.documents.get(&publication.content)?;
            let fault = document.fault.as_ref()?;
            let detail = format!(
                "{} acknowledged the invalid version {}: {fault}",
                publication.process, publication.version
            );
            Some(Violation::new("CONFIG", publication.sent_ms, detail))
        })
        .collect()
}

/// ACKS: a valid document that was not acknowledged before is refused.
pub(super) fn valid_refused(facts: &Facts) -> Vec<Violation> {
    refusals(facts, "ACKS", |acknowledged_ms, sent_ms| {
        acknowledged_ms.is_none_or(|at_ms| at_ms >= sent_ms)
    })
}

/// CONFIG: a document that was acknowledged is sent again and refused.
pub(super) fn refused_again(facts: &Facts) -> Vec<Violation> {
    refusals(facts, "CONFIG", |acknowledged_ms, sent_ms| {
        acknowledged_ms.is_some_and(|at_ms| at_ms < sent_ms)
    })
}

fn refusals(
    facts: &Facts,
    rule: &'static str,
    counts: impl Fn(Option<u64>, u64) -> bool,
) -> Vec<Violation> {
    let publications = facts.history.publications.iter();
    let refused = publications.filter(|publication| is_refused(publication));
    refused
        .filter_map(|publication| {
            let mut documents = facts.documents.iter();
            let known = documents.find(|known| {
                known.content == publication.content && known.document.fault.is_none()
            })?;
            let detail = format!(
                "{} refused the valid version {} with {}, acknowledged at {:?}",
                publication.process,
                publication.version,
                publication.status.unwrap_or_default(),
                known.acknowledged_ms
            );
            counts(known.acknowledged_ms, publication.sent_ms)
                .then(|| Violation::new(rule, publication.sent_ms, detail))
        })
        .collect()
}

/// CONFIG: a process, in touch or not, returns an older version than one that was acknowledged
/// the apply time before the read.
pub(super) fn older_read(facts: &Facts) -> Vec<Violation> {
    let reads = facts.history.reads.iter();
    reads
        .filter_map(|read| {
            let (version, _) = read.document?;
            let floor = facts.floor_version(read.sent_ms, facts.bounds.apply_ms);
            (version < floor).then(|| {
                let detail = format!("{} returned version {version} of {floor}", read.process);
                Violation::new("CONFIG", read.sent_ms, detail)
            })
        })
        .collect()
}

/// CONFIG: what a process returns is not what was sent under its version.
pub(super) fn unknown_read(facts: &Facts) -> Vec<Violation> {
    let reads = facts.history.reads.iter();
    let successes = reads.filter(|read| read.status == Some(200));
    successes
        .filter_map(|read| {
            let is_known = read.document.is_some_and(|(version, content)| {
                let mut documents = facts.documents.iter();
                documents.any(|known| known.content == content && known.document.version == version)
            });
            (!is_known).then(|| {
                let detail = format!("{} returned {:?}, never sent", read.process, read.document);
                Violation::new("CONFIG", read.sent_ms, detail)
            })
        })
        .collect()
}

/// CONFIG: what was invalid or refused, or sent under a version that was held, is read back.
pub(super) fn void_read(facts: &Facts) -> Vec<Violation> {
    let reads = facts.history.reads.iter();
    reads
        .filter_map(|read| {
            let (version, content) = read.document?;
            let mut documents = facts.documents.iter();
            let void = documents.find(|known| known.content == content)?.void?;
            let detail = format!("{} returned version {version}: {void}", read.process);
            Some(Violation::new("CONFIG", read.sent_ms, detail))
        })
        .collect()
}

/// CONFIG: at the end, the document is not returned.
pub(super) fn final_read(facts: &Facts) -> Vec<Violation> {
    let final_reads: Vec<&DocumentRead> = final_reads(facts).collect();
    let was_acknowledged = facts.floor_version(u64::MAX, 0) > 0;
    let comes = final_reads.iter().any(|read| read.document.is_some());
    match final_reads.first() {
        Some(first) if was_acknowledged && !comes => {
            let detail = format!(
                "none of {} reads at the end was answered",
                final_reads.len()
            );
            vec![Violation::new("CONFIG", first.sent_ms, detail)]
        }
        _ => Vec::new(),
    }
}

/// LOST: at the end, the document is older than the newest acknowledged one.
pub(super) fn acknowledged_gone(facts: &Facts) -> Vec<Violation> {
    final_reads(facts)
        .filter_map(|read| {
            let (version, _) = read.document?;
            let newest = facts.floor_version(read.sent_ms, 0);
            (version < newest).then(|| {
                let detail = format!(
                    "{} returned version {version} at the end; {newest} was acknowledged",
                    read.process
                );
                Violation::new("LOST", read.sent_ms, detail)
            })
        })
        .collect()
}

fn final_reads<'a>(facts: &Facts<'a>) -> impl Iterator<Item = &'a DocumentRead> {
    facts.history.reads.iter().filter(|read| read.is_final)
}

impl std::fmt::Display for Void {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Invalid => "it is invalid",
            Self::Refused => "it was refused",
            Self::VersionTaken => "other content was acknowledged under its version before",
        })
    }
}
