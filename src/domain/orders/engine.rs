//! Reconciles one engine with the table. The sidecar sends one order at a time, and reads the
//! engine's state back before the next one, because the outcome of an order may be unknown.

use std::collections::BTreeSet;

use super::rollout::{EngineState, Order, Replica, plan};
use crate::domain::members::Phase;
use crate::domain::state::View;
use crate::model::{Fence, InstanceRef, ModelName};

/// How long the sidecar may rely on a confirmation that its fencing number is current.
pub const FENCE_CONFIRMATION_MS: u64 = 5_000;

/// A permit is renewed this long before its deadline, and no new load starts on it from then on.
pub const PERMIT_RENEWAL_MARGIN_MS: u64 = 2_000;

/// How long the next order is delayed after the engine refused one.
pub const REFUSED_ORDER_RETRY_MS: u64 = 5_000;

/// How long after a report it is repeated, if the view does not show it.
const REPORT_RETRY_MS: u64 = 2_000;

/// The maximum age of the engine's state when an order is sent.
const MAX_ORDER_STATE_AGE_MS: u64 = 1_000;

/// How often the state of an idle engine is read again, as the engine may have lost its versions.
const IDLE_STATE_REFRESH_MS: u64 = 10_000;

/// How often the engine's state is read while the version to be unloaded still has running
/// generations.
const BUSY_CHECK_INTERVAL_MS: u64 = 1_000;

/// How long a read of the engine's state may take before it is repeated.
const READ_TIMEOUT_MS: u64 = 5_000;

/// The next action of the sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Fetch a view that the control leader confirms as current.
    Confirm,
    /// Read the engine's state.
    Read { sequence: u64 },
    /// Report these versions to the control leader, since the view shows others. A version that is
    /// about to be unloaded is left out, so that the log orders its withdrawal relative to edits of
    /// the active version and to withdrawals by other replicas.
    Report { versions: BTreeSet<String> },
    /// Request a load permit, or renew it if `held`.
    RequestPermit {
        model: ModelName,
        version: String,
        /// True if the engine has no version loaded.
        recovery: bool,
        held: bool,
    },
    /// Release the permit.
    ReleasePermit { model: ModelName, version: String },
    /// Send the order with the fencing number. Without an answer by the deadline its outcome is
    /// unknown.
    Send {
        sequence: u64,
        fence: Fence,
        order: Order,
        deadline_ms: u64,
    },
    /// Do nothing before this time or the next event.
    Wait { until_ms: u64 },
    /// Stop sending orders: a newer incarnation of the sidecar has registered, or this one is gone.
    Stop,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    Done,
    /// The engine did not carry the order out.
    Refused,
    /// The engine has seen a higher fencing number.
    StaleFence,
    /// Time-out or broken connection: the order may have been carried out.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct InFlightOrder {
    sequence: u64,
    order: Order,
    deadline_ms: u64,
}

/// The engine's state, the time at which it was received, and the sequence number of the read.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Observed {
    state: EngineState,
    at_ms: u64,
    sequence: u64,
}

/// A version on which no new generations start, and the last sequence number used before it was
/// withdrawn.
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

/// Decides which order an engine gets next, and when it may be sent.
#[derive(Debug, Clone)]
pub struct EngineReconciler {
    sidecar: InstanceRef,
    fence: Fence,
    replica: Replica,
    model: ModelName,
    order_timeout_ms: u64,
    /// True if a newer incarnation of the sidecar has registered or this one is gone.
    is_fenced: bool,
    /// The fencing number is known to be current until this time.
    confirmed_until_ms: u64,
    /// The engine's state; `None` until it has been read after the last order.
    observed: Option<Observed>,
    /// The state is not read again before this time.
    next_read_at_ms: u64,
    /// The version that is left out of reports because it is unloaded next.
    withdrawn: Option<Withdrawn>,
    /// The versions in the last report, and when to repeat it. `None` once the view shows them.
    last_report: Option<(BTreeSet<String>, u64)>,
    in_flight: Option<InFlightOrder>,
    pending_read: Option<PendingRead>,
    permit: Option<HeldPermit>,
    /// No permit is requested and no order is sent before this time.
    backoff_until_ms: u64,
    /// The last sequence number used; reads and orders share one sequence.
    last_sequence: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingRead {
    sequence: u64,
    deadline_ms: u64,
}

impl EngineReconciler {
    /// Returns a reconciler for an engine of the sidecar that registered with `fence`. The outcome
    /// of an order without an answer for `order_timeout_ms` is unknown.
    ///
    /// No order is sent for `FENCE_CONFIRMATION_MS` after the registration. By then a replaced
    /// incarnation that still runs can no longer take its own fencing number for current. Engines
    /// that do not check fencing numbers rely on this.
    pub fn new(
        sidecar: InstanceRef,
        fence: Fence,
        replica: Replica,
        model: ModelName,
        order_timeout_ms: u64,
        registered_at_ms: u64,
    ) -> Self {
        Self {
            sidecar,
            fence,
            replica,
            model,
            order_timeout_ms,
            is_fenced: false,
            confirmed_until_ms: 0,
            observed: None,
            next_read_at_ms: 0,
            withdrawn: None,
            last_report: None,
            in_flight: None,
            pending_read: None,
            permit: None,
            backoff_until_ms: registered_at_ms + FENCE_CONFIRMATION_MS,
            last_sequence: 0,
        }
    }

