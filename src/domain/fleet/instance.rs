//! An entry's knowledge of one instance.

// Times in milliseconds and token counts are far below the largest integer that an `f64` represents
// exactly.
#![allow(clippy::cast_precision_loss)]

use super::cold::ColdState;
use super::local_share::{EntryShare, LocalUse, NAMED_LIMIT_PERCENT};
use super::pause::Pause;
use super::request_limit::{KnownLimit, LimitChange};
use super::{Listed, ListedState, Report};
use crate::domain::pace::{Gaps, PaceEstimate, PacedStreams};

/// How long an instance that could not be reached is avoided after the first failure. The time
/// doubles with each further failure.
const INITIAL_AVOID_MS: u64 = 400;
const MAX_AVOID_MS: u64 = 4_000;
/// The newest result has a weight of one in this many in an instance's running averages.
const AVERAGING_WINDOW: f64 = 12.0;
/// Half-life of an instance's observed duration and failure rate. Without decay, an instance that
/// failed once would never be tried again while others are available.
const OBSERVATION_HALF_LIFE_MS: f64 = 3_000.0;
/// Weight of the failure rate in the expected time: a call on an instance that fails all requests
/// is expected to take 1 + this many times as long.
const FAILURE_WEIGHT: f64 = 12.0;
/// A list that shows a leaving instance as ready takes effect only if it was read this long after
/// the first list that showed it leaving. The platform's list lags by most of a second, and by a
/// different time in each response.
const READY_AGAIN_DELAY_MS: u64 = 2_000;

/// What an entry knew of an instance at the time of a choice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InstanceSummary {
    pub running: u32,
    pub committed_tokens: u64,
    pub prefill_tokens: u64,
    /// Memory in use according to the last report received, and the report's age.
    pub used_tokens: Option<u64>,
    pub report_age_ms: Option<u64>,
    /// Its time per step in thousandths of the median of its service.
    pub slowness_permille: u32,
    /// Average time of its plain calls, the percentage that failed, and the time since the last one
    /// ended. `None` before the first one.
    pub average_ms: Option<u64>,
    pub failed_percent: Option<u64>,
    pub observed_age_ms: Option<u64>,
}

/// An instance's pending departure. `gone_at_ms` is `None` if the time is not known.
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
    /// The instance responded with an error of its own.
    Failed,
    /// The instance did not execute the request.
    Refused,
    /// No connection, or no complete response.
    Unreachable,
}

/// How the end of a request has changed whether an instance counts as reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    Unchanged,
    /// It is avoided for `avoid_ms`, after `failures` failures in a row.
    Lost {
        avoid_ms: u64,
        failures: u32,
    },
    Regained,
}

/// The hub's last update on an instance.
#[derive(Debug, Clone)]
pub(super) struct HubUpdate {
    /// The report, and when the hub received it.
    pub(super) report: Option<(Report, u64)>,
    /// Load of all other entries.
    pub(super) running: u32,
    pub(super) committed_tokens: u64,
    pub(super) prefill_tokens: u64,
    pub(super) paced: PacedStreams,
    pub(super) pace: Option<PaceEstimate>,
    /// The request limit that the hub knows.
    pub(super) limit_milli_per_s: Option<u64>,
}

