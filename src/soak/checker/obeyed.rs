//! Which document requests are handled by.

use std::collections::{BTreeMap, BTreeSet};

use super::Violation;
use super::documents::{Handling, Known};
use super::facts::{Facts, is_served};
use super::touch::overlaps;
use crate::soak::history::{Call, FaultKind};

/// Number of requests on added routes from which they must be served.
const MIN_ADDED_CALLS: usize = 20;

/// Factor of the rollback tolerance at processes that are frozen or have slow links.
const SLOWED_FACTOR: u64 = 8;

/// One handling of a request with the versions that allow it.
struct Obeyed<'a> {
    call: &'a Call,
    handling: Handling<'a>,
    at_ms: u64,
    /// Lowest and highest version; `None` if only void documents allow it.
    versions: Option<(u64, u64)>,
}

/// Returns each handling of a request that some document allows which was sent before it.
fn handlings<'a>(facts: &Facts<'a>) -> Vec<Obeyed<'a>> {
    let calls = facts.history.calls.iter();
    let handlings = calls.flat_map(|call| {
        let handlings = facts.handlings(call).into_iter();
        handlings.map(move |(handling, at_ms)| (call, handling, at_ms))
    });
    handlings
        .filter_map(|(call, handling, at_ms)| {
            let allowing: Vec<&Known> = facts
                .documents
                .iter()
                .filter(|known| known.first_sent_ms <= at_ms && known.allows(call, handling))
                .collect();
            let mut live = allowing.iter().filter(|known| known.void.is_none());
            let lowest = live.next().map(|known| known.document.version);
            let highest = live.next_back().map(|known| known.document.version);
            (!allowing.is_empty()).then(|| Obeyed {
                call,
                handling,
                at_ms,
                versions: lowest.map(|lowest| (lowest, highest.unwrap_or(lowest))),
            })
        })
        .collect()
}

/// CONFIG: requests are handled as only an older or a void document allows.
pub(super) fn obeyed(facts: &Facts) -> Vec<Violation> {
    let handlings = handlings(facts);
    let mut violations = older_obeyed(facts, &handlings);
    violations.extend(void_obeyed(&handlings));
    violations.extend(regressed(facts, handlings));
    violations
}

fn describe(obeyed: &Obeyed) -> String {
    let Obeyed { call, handling, .. } = obeyed;
    format!(
        "{} handled request {} for {}{} sent at {} as {handling:?}",
        call.process, call.id, call.host, call.path, call.sent_ms
    )
}

/// A process in touch handles a request as only an older version allows than one that was
/// acknowledged the apply time before the request.
fn older_obeyed(facts: &Facts, handlings: &[Obeyed]) -> Vec<Violation> {
    handlings
        .iter()
        .filter_map(|obeyed| {
            let (_, highest) = obeyed.versions?;
            let floor = facts.floor_version(obeyed.call.sent_ms, facts.bounds.apply_ms);
            let is_old = highest < floor && facts.is_in_touch_until(obeyed.call, obeyed.at_ms);
            is_old.then(|| {
                let detail = format!("{}: version {highest} of {floor}", describe(obeyed));
                Violation::new("CONFIG", obeyed.at_ms, detail)
            })
        })
        .collect()
}

/// A request is handled as only a document allows that was invalid or refused, or sent under a
/// version that was held.
fn void_obeyed(handlings: &[Obeyed]) -> Vec<Violation> {
    let void = handlings.iter().filter(|obeyed| obeyed.versions.is_none());
    void.map(|obeyed| {
        let detail = format!("{}: only a void document allows it", describe(obeyed));
        Violation::new("CONFIG", obeyed.at_ms, detail)
    })
    .collect()
}

/// One incarnation of a process handles a request as only an older version allows than one whose
/// effect an instance has seen before.
fn regressed(facts: &Facts, handlings: Vec<Obeyed>) -> Vec<Violation> {
    let mut by_process: BTreeMap<(&str, usize), Vec<Obeyed>> = BTreeMap::new();
    for obeyed in handlings {
        let process = &*obeyed.call.process;
        let incarnation = incarnation(facts, process, obeyed.call.sent_ms);
        by_process
            .entry((process, incarnation))
            .or_default()
            .push(obeyed);
    }
    let incarnations = by_process.values();
    incarnations
        .flat_map(|list| regressions(facts, list))
        .collect()
}

fn regressions(facts: &Facts, handlings: &[Obeyed]) -> Vec<Violation> {
    let mut effects: Vec<(u64, u64)> = handlings
        .iter()
        .filter(|obeyed| matches!(obeyed.handling, Handling::Run(_)))
        .filter_map(|obeyed| Some((obeyed.at_ms, obeyed.versions?.0)))
        .collect();
    effects.sort_unstable();
    let mut newest = 0;
    for (_, version) in &mut effects {
        newest = newest.max(*version);
        *version = newest;
    }
    handlings
        .iter()
        .filter_map(|obeyed| {
            let (_, highest) = obeyed.versions?;
            let slack_ms = rollback_slack_ms(facts, obeyed);
            let seen = effects.partition_point(|(at_ms, _)| at_ms + slack_ms < obeyed.call.sent_ms);
            let seen = seen.checked_sub(1).map_or(0, |index| effects[index].1);
            (highest < seen).then(|| {
                let detail = format!("{}: version {highest} after {seen}", describe(obeyed));
                Violation::new("CONFIG", obeyed.at_ms, detail)
            })
        })
        .collect()
}

