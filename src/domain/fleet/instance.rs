//! What an entry knows of one instance.

// Times in milliseconds and counts of tokens stay far below what a float holds exactly.
#![allow(clippy::cast_precision_loss)]

use super::pause::Pause;
use super::{Listed, ListedState, Report};

/// Time for which an instance that could not be reached is avoided; doubled for each failure.
const AVOID_FIRST_MS: u64 = 400;
const AVOID_MOST_MS: u64 = 4_000;
/// Weight of the newest answer in an instance's running averages, one in this many.
const AVERAGE_OVER: f64 = 12.0;
/// Time in which what was learned of an instance counts half. Without it an instance that failed
/// once would never be tried again while others are free.
const MEMORY_HALF_LIFE_MS: f64 = 3_000.0;
/// An instance that fails all its requests counts as this many times as slow.
const FAILURE_WEIGHT: f64 = 12.0;
/// A list that calls a leaving instance ready is believed if it was read this long after the first
/// word of its leaving: answers of the platform's list lag by most of a second, each by another time.
const LIST_BELIEVED_AFTER_MS: u64 = 2_000;

/// What an entry knew of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Known {
    pub running: u32,
    pub committed_tokens: u64,
    pub prefill_tokens: u64,
    /// Memory in use by the last report told, and the report's age.
    pub used_tokens: Option<u64>,
    pub report_age_ms: Option<u64>,
    /// Average time of its plain calls, the part that failed in hundredths, and when the last one
    /// ended. None before the first one.
    pub average_ms: Option<u64>,
    pub failed_percent: Option<u64>,
    pub observed_age_ms: Option<u64>,
}

/// That an instance is leaving, and when it will be gone if that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    pub gone_at_ms: Option<u64>,
}

/// How a request ended at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered {
        took_ms: u64,
    },
    /// The instance answered with a failure of its own.
    Failed,
    /// The instance did not run the request.
    Refused,
    /// No connection, or no complete answer.
    Unreachable,
}

/// What a request's end has changed in the belief that an instance can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    Unchanged,
    /// It is avoided for so long, after so many failures in a row.
    Lost {
        avoid_ms: u64,
        failures: u32,
    },
    Regained,
}

/// What the hub has told of an instance.
#[derive(Debug, Clone)]
pub(super) struct Others {
    /// The report, and when the hub got it.
    pub(super) report: Option<(Report, u64)>,
    /// What all other entries have placed there.
    pub(super) running: u32,
    pub(super) committed_tokens: u64,
    pub(super) prefill_tokens: u64,
}

#[derive(Debug, Clone)]
pub(super) struct Instance {
    pub(super) listed: Listed,
    /// What this entry has placed there.
    pub(super) running: u32,
    pub(super) committed_tokens: u64,
    pub(super) prefill_tokens: u64,
    /// What the others have, as last told.
    pub(super) others: Option<Others>,
    pub(super) leaving: Option<Leaving>,
    /// When the list first showed that it leaves.
    delisted_ms: Option<u64>,
    pub(super) avoid_until_ms: u64,
    /// What the instance has asked this machine for.
    pub(super) pause: Pause,
    pub(super) failures_in_row: u32,
    /// Average time of answered calls; meaningless before the first one.
    pub(super) average_ms: f64,
    pub(super) answered: bool,
    pub(super) failure_rate: f64,
    /// When the last request ended.
    pub(super) observed_ms: u64,
}

impl Instance {
    pub(super) fn new(listed: Listed) -> Self {
        Self {
            listed,
            running: 0,
            committed_tokens: 0,
            prefill_tokens: 0,
            others: None,
            leaving: None,
            delisted_ms: None,
            avoid_until_ms: 0,
            pause: Pause::default(),
            failures_in_row: 0,
            average_ms: 0.0,
            answered: false,
            failure_rate: 0.0,
            observed_ms: 0,
        }
    }

    /// Takes what a list that was read at `read_ms` says of the instance. What it says of an earlier
    /// start is ignored.
    pub(super) fn list(&mut self, listed: Listed, read_ms: u64) {
        if listed.born_ms.is_some() && listed.born_ms < self.listed.born_ms {
            return;
        }
        let believed_ms = self.delisted_ms.map(|at_ms| at_ms + LIST_BELIEVED_AFTER_MS);
        let is_back = listed.state == ListedState::Ready
            && believed_ms.is_some_and(|believed_ms| read_ms >= believed_ms);
        let started_later = listed.born_ms > self.listed.born_ms && self.listed.born_ms.is_some();
        if is_back || started_later || listed.address != self.listed.address {
            self.reset();
        }
        if started_later {
            self.pause = Pause::default();
        }
        let born_ms = listed.born_ms.or(self.listed.born_ms);
        self.listed = Listed { born_ms, ..listed };
        if self.listed.state == ListedState::Draining {
            self.delist(None, read_ms);
        }
    }

    /// Takes from a list that was read at `read_ms` that the instance leaves, or is gone.
    pub(super) fn delist(&mut self, gone_at_ms: Option<u64>, read_ms: u64) {
        self.delisted_ms.get_or_insert(read_ms);
        self.leave(gone_at_ms);
    }

    /// Takes note that the instance leaves; what was known of it before counts.
    pub(super) fn leave(&mut self, gone_at_ms: Option<u64>) {
        self.leaving.get_or_insert(Leaving { gone_at_ms });
    }

