//! The order book of one engine at its sidecar: one order in flight, and none in doubt.

use std::collections::BTreeSet;

use super::rollout::{EngineState, Order, Replica, plan};
use crate::domain::members::Phase;
use crate::domain::state::View;
use crate::model::{Fence, InstanceRef, ModelName};

/// How long a confirmation of the fencing number holds.
pub const FENCE_VALID_MS: u64 = 5_000;

/// A permit is not used for a new load, and is renewed, this long before its deadline.
pub const PERMIT_MARGIN_MS: u64 = 2_000;

/// How long the next order waits after the engine refused one.
pub const REFUSED_RETRY_MS: u64 = 5_000;

/// After this time a report that the view does not show is made again.
const REPORT_RETRY_MS: u64 = 2_000;

/// How old the engine's state may be when an order is sent.
const ORDER_STATE_MS: u64 = 1_000;

/// After this time the state of an idle engine is read again, as it may have lost its versions.
const IDLE_STATE_MS: u64 = 10_000;

/// How often an engine is asked whether a version that is to be unloaded is still busy.
const BUSY_RETRY_MS: u64 = 1_000;

/// How long a read of the engine's state may take before it is asked again.
const READ_LIMIT_MS: u64 = 5_000;

/// What the sidecar does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Get a view that the control leader confirms as current.
    Confirm,
    /// Ask the engine for its state.
    Read { sequence: u64 },
    /// Report these versions to control in place of what the view shows. A version that is about
    /// to be unloaded is left out, so that the log orders its withdrawal against edits of the
    /// version in force and against withdrawals of other replicas.
    Report { versions: BTreeSet<String> },
    /// Ask for a permit, or renew it if `held`.
    AskPermit {
        model: ModelName,
        version: String,
        recovery: bool,
        held: bool,
    },
    /// Give the permit back.
    ReturnPermit { model: ModelName, version: String },
    /// Send the order with the fencing number. No answer by the deadline leaves it in doubt.
    Send {
        sequence: u64,
        fence: Fence,
        order: Order,
        deadline_ms: u64,
    },
    /// Nothing to do before this time or the next event.
    Wait { until_ms: u64 },
    /// A newer incarnation of the sidecar exists: send nothing any more.
    Stop,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAnswer {
    Done,
    /// The engine did not carry the order out.
    Refused,
    /// The engine knows a higher fencing number.
    OldFence,
    /// A time-out or a broken connection: the order may have been carried out.
    Doubtful,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct InFlight {
    sequence: u64,
    order: Order,
    deadline_ms: u64,
}

/// The engine's state, when the answer came, and the number of the read.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Observed {
    state: EngineState,
    at_ms: u64,
    sequence: u64,
}

/// A version on which nothing starts any more, and the last sequence number before that.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Withdrawn {
    version: String,
    sequence: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldPermit {
    model: ModelName,
    version: String,
    recovery: bool,
    deadline_ms: u64,
}

/// The orders of one engine.
#[derive(Debug, Clone)]
pub struct OrderBook {
    own: InstanceRef,
    fence: Fence,
    replica: Replica,
    model: ModelName,
    order_limit_ms: u64,
    is_fenced: bool,
    confirmed_until_ms: u64,
    /// The state and when it was read; none until it was read after the last order.
    observed: Option<Observed>,
    /// Before this time the state is not read again.
    read_from_ms: u64,
    /// A version that is left out of reports because its unloading comes next.
    withdrawn: Option<Withdrawn>,
    /// The last report, and when to repeat it.
    reported: Option<(BTreeSet<String>, u64)>,
    in_flight: Option<InFlight>,
    reading: Option<InFlightRead>,
    permit: Option<HeldPermit>,
    /// Before this time no permit is asked for and no order sent.
    quiet_until_ms: u64,
    last_sequence: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct InFlightRead {
    sequence: u64,
    deadline_ms: u64,
}

impl OrderBook {
    /// Returns the book of an engine of a sidecar that has registered with a fencing number. An
    /// order without an answer for `order_limit_ms` is in doubt.
    ///
    /// No order is sent before a former incarnation, if it still runs, can no longer take its own
    /// number for current. Engines that ignore fencing numbers rely on this.
    pub fn new(
        own: InstanceRef,
        fence: Fence,
        replica: Replica,
        model: ModelName,
        order_limit_ms: u64,
        registered_at_ms: u64,
    ) -> Self {
        Self {
            own,
            fence,
            replica,
            model,
            order_limit_ms,
            is_fenced: false,
            confirmed_until_ms: 0,
            observed: None,
            read_from_ms: 0,
            withdrawn: None,
            reported: None,
            in_flight: None,
            reading: None,
            permit: None,
            quiet_until_ms: registered_at_ms + FENCE_VALID_MS,
            last_sequence: 0,
        }
    }