    /// Records a view that the leader confirmed as current at `confirmed_at_ms`.
    pub fn view_confirmed(&mut self, view: &View, confirmed_at_ms: u64) {
        if view.version.0 < self.fence.0 {
            return;
        }
        match view.members.members.get(&self.sidecar.name) {
            Some(member)
                if member.incarnation == self.sidecar.incarnation
                    && member.fence == self.fence
                    && member.phase != Phase::Gone =>
            {
                let until_ms = confirmed_at_ms + FENCE_CONFIRMATION_MS;
                self.confirmed_until_ms = self.confirmed_until_ms.max(until_ms);
            }
            _ => self.is_fenced = true,
        }
    }

    /// Records the engine's state. The answer to a read from before the last order is ignored.
    pub fn state_read(&mut self, sequence: u64, state: EngineState, now_ms: u64) {
        if self
            .pending_read
            .is_some_and(|read| read.sequence == sequence)
        {
            self.pending_read = None;
            self.observed = Some(Observed {
                state,
                at_ms: now_ms,
                sequence,
            });
        }
    }

    /// Records a granted permit. `deadline_ms` is the time of the request plus the lease.
    pub fn permit_granted(
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

    /// Records that a permit was not granted.
    pub fn permit_denied(&mut self, retry_at_ms: u64) {
        self.backoff_until_ms = self.backoff_until_ms.max(retry_at_ms);
    }

    /// Records that the leader knows a newer registration of the instance.
    pub fn fenced(&mut self) {
        self.is_fenced = true;
    }

    /// Records the outcome of an order. The outcome of an earlier order is ignored.
    pub fn order_answered(&mut self, sequence: u64, outcome: OrderOutcome, now_ms: u64) {
        if self
            .in_flight
            .as_ref()
            .is_none_or(|order| order.sequence != sequence)
        {
            return;
        }
        self.in_flight = None;
        match outcome {
            OrderOutcome::Refused => self.backoff_until_ms = now_ms + REFUSED_ORDER_RETRY_MS,
            OrderOutcome::StaleFence => self.confirmed_until_ms = 0,
            OrderOutcome::Done | OrderOutcome::Unknown => {}
        }
    }

    /// Returns the next action.
    pub fn step(&mut self, view: &View, now_ms: u64) -> Action {
        if self.is_fenced {
            return Action::Stop;
        }
        if let Some(action) = self.poll_in_flight(now_ms) {
            return action;
        }
        if self.confirmed_until_ms <= now_ms {
            return Action::Confirm;
        }
        let fresh = |read: &&Observed| now_ms < read.at_ms + IDLE_STATE_REFRESH_MS;
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
            return self.release_permit(now_ms);
        };
        if now_ms < self.backoff_until_ms {
            return Action::Wait {
                until_ms: self.backoff_until_ms,
            };
        }
        let recovery = observed.state.versions.is_empty();
        let is_old = now_ms >= observed.at_ms + MAX_ORDER_STATE_AGE_MS;
        match self.permit_action(&order, recovery, now_ms) {
            Some(action) => action,
            None if is_old || self.precedes_withdrawal(&observed) => self.read(now_ms),
            None if Self::unloads_busy_version(&order, &observed.state) => {
                self.observed = None;
                self.next_read_at_ms = now_ms + BUSY_CHECK_INTERVAL_MS;
                self.read(now_ms)
            }
            None => self.send(order, now_ms),
        }
    }