    /// Returns true if something is known of the instance that must not be lost while a list leaves it
    /// out.
    pub(super) fn is_remembered(&self, now_ms: u64) -> bool {
        self.running > 0 || self.pause.left_ms(now_ms) > 0
    }

    /// Compares the start of the instance that reports with the known one, and begins anew after a
    /// later one. Returns false for a report of an earlier start.
    pub(super) fn accept_start(&mut self, born_ms: Option<u64>) -> bool {
        match (born_ms, self.listed.born_ms) {
            (Some(born_ms), Some(held_ms)) if born_ms < held_ms => return false,
            (Some(born_ms), Some(held_ms)) if born_ms > held_ms => {
                self.reset();
                self.pause = Pause::default();
                self.listed.state = ListedState::Ready;
            }
            _ => {}
        }
        self.listed.born_ms = born_ms.or(self.listed.born_ms);
        true
    }

    /// Forgets what was learned of an instance that has started again. What this entry has placed
    /// there is still counted off as its requests end. Time that it has asked for goes on, since it may
    /// only have been left out of a list.
    fn reset(&mut self) {
        *self = Self {
            running: self.running,
            committed_tokens: self.committed_tokens,
            prefill_tokens: self.prefill_tokens,
            pause: self.pause,
            ..Self::new(self.listed.clone())
        };
    }

    /// Returns what is known of the instance.
    // An average time is never negative, and the rate is between 0 and 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn known(&self, now_ms: u64) -> Known {
        let report = self.others.as_ref().and_then(|others| others.report);
        let is_observed = self.observed_ms > 0;
        Known {
            running: self.total_running(),
            committed_tokens: self.total_committed(),
            prefill_tokens: self.total_prefill(),
            used_tokens: report.map(|(report, _)| report.used_tokens),
            report_age_ms: report.map(|(_, at_ms)| now_ms.saturating_sub(at_ms)),
            average_ms: self.answered.then_some(self.average_ms as u64),
            failed_percent: is_observed.then_some((self.failure_rate * 100.0) as u64),
            observed_age_ms: is_observed.then(|| now_ms.saturating_sub(self.observed_ms)),
        }
    }

    /// Returns true if the instance takes requests: it neither leaves nor has asked for time.
    pub(super) fn is_open(&self, now_ms: u64) -> bool {
        self.listed.state == ListedState::Ready
            && self.leaving.is_none()
            && self.pause.left_ms(now_ms) == 0
    }

    pub(super) fn usable(&self, now_ms: u64) -> bool {
        self.is_open(now_ms) && self.avoid_until_ms <= now_ms
    }

    /// Returns true if this entry sends nothing more for now, so that load comes back by degrees after
    /// a pause.
    pub(super) fn holds_back(&self, now_ms: u64) -> bool {
        self.pause.holds_back(self.running, now_ms)
    }

    pub(super) fn total_running(&self) -> u32 {
        self.running + self.others.as_ref().map_or(0, |pulse| pulse.running)
    }

    pub(super) fn total_committed(&self) -> u64 {
        self.committed_tokens
            + self
                .others
                .as_ref()
                .map_or(0, |pulse| pulse.committed_tokens)
    }

    pub(super) fn total_prefill(&self) -> u64 {
        self.prefill_tokens + self.others.as_ref().map_or(0, |pulse| pulse.prefill_tokens)
    }

    /// Returns the expected time of a plain call on an idle instance. What was learned of it fades
    /// into what is typical of its service.
    pub(super) fn expected_ms(&self, typical_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.observed_ms) as f64;
        let kept = (-age_ms / MEMORY_HALF_LIFE_MS).exp2();
        let average_ms = match self.answered {
            false => typical_ms,
            true => typical_ms + (self.average_ms - typical_ms) * kept,
        };
        average_ms * (1.0 + FAILURE_WEIGHT * self.failure_rate * kept)
    }

    /// Learns from how a request ended.
    pub(super) fn observe(&mut self, outcome: Outcome, now_ms: u64) -> Reachability {
        let mut reachability = Reachability::Unchanged;
        let failed = match outcome {
            Outcome::Answered { took_ms } => {
                let took_ms = took_ms as f64;
                match self.answered {
                    false => self.average_ms = took_ms,
                    true => self.average_ms += (took_ms - self.average_ms) / AVERAGE_OVER,
                }
                self.answered = true;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::Refused => 0.5,
            Outcome::Unreachable => {
                let avoid_ms = AVOID_FIRST_MS << self.failures_in_row.min(8);
                let avoid_ms = avoid_ms.min(AVOID_MOST_MS);
                self.avoid_until_ms = now_ms + avoid_ms;
                self.failures_in_row += 1;
                reachability = Reachability::Lost {
                    avoid_ms,
                    failures: self.failures_in_row,
                };
                1.0
            }
        };
        if outcome != Outcome::Unreachable && std::mem::take(&mut self.failures_in_row) > 0 {
            reachability = Reachability::Regained;
        }
        self.observed_ms = now_ms;
        self.failure_rate += (failed - self.failure_rate) / AVERAGE_OVER;
        reachability
    }

    /// Returns true if the memory in use, as last reported, leaves room for so many tokens.
    pub(super) fn holds_now(&self, tokens: u64) -> bool {
        self.report().is_none_or(|report| report.holds(tokens))
    }

    pub(super) fn report(&self) -> Option<&Report> {
        self.others
            .as_ref()?
            .report
            .as_ref()
            .map(|(report, _)| report)
    }
}