    /// Takes note of a view that the leader confirmed as current at `confirmed_at_ms`.
    pub fn confirmed(&mut self, view: &View, confirmed_at_ms: u64) {
        if view.version.0 < self.fence.0 {
            return;
        }
        match view.members.members.get(&self.own.name) {
            Some(member)
                if member.incarnation == self.own.incarnation
                    && member.fence == self.fence
                    && member.phase != Phase::Gone =>
            {
                let until_ms = confirmed_at_ms + FENCE_VALID_MS;
                self.confirmed_until_ms = self.confirmed_until_ms.max(until_ms);
            }
            _ => self.is_fenced = true,
        }
    }

    /// Takes note of the engine's state. A read from before the last order is ignored.
    pub fn state_read(&mut self, sequence: u64, state: EngineState, now_ms: u64) {
        if self.reading.is_some_and(|read| read.sequence == sequence) {
            self.reading = None;
            self.observed = Some(Observed {
                state,
                at_ms: now_ms,
                sequence,
            });
        }
    }

    /// Takes note of a permit; `deadline_ms` counts from the time of the question.
    pub fn permitted(
        &mut self,
        model: ModelName,
        version: String,
        recovery: bool,
        deadline_ms: u64,
    ) {
        self.permit = Some(HeldPermit {
            model,
            version,
            recovery,
            deadline_ms,
        });
    }

    /// Takes note that a permit was not granted.
    pub fn permit_refused(&mut self, retry_at_ms: u64) {
        self.quiet_until_ms = self.quiet_until_ms.max(retry_at_ms);
    }

    /// Takes note that the leader knows a newer registration.
    pub fn fenced(&mut self) {
        self.is_fenced = true;
    }

    /// Takes note of the answer to an order. An answer to a former order is ignored.
    pub fn answered(&mut self, sequence: u64, answer: EngineAnswer, now_ms: u64) {
        if self
            .in_flight
            .as_ref()
            .is_none_or(|order| order.sequence != sequence)
        {
            return;
        }
        self.in_flight = None;
        match answer {
            EngineAnswer::Refused => self.quiet_until_ms = now_ms + REFUSED_RETRY_MS,
            EngineAnswer::OldFence => self.confirmed_until_ms = 0,
            EngineAnswer::Done | EngineAnswer::Doubtful => {}
        }
    }

    /// Returns what to do next.
    pub fn step(&mut self, view: &View, now_ms: u64) -> Action {
        if self.is_fenced {
            return Action::Stop;
        }
        if let Some(action) = self.await_order(now_ms) {
            return action;
        }
        if self.confirmed_until_ms <= now_ms {
            return Action::Confirm;
        }
        let fresh = |read: &&Observed| now_ms < read.at_ms + IDLE_STATE_MS;
        let Some(observed) = self.observed.as_ref().filter(fresh).cloned() else {
            return self.read(now_ms);
        };
        let order = plan(view, &self.model, &self.replica, &observed.state);
        self.withdraw(order.as_ref());
        let mut versions = observed.state.versions.clone();
        versions.retain(|version| self.withdrawn() != Some(version));
        if let Some(action) = self.report(view, versions, now_ms) {
            return action;
        }
        let Some(order) = order else {
            return self.return_permit(now_ms);
        };
        if now_ms < self.quiet_until_ms {
            return Action::Wait {
                until_ms: self.quiet_until_ms,
            };
        }
        let recovery = observed.state.versions.is_empty();
        let is_old = now_ms >= observed.at_ms + ORDER_STATE_MS;
        match self.missing_permit(&order, recovery, now_ms) {
            Some(action) => action,
            None if is_old || self.precedes_withdrawal(&observed) => self.read(now_ms),
            None if Self::must_wait(&order, &observed.state) => {
                self.observed = None;
                self.read_from_ms = now_ms + BUSY_RETRY_MS;
                self.read(now_ms)
            }
            None => self.send(order, now_ms),
        }
    }

    /// Returns the version that is about to be unloaded. The sidecar starts nothing on it.
    pub fn withdrawn(&self) -> Option<&str> {
        self.withdrawn.as_ref().map(|own| own.version.as_str())
    }

    fn withdraw(&mut self, order: Option<&Order>) {
        let version = match order {
            Some(Order::Unload { version, .. }) => Some(version),
            _ => None,
        };
        if self.withdrawn() != version.map(String::as_str) {
            self.withdrawn = version.map(|version| Withdrawn {
                version: version.clone(),
                sequence: self.last_sequence,
            });
        }
    }

