//! The RPC service of control instances, and the relay service of all other processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tarpc::context::Context;
use tokio::time::{Instant, sleep};

use super::{LogError, LogPort, Machine, Permits, RoomBroker};
use crate::adapters::clock::{monotonic_ms, unix_ms};
use crate::call_handler;
use crate::domain::members::Phase;
use crate::domain::state::{Command, Response};
use crate::model::TableVersion;
use crate::roles::subscriber::{InForce, Subscriber};
use crate::rpc::control::{
    Control, ControlClient, ControlError, PermitReply, PermitRequest, RoomReply, RoomRequest,
    SubmitRequest, WatchReply, WatchRequest,
};
use crate::rpc::{Link, Service, Services, control_link, decode, encode};

/// Limit on the time that a command waits to be committed.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How far the timestamp of a command may be ahead of this instance's clock.
const MAX_CLOCK_LEAD_MS: u64 = 60_000;
/// Time between confirmations that this instance's view is current.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which `wait_in_force` checks the processes.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Stands for no confirmed term; no real term has this number.
const NO_TERM: u64 = u64::MAX;

/// A running control role.
pub struct ControlRole {
    log: LogPort,
    machine: Arc<Machine>,
    subscriber: Arc<Subscriber>,
    rooms: RoomBroker,
    permits: Permits,
    /// The term in which this leader's view was last confirmed.
    confirmed_term: AtomicU64,
}

impl ControlRole {
    /// Creates the role. `machine` applies the commands of `log` and publishes its view to the
    /// store of `subscriber`.
    pub fn new(log: LogPort, machine: Arc<Machine>, subscriber: Arc<Subscriber>) -> Arc<Self> {
        Arc::new(Self {
            log,
            machine,
            subscriber,
            rooms: RoomBroker::default(),
            permits: Permits::default(),
            confirmed_term: AtomicU64::new(NO_TERM),
        })
    }

    /// Returns the replicated state of this instance.
    pub fn machine(&self) -> &Arc<Machine> {
        &self.machine
    }

    /// Returns the subscriber, which holds this process's view and calls other control instances.
    pub fn subscriber(&self) -> &Arc<Subscriber> {
        &self.subscriber
    }

    /// Returns the log.
    pub fn log(&self) -> &LogPort {
        &self.log
    }

    /// Adds the control service to the listener of this process.
    pub fn offer(self: &Arc<Self>, services: &mut Services) {
        let server = ControlService {
            role: Arc::clone(self),
        };
        services.offer(Service::Control, call_handler!(Service::Control, server));
    }

