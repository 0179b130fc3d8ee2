//! The history of a run with the look-up tables that the checks share.

use std::collections::BTreeMap;

use super::documents::{Handling, Known, known_documents};
use super::touch::is_in_touch;
use crate::soak::history::{Bounds, Call, CallEnd, Execution, ExecutionEnd, History, SentRoute};

pub(super) struct Facts<'a> {
    pub history: &'a History,
    pub bounds: Bounds,
    /// The documents that were sent, by version.
    pub documents: Vec<Known<'a>>,
    pub calls: BTreeMap<&'a str, &'a Call>,
    /// Arrivals at instances by request, in the order of their times.
    arrivals: BTreeMap<&'a str, Vec<&'a Execution>>,
}

impl<'a> Facts<'a> {
    pub fn new(history: &'a History) -> Self {
        let mut arrivals: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
        for execution in &history.executions {
            arrivals.entry(&execution.id).or_default().push(execution);
        }
        for list in arrivals.values_mut() {
            list.sort_by_key(|execution| execution.arrived_ms);
        }
        Self {
            history,
            bounds: history.bounds,
            documents: known_documents(history),
            calls: history.calls.iter().map(|call| (&*call.id, call)).collect(),
            arrivals,
        }
    }

    /// Returns the arrivals of a request, with those that the instance refused.
    pub fn arrivals(&self, id: &str) -> &[&'a Execution] {
        self.arrivals.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the executions of a request, without arrivals that the instance did not run.
    pub fn runs(&self, id: &str) -> impl Iterator<Item = &'a Execution> {
        let arrivals = self.arrivals(id).iter().copied();
        arrivals.filter(|execution| execution.end != ExecutionEnd::Refused)
    }

    pub fn is_in_touch(&self, process: &str, at_ms: u64) -> bool {
        is_in_touch(self.history, process, at_ms)
    }

    /// Returns true if the process of a call was in touch when it was sent and at a later time.
    pub fn is_in_touch_until(&self, call: &Call, at_ms: u64) -> bool {
        self.is_in_touch(&call.process, call.sent_ms) && self.is_in_touch(&call.process, at_ms)
    }

    /// Returns the highest version that was acknowledged more than `after_ms` before a time; 0 if
    /// there was none.
    pub fn floor_version(&self, at_ms: u64, after_ms: u64) -> u64 {
        let valid = self.documents.iter().filter(|known| known.void.is_none());
        let acknowledged = valid.filter(|known| {
            known
                .acknowledged_ms
                .is_some_and(|acknowledged_ms| acknowledged_ms + after_ms < at_ms)
        });
        acknowledged
            .map(|known| known.document.version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the documents that may decide on a request in a span of time.
    pub fn candidates(&self, since_ms: u64, until_ms: u64) -> impl Iterator<Item = &Known<'a>> {
        let floor = self.floor_version(since_ms, self.bounds.apply_ms);
        self.documents.iter().filter(move |known| {
            known.void.is_none()
                && known.document.version >= floor
                && known.first_sent_ms <= until_ms
        })
    }

    /// Returns the routes that a call may have had.
    pub fn routes(&self, call: &Call) -> Vec<&'a SentRoute> {
        self.candidates(call.sent_ms, call.ended_ms)
            .filter_map(|known| known.route(call))
            .collect()
    }

    /// Returns how a call was handled, each time with the moment at which this was seen.
    pub fn handlings(&self, call: &Call) -> Vec<(Handling<'a>, u64)> {
        let runs = self.runs(&call.id);
        let mut handlings: Vec<_> = runs
            .map(|run| (Handling::Run(&run.service), run.arrived_ms))
            .collect();
        let status = call.status.filter(|_| !call.is_sealed);
        if let (true, Some(401 | 403 | 404)) = (handlings.is_empty(), status) {
            handlings.push((Handling::Refused, call.head_ms.unwrap_or(call.ended_ms)));
        }
        handlings
    }
}

/// Returns true if a call may run at most once.
pub(super) fn runs_once(call: &Call) -> bool {
    call.is_stream || !call.may_repeat
}

/// Returns true if a call had a complete success.
pub(super) fn is_served(call: &Call) -> bool {
    call.end == CallEnd::Complete && call.status.is_some_and(|status| status / 100 == 2)
}