/// Returns the number of starts of a process before a time.
fn incarnation(facts: &Facts, process: &str, at_ms: u64) -> usize {
    let faults = facts.history.faults.iter();
    let starts = faults.filter(|fault| {
        let restarts = matches!(
            fault.kind,
            FaultKind::Terminate | FaultKind::Kill | FaultKind::DiskLost
        );
        restarts && &*fault.target == process && fault.until_ms <= at_ms
    });
    let exits = facts.history.unexpected_exits.iter();
    let exits = exits.filter(|exit| &*exit.process == process && exit.at_ms <= at_ms);
    starts.count() + exits.count()
}

fn rollback_slack_ms(facts: &Facts, obeyed: &Obeyed) -> u64 {
    let slack_ms = facts.bounds.rollback_slack_ms;
    let since_ms = obeyed.call.sent_ms.saturating_sub(slack_ms * SLOWED_FACTOR);
    let is_slowed = facts.history.faults.iter().any(|fault| {
        matches!(
            fault.kind,
            FaultKind::Freeze | FaultKind::Link | FaultKind::LinkHeld
        ) && *fault.target == *obeyed.call.process
            && overlaps(fault, since_ms, obeyed.at_ms)
    });
    match is_slowed {
        true => slack_ms * SLOWED_FACTOR,
        false => slack_ms,
    }
}

/// CONFIG: a request runs with a key that a document acknowledged long enough before took away, at
/// any process.
pub(super) fn revoked_key_run(facts: &Facts) -> Vec<Violation> {
    let calls = facts.history.calls.iter();
    let runs = calls.flat_map(|call| facts.runs(&call.id).map(move |run| (call, run)));
    runs.filter_map(|(call, run)| {
        let key = call.key.as_ref()?;
        let floor = facts.floor_version(call.sent_ms, facts.bounds.revoke_ms);
        let live = || {
            let documents = facts.documents.iter();
            documents.filter(|known| known.void.is_none() && known.first_sent_ms <= run.arrived_ms)
        };
        let was_held = live()
            .any(|known| known.document.version < floor && known.document.keys.contains_key(key));
        let mut in_force = live().filter(|known| known.document.version >= floor);
        let may_run =
            in_force.any(|known| known.route(call).is_some_and(|r| known.admits(r, call)));
        (was_held && !may_run && is_revoked(facts, call, floor)).then(|| {
            let detail = format!(
                "request {} of {} ran with a key that version {floor} took away",
                call.id, call.process
            );
            Violation::new("CONFIG", run.arrived_ms, detail)
        })
    })
    .collect()
}

/// Returns true if no document from a version on has the key of a call.
fn is_revoked(facts: &Facts, call: &Call, version: u64) -> bool {
    let documents = facts.documents.iter();
    let mut newer = documents.filter(|known| {
        known.void.is_none()
            && known.document.version >= version
            && known.first_sent_ms <= call.ended_ms
    });
    let holds = |known: &Known| {
        let key = call.key.as_ref();
        key.is_some_and(|key| known.document.keys.contains_key(key))
    };
    !newer.any(holds)
}

/// CONFIG: in steady state, processes in touch serve requests on routes that were added later less
/// than a quarter as often as those on the first routes.
pub(super) fn added_routes_starved(facts: &Facts) -> Vec<Violation> {
    let Some(first) = facts.documents.iter().find(|known| known.void.is_none()) else {
        return Vec::new();
    };
    let routes = first.document.routes.iter();
    let first_routes: BTreeSet<_> = routes.map(|route| (&route.host, &route.prefix)).collect();
    let (mut old, mut added) = (Vec::new(), Vec::new());
    for call in &facts.history.calls {
        let routes: Vec<_> = facts
            .candidates(call.sent_ms, call.ended_ms)
            .map(|known| known.route(call).filter(|r| known.admits(r, call)))
            .collect();
        let Some(route) = routes.first().copied().flatten() else {
            continue;
        };
        if routes.iter().any(Option::is_none) || !facts.is_in_touch_until(call, call.ended_ms) {
            continue;
        }
        match first_routes.contains(&(&route.host, &route.prefix)) {
            true => old.push(call),
            false => added.push(call),
        }
    }
    let served = |calls: &[&Call]| calls.iter().filter(|call| is_served(call)).count();
    let is_starved = served(&added) * 4 * old.len() < served(&old) * added.len();
    match added.first() {
        Some(call) if added.len() >= MIN_ADDED_CALLS && is_starved => {
            let detail = format!(
                "{} of {} requests on added routes were served, {} of {} on the first ones",
                served(&added),
                added.len(),
                served(&old),
                old.len()
            );
            vec![Violation::new("CONFIG", call.sent_ms, detail)]
        }
        _ => Vec::new(),
    }
}