    /// Returns true if generations may have started on the withdrawn version after the read.
    fn precedes_withdrawal(&self, observed: &Observed) -> bool {
        let withdrawn = self.withdrawn.as_ref();
        withdrawn.is_some_and(|own| observed.sequence <= own.sequence)
    }

    fn must_wait(order: &Order, observed: &EngineState) -> bool {
        matches!(order, Order::Unload { version, .. } if observed.busy.contains(version))
    }

    fn await_order(&mut self, now_ms: u64) -> Option<Action> {
        let order = self.in_flight.as_ref()?;
        if order.deadline_ms <= now_ms {
            self.in_flight = None;
            return None;
        }
        let until_ms = order.deadline_ms;
        let Some(permit) = self
            .permit
            .as_ref()
            .filter(|_| order.order.loads().is_some())
        else {
            return Some(Action::Wait { until_ms });
        };
        let renew_at_ms = permit.deadline_ms.saturating_sub(PERMIT_MARGIN_MS);
        if now_ms < renew_at_ms.max(self.quiet_until_ms) {
            let until_ms = until_ms.min(renew_at_ms.max(self.quiet_until_ms));
            return Some(Action::Wait { until_ms });
        }
        Some(Action::AskPermit {
            model: permit.model.clone(),
            version: permit.version.clone(),
            recovery: permit.recovery,
            held: true,
        })
    }

    fn read(&mut self, now_ms: u64) -> Action {
        if let Some(read) = self.reading
            && now_ms < read.deadline_ms
        {
            return Action::Wait {
                until_ms: read.deadline_ms,
            };
        }
        if now_ms < self.read_from_ms {
            return Action::Wait {
                until_ms: self.read_from_ms,
            };
        }
        self.last_sequence += 1;
        self.reading = Some(InFlightRead {
            sequence: self.last_sequence,
            deadline_ms: now_ms + READ_LIMIT_MS,
        });
        Action::Read {
            sequence: self.last_sequence,
        }
    }

    /// Returns the report that has to be made, or waited for, before any order.
    fn report(&mut self, view: &View, versions: BTreeSet<String>, now_ms: u64) -> Option<Action> {
        let member = view.members.members.get(&self.own.name)?;
        let shown = member
            .upstreams
            .iter()
            .find(|upstream| upstream.name == self.replica.upstream)
            .map(|upstream| upstream.versions.iter().cloned().collect::<BTreeSet<_>>());
        if shown.as_ref() == Some(&versions) {
            self.reported = None;
            return None;
        }
        match &self.reported {
            Some((last, retry_at_ms)) if *last == versions && now_ms < *retry_at_ms => {
                Some(Action::Wait {
                    until_ms: *retry_at_ms,
                })
            }
            _ => {
                self.reported = Some((versions.clone(), now_ms + REPORT_RETRY_MS));
                Some(Action::Report { versions })
            }
        }
    }

    fn return_permit(&mut self, now_ms: u64) -> Action {
        match self.permit.take() {
            Some(permit) => Action::ReturnPermit {
                model: permit.model,
                version: permit.version,
            },
            None => Action::Wait {
                until_ms: self.confirmed_until_ms.max(now_ms),
            },
        }
    }

    /// Returns what must happen to the permit before the order may be sent.
    fn missing_permit(&mut self, order: &Order, recovery: bool, now_ms: u64) -> Option<Action> {
        let needed = order.loads();
        if let Some(permit) = &self.permit {
            let is_other = needed != Some((&permit.model, permit.version.as_str()));
            if is_other {
                return Some(self.return_permit(now_ms));
            }
            if now_ms + PERMIT_MARGIN_MS < permit.deadline_ms {
                return None;
            }
        }
        let (model, version) = needed?;
        Some(Action::AskPermit {
            model: model.clone(),
            version: version.to_owned(),
            recovery,
            held: false,
        })
    }

    fn send(&mut self, order: Order, now_ms: u64) -> Action {
        self.last_sequence += 1;
        let deadline_ms = now_ms + self.order_limit_ms;
        self.in_flight = Some(InFlight {
            sequence: self.last_sequence,
            order: order.clone(),
            deadline_ms,
        });
        // Whatever the answer will be, the state is read before the next order.
        self.observed = None;
        self.reading = None;
        Action::Send {
            sequence: self.last_sequence,
            fence: self.fence,
            order,
            deadline_ms,
        }
    }
}