#[derive(Debug, Clone)]
pub(super) struct Instance {
    pub(super) listed: Listed,
    /// Load of this entry.
    pub(super) running: u32,
    pub(super) committed_tokens: u64,
    pub(super) prefill_tokens: u64,
    pub(super) paced: PacedStreams,
    /// Gaps between events of this entry's streams since its last report.
    pub(super) gaps: Gaps,
    /// `None` before the first update.
    pub(super) hub_update: Option<HubUpdate>,
    pub(super) leaving: Option<Leaving>,
    /// When the list that first showed it leaving or gone was read.
    delisted_ms: Option<u64>,
    pub(super) avoid_until_ms: u64,
    /// The pause that the instance has requested from this machine.
    pub(super) pause: Pause,
    /// The request rate that the instance names for all machines together.
    pub(super) limit: KnownLimit,
    /// The cold time of the instance.
    pub(super) cold: ColdState,
    /// The hub grants no request to the instance before this time, because of its limit.
    pub(super) at_limit_until_ms: u64,
    /// Requests that were sent within the limit without the hub.
    pub(super) local_use: LocalUse,
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
            paced: PacedStreams::default(),
            gaps: Gaps::default(),
            hub_update: None,
            leaving: None,
            delisted_ms: None,
            avoid_until_ms: 0,
            pause: Pause::default(),
            limit: KnownLimit::default(),
            cold: ColdState::default(),
            at_limit_until_ms: 0,
            local_use: LocalUse::default(),
            failures_in_row: 0,
            average_ms: 0.0,
            answered: false,
            failure_rate: 0.0,
            observed_ms: 0,
        }
    }

    /// Updates the instance from a list that was read at `read_ms`. An earlier start in the list is
    /// ignored.
    pub(super) fn update_from_list(&mut self, listed: Listed, read_ms: u64) {
        if listed.born_ms.is_some() && listed.born_ms < self.listed.born_ms {
            return;
        }
        let accepted_from_ms = self.delisted_ms.map(|at_ms| at_ms + READY_AGAIN_DELAY_MS);
        let is_back = listed.state == ListedState::Ready
            && accepted_from_ms.is_some_and(|accepted_from_ms| read_ms >= accepted_from_ms);
        let started_later = listed.born_ms > self.listed.born_ms && self.listed.born_ms.is_some();
        if is_back || started_later || listed.address != self.listed.address {
            self.reset();
        }
        if started_later {
            self.discard_signals();
        }
        let born_ms = listed.born_ms.or(self.listed.born_ms);
        self.listed = Listed { born_ms, ..listed };
        if self.listed.state == ListedState::Draining {
            self.mark_delisted(None, read_ms);
        }
    }

    /// Records that a list read at `read_ms` shows the instance leaving or no longer shows it.
    pub(super) fn mark_delisted(&mut self, gone_at_ms: Option<u64>, read_ms: u64) {
        self.delisted_ms.get_or_insert(read_ms);
        self.mark_leaving(gone_at_ms);
    }

    /// Records that the instance is leaving. A departure that is already known stays as it is.
    pub(super) fn mark_leaving(&mut self, gone_at_ms: Option<u64>) {
        self.leaving.get_or_insert(Leaving { gone_at_ms });
    }

    /// Returns true if the instance has state that must survive a list that temporarily omits it.
    pub(super) fn must_be_kept(&self, now_ms: u64) -> bool {
        self.running > 0 || self.pause.remaining_ms(now_ms) > 0
    }

    /// Compares the start time in a report with the known one, and resets the state for a later
    /// start. Returns false for a report of an earlier start.
    pub(super) fn accept_start(&mut self, born_ms: Option<u64>) -> bool {
        match (born_ms, self.listed.born_ms) {
            (Some(born_ms), Some(known_ms)) if born_ms < known_ms => return false,
            (Some(born_ms), Some(known_ms)) if born_ms > known_ms => {
                self.reset();
                self.discard_signals();
                self.listed.state = ListedState::Ready;
            }
            _ => {}
        }
        self.listed.born_ms = born_ms.or(self.listed.born_ms);
        true
    }

    /// Discards what was learned about an instance that has restarted. This entry's load is kept,
    /// since it is still decremented as requests end. A requested pause and a named limit continue,
    /// since the instance may only have been missing from a list.
    fn reset(&mut self) {
        *self = Self {
            running: self.running,
            committed_tokens: self.committed_tokens,
            prefill_tokens: self.prefill_tokens,
            paced: self.paced,
            pause: self.pause,
            limit: self.limit,
            cold: self.cold,
            at_limit_until_ms: self.at_limit_until_ms,
            local_use: self.local_use,
            ..Self::new(self.listed.clone())
        };
    }

    /// Discards the pause and the limit that an earlier start of the instance has asked for.
    fn discard_signals(&mut self) {
        self.pause = Pause::default();
        self.limit = KnownLimit::default();
        self.at_limit_until_ms = 0;
    }

    /// Updates the instance after a change of its request limit.
    pub(super) fn apply_limit_change(&mut self, change: LimitChange, now_ms: u64) {
        match change {
            LimitChange::Unchanged => {}
            LimitChange::Named { .. } => self.at_limit_until_ms = 0,
            LimitChange::Ended => self.pause.begin_ramp(now_ms),
        }
    }

    /// Returns true if the instance has a limit, and the entry should ask the hub before it sends a
    /// request.
    pub(super) fn is_limited(&self) -> bool {
        self.limit.milli_per_s().is_some()
    }

    /// Returns true if the instance has a limit or is cold, and the entry should ask the hub before
    /// it sends a request.
    pub(super) fn needs_permit(&self, now_ms: u64) -> bool {
        self.is_limited() || self.cold.is_limited(now_ms)
    }

    /// Returns true if this entry may send a request without the hub.
    pub(super) fn allows_without_hub(&self, share: EntryShare, now_ms: u64) -> bool {
        let identity = &self.listed.identity;
        let is_within_limit = self.limit.milli_per_s().is_none_or(|limit| {
            self.local_use
                .allows(identity, limit, NAMED_LIMIT_PERCENT, share, now_ms)
        });
        is_within_limit && self.cold.allows_without_hub(identity, share, now_ms)
    }

    /// Counts a request that was sent without the hub.
    pub(super) fn count_local(&mut self, now_ms: u64) {
        if self.is_limited() {
            self.local_use.count(now_ms);
        }
        self.cold.count_local(now_ms);
    }

    /// Returns a summary of what is known, for the log.
    // An average time is never negative, and the rate is between 0 and 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn summary(&self, now_ms: u64) -> InstanceSummary {
        let report = self.hub_update.as_ref().and_then(|update| update.report);
        let is_observed = self.observed_ms > 0;
        InstanceSummary {
            running: self.total_running(),
            committed_tokens: self.total_committed(),
            prefill_tokens: self.total_prefill(),
            used_tokens: report.map(|(report, _)| report.used_tokens),
            report_age_ms: report.map(|(_, at_ms)| now_ms.saturating_sub(at_ms)),
            slowness_permille: PaceEstimate::default().slowness_permille,
            average_ms: self.answered.then_some(self.average_ms as u64),
            failed_percent: is_observed.then_some((self.failure_rate * 100.0) as u64),
            observed_age_ms: is_observed.then(|| now_ms.saturating_sub(self.observed_ms)),
        }
    }

    /// Returns true if the instance accepts requests: it is neither leaving nor paused.
    pub(super) fn is_open(&self, now_ms: u64) -> bool {
        self.listed.state == ListedState::Ready
            && self.leaving.is_none()
            && self.pause.remaining_ms(now_ms) == 0
    }

    pub(super) fn usable(&self, now_ms: u64) -> bool {
        self.is_open(now_ms) && self.avoid_until_ms <= now_ms
    }

    /// Returns true if this entry sends no further request for now. After a pause or a cold time its
    /// load rises in steps.
    pub(super) fn at_concurrency_limit(&self, now_ms: u64) -> bool {
        self.pause.at_concurrency_limit(self.running, now_ms)
            || self.cold.at_concurrency_limit(self.running, now_ms)
    }

    pub(super) fn total_running(&self) -> u32 {
        self.running + self.hub_update.as_ref().map_or(0, |update| update.running)
    }

    pub(super) fn total_committed(&self) -> u64 {
        self.committed_tokens
            + self
                .hub_update
                .as_ref()
                .map_or(0, |update| update.committed_tokens)
    }

    pub(super) fn total_paced(&self) -> PacedStreams {
        let mut paced = self.paced;
        paced.add(
            self.hub_update
                .as_ref()
                .map(|update| update.paced)
                .unwrap_or_default(),
        );
        paced
    }

    pub(super) fn total_prefill(&self) -> u64 {
        self.prefill_tokens
            + self
                .hub_update
                .as_ref()
                .map_or(0, |update| update.prefill_tokens)
    }

    /// Returns the expected time of a plain call on an idle instance. The instance's own
    /// observations decay towards the average of its service.
    pub(super) fn expected_ms(&self, typical_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.observed_ms) as f64;
        let decay = (-age_ms / OBSERVATION_HALF_LIFE_MS).exp2();
        let average_ms = match self.answered {
            false => typical_ms,
            true => typical_ms + (self.average_ms - typical_ms) * decay,
        };
        average_ms * (1.0 + FAILURE_WEIGHT * self.failure_rate * decay)
    }

    /// Updates the statistics with the outcome of a request.
    pub(super) fn observe(&mut self, outcome: Outcome, now_ms: u64) -> Reachability {
        let mut reachability = Reachability::Unchanged;
        let failed = match outcome {
            Outcome::Answered { took_ms } => {
                let took_ms = took_ms as f64;
                match self.answered {
                    false => self.average_ms = took_ms,
                    true => self.average_ms += (took_ms - self.average_ms) / AVERAGING_WINDOW,
                }
                self.answered = true;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::Refused => 0.5,
            Outcome::Unreachable => {
                let avoid_ms = INITIAL_AVOID_MS << self.failures_in_row.min(8);
                let avoid_ms = avoid_ms.min(MAX_AVOID_MS);
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
        self.failure_rate += (failed - self.failure_rate) / AVERAGING_WINDOW;
        reachability
    }

    /// Returns true if the memory in use, as last reported, leaves room for `tokens`.
    pub(super) fn has_memory_for(&self, tokens: u64) -> bool {
        self.report().is_none_or(|report| report.holds(tokens))
    }

    pub(super) fn report(&self) -> Option<&Report> {
        self.hub_update
            .as_ref()?
            .report
            .as_ref()
            .map(|(report, _)| report)
    }
}