    /// Returns the version that is about to be unloaded. The sidecar starts no generation on it.
    pub fn withdrawn(&self) -> Option<&str> {
        self.withdrawn
            .as_ref()
            .map(|withdrawn| withdrawn.version.as_str())
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

    /// Returns true if generations may have started on the withdrawn version after the state was
    /// read.
    fn precedes_withdrawal(&self, observed: &Observed) -> bool {
        let withdrawn = self.withdrawn.as_ref();
        withdrawn.is_some_and(|withdrawn| observed.sequence <= withdrawn.sequence)
    }

    fn unloads_busy_version(order: &Order, observed: &EngineState) -> bool {
        matches!(order, Order::Unload { version, .. } if observed.busy.contains(version))
    }

    fn poll_in_flight(&mut self, now_ms: u64) -> Option<Action> {
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
        let renew_at_ms = permit.deadline_ms.saturating_sub(PERMIT_RENEWAL_MARGIN_MS);
        if now_ms < renew_at_ms.max(self.backoff_until_ms) {
            let until_ms = until_ms.min(renew_at_ms.max(self.backoff_until_ms));
            return Some(Action::Wait { until_ms });
        }
        Some(Action::RequestPermit {
            model: permit.model.clone(),
            version: permit.version.clone(),
            recovery: permit.recovery,
            held: true,
        })
    }

    fn read(&mut self, now_ms: u64) -> Action {
        if let Some(read) = self.pending_read
            && now_ms < read.deadline_ms
        {
            return Action::Wait {
                until_ms: read.deadline_ms,
            };
        }
        if now_ms < self.next_read_at_ms {
            return Action::Wait {
                until_ms: self.next_read_at_ms,
            };
        }
        self.last_sequence += 1;
        self.pending_read = Some(PendingRead {
            sequence: self.last_sequence,
            deadline_ms: now_ms + READ_TIMEOUT_MS,
        });
        Action::Read {
            sequence: self.last_sequence,
        }
    }

    /// Returns the action that reports the versions, or waits until the view shows the report. No
    /// order is sent before that. Returns `None` if the view shows these versions.
    fn report(&mut self, view: &View, versions: BTreeSet<String>, now_ms: u64) -> Option<Action> {
        let member = view.members.members.get(&self.sidecar.name)?;
        let shown = member
            .upstreams
            .iter()
            .find(|upstream| upstream.name == self.replica.upstream)
            .map(|upstream| upstream.versions.iter().cloned().collect::<BTreeSet<_>>());
        if shown.as_ref() == Some(&versions) {
            self.last_report = None;
            return None;
        }
        match &self.last_report {
            Some((last, retry_at_ms)) if *last == versions && now_ms < *retry_at_ms => {
                Some(Action::Wait {
                    until_ms: *retry_at_ms,
                })
            }
            _ => {
                self.last_report = Some((versions.clone(), now_ms + REPORT_RETRY_MS));
                Some(Action::Report { versions })
            }
        }
    }

    fn release_permit(&mut self, now_ms: u64) -> Action {
        match self.permit.take() {
            Some(permit) => Action::ReleasePermit {
                model: permit.model,
                version: permit.version,
            },
            None => Action::Wait {
                until_ms: self.confirmed_until_ms.max(now_ms),
            },
        }
    }

    /// Returns the permit request or release that must precede the order; `None` if the order needs
    /// no permit or has a valid one.
    fn permit_action(&mut self, order: &Order, recovery: bool, now_ms: u64) -> Option<Action> {
        let needed = order.loads();
        if let Some(permit) = &self.permit {
            let is_other = needed != Some((&permit.model, permit.version.as_str()));
            if is_other {
                return Some(self.release_permit(now_ms));
            }
            if now_ms + PERMIT_RENEWAL_MARGIN_MS < permit.deadline_ms {
                return None;
            }
        }
        let (model, version) = needed?;
        Some(Action::RequestPermit {
            model: model.clone(),
            version: version.to_owned(),
            recovery,
            held: false,
        })
    }

    fn send(&mut self, order: Order, now_ms: u64) -> Action {
        self.last_sequence += 1;
        let deadline_ms = now_ms + self.order_timeout_ms;
        self.in_flight = Some(InFlightOrder {
            sequence: self.last_sequence,
            order: order.clone(),
            deadline_ms,
        });
        // The state is read before the next order, whatever the outcome.
        self.observed = None;
        self.pending_read = None;
        Action::Send {
            sequence: self.last_sequence,
            fence: self.fence,
            order,
            deadline_ms,
        }
    }
}