    /// Periodically confirms that the applied view is current. Never returns.
    pub async fn confirm_view(self: Arc<Self>) {
        loop {
            let began_at_ms = monotonic_ms();
            if (self.log.confirm)(SUBMIT_TIMEOUT).await.is_ok() {
                self.subscriber.store().confirm(began_at_ms);
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Answers a sidecar's request to load weights from the weight store.
    fn permit(&self, request: &PermitRequest) -> Result<PermitReply, ControlError> {
        self.subscriber.observe(&request.stamp);
        let view = self.subscriber.view();
        let stamp = self.subscriber.stamp();
        self.permits
            .answer((self.log.leadership)(), &view, stamp, request)
    }

    /// Answers a slot holder's request. A new leader first confirms its view, because the broker
    /// must know every entry to which an earlier leader may have granted slots.
    async fn room(&self, request: &RoomRequest) -> Result<RoomReply, ControlError> {
        self.subscriber.observe(&request.stamp);
        let term = (self.log.leadership)().term;
        if self.confirmed_term.load(Ordering::SeqCst) != term {
            (self.log.confirm)(SUBMIT_TIMEOUT)
                .await
                .map_err(|error| control_error(&error))?;
            self.confirmed_term.store(term, Ordering::SeqCst);
        }
        let mut leadership = (self.log.leadership)();
        leadership.leads &= leadership.term == term;
        let view = self.subscriber.view();
        let stamp = self.subscriber.stamp();
        let first_entry = self.machine.read(|state| state.registry().first_entry());
        self.rooms
            .answer(leadership, first_entry, &view, stamp, request)
    }

    /// Returns the number of known processes and of those on which a version is in force. Exact on
    /// the leader, to which the other control instances report. A registered process counts as
    /// known even if no instance has heard from it recently.
    pub fn in_force(&self, version: TableVersion) -> InForce {
        let store = self.subscriber.store();
        let mut in_force = self
            .subscriber
            .watchers()
            .in_force(store.version(), version);
        let members = self.subscriber.view();
        let live = members.members.members.values();
        let live = live.filter(|member| member.phase == Phase::Live).count();
        in_force.known = in_force.known.max(u32::try_from(live).unwrap_or(u32::MAX));
        in_force
    }

    /// Waits until a version is in force on all known processes, or until `limit` has passed.
    pub async fn wait_in_force(&self, version: TableVersion, limit: Duration) -> InForce {
        let end = Instant::now() + limit;
        loop {
            let in_force = self.in_force(version);
            if in_force.processes >= in_force.known || Instant::now() >= end {
                return in_force;
            }
            sleep(IN_FORCE_POLL_INTERVAL).await;
        }
    }

    /// While another instance leads, reports to it the versions in force on the processes that
    /// watch this one. Never returns.
    pub async fn report_subtree(self: Arc<Self>) {
        let mut link: Option<Arc<Link<ControlClient>>> = None;
        loop {
            let leadership = (self.log.leadership)();
            let leader = leadership.leader.filter(|_| !leadership.leads);
            link = match (leader, link) {
                (Some(leader), Some(link)) if link.address() == leader => Some(link),
                (Some(leader), _) => Some(control_link(leader)),
                (None, _) => None,
            };
            let reported = match &link {
                Some(link) => self.subscriber.report(link).await,
                None => false,
            };
            if !reported {
                sleep(CONFIRM_INTERVAL).await;
            }
        }
    }

    /// Commits a command if this instance leads.
    pub(super) async fn submit(&self, command: &Command) -> Result<Response, ControlError> {
        let mut command = command.clone();
        // Otherwise one process with a fast clock could expire all keys.
        command.limit_now_ms(unix_ms() + MAX_CLOCK_LEAD_MS);
        let command = encode(&command).map_err(|error| invalid(&error))?;
        match (self.log.submit)(command, SUBMIT_TIMEOUT).await {
            Ok(response) => decode(&response).map_err(|error| invalid(&error)),
            Err(error) => Err(control_error(&error)),
        }
    }
}

fn control_error(error: &LogError) -> ControlError {
    match error {
        LogError::NotLeader { leader } => ControlError::NotLeader { leader: *leader },
        LogError::Undecided => ControlError::Undecided,
        LogError::Stopped => ControlError::Stopped,
        LogError::TooLarge => invalid(&"the command is too large for the log"),
    }
}

fn invalid(error: &impl ToString) -> ControlError {
    ControlError::Invalid {
        reason: error.to_string(),
    }
}

#[derive(Clone)]
struct ControlService {
    role: Arc<ControlRole>,
}

impl Control for ControlService {
    async fn ping(self, _: Context) {}

    async fn submit(self, _: Context, request: SubmitRequest) -> Result<Response, ControlError> {
        self.role.submit(&request.command).await
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        self.role.subscriber.answer_watch(request).await
    }

    async fn room(self, _: Context, request: RoomRequest) -> Result<RoomReply, ControlError> {
        self.role.room(&request).await
    }

    async fn permit(self, _: Context, request: PermitRequest) -> Result<PermitReply, ControlError> {
        self.role.permit(&request)
    }
}

/// The control service of a process without the control role. It relays the view and answers all
/// other requests with `NotLeader`.
#[derive(Clone)]
pub struct RelayService {
    subscriber: Arc<Subscriber>,
}

impl RelayService {
    /// Adds the relay to the listener of this process.
    pub fn offer(subscriber: Arc<Subscriber>, services: &mut Services) {
        let server = Self { subscriber };
        services.offer(Service::Control, call_handler!(Service::Control, server));
    }
}

impl Control for RelayService {
    async fn ping(self, _: Context) {}

    async fn submit(self, _: Context, _request: SubmitRequest) -> Result<Response, ControlError> {
        Err(ControlError::NotLeader { leader: None })
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        self.subscriber.answer_watch(request).await
    }

    async fn room(self, _: Context, _request: RoomRequest) -> Result<RoomReply, ControlError> {
        Err(ControlError::NotLeader { leader: None })
    }

    async fn permit(
        self,
        _: Context,
        _request: PermitRequest,
    ) -> Result<PermitReply, ControlError> {
        Err(ControlError::NotLeader { leader: None })
    }
}
