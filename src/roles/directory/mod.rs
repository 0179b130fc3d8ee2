//! The directory role: stores the shared document in a replicated log and, on the leader, collects
//! the state of all instances and distributes it to entries.

mod cold;
mod command;
mod evacuation;
mod limits;
mod machine;
mod metrics;
mod observer;
mod operators;
mod placement;
mod quarantine;
mod service;
mod turns;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::control::replica::{Endpoint, Peers, Replica};
use crate::adapters::clock::monotonic_ms;
use crate::adapters::disk::{DiskError, FileOps};
use crate::call_handler;
use crate::domain::fleet::{
    ColdRules, CopySchedule, Departure, Hub, ListChange, Listed, ListedState, Position, WakeLimiter,
};
use crate::domain::log::{Options, RoleName};
use crate::domain::quarantine::{CrashEvidence, RequestEvidence};
use crate::model::InstanceName;
use crate::platform;
use crate::rpc::directory::{Directory, ReportRequest};
use crate::rpc::peer::Peer;
use crate::rpc::{Handler, Service, Services};
use crate::settings::{ControlSettings, DirectorySettings, PeerAddress};

use machine::Machine;
use observer::{Observer, ObserverServer};

pub use command::{Command, PutDocument, Snapshot};
pub use machine::{OrderAnswer, PutAnswer};
pub use operators::{EVACUATIONS, serve_operators};

/// A voter that has not been heard for this long is removed even if that lowers the number of losses
/// that the others tolerate. The platform counts a machine as lost for 4 s after its return; a
/// shorter time would remove machines that only restart.
const REMOVE_SILENT_MS: u64 = 8_000;
/// Part of the grace period (one in N) in which the leader may end the vote of an instance that
/// stops. It takes an election at most, if the instance leads.
const LEAVE_DIVISOR: u64 = 2;
/// Delay before the log is reopened after its disk has failed.
const REOPEN_DELAY: Duration = Duration::from_millis(500);
/// Time between the leader's reads of the platform's instance list. The list lags by 800 ms, so
/// reading it more often gains little.
const LIST_READ_INTERVAL: Duration = Duration::from_millis(300);
/// A list that is older than this is stale: an instance that does not lead reads it itself then.
const LIST_STALE_MS: u64 = 1_200;
/// Timeout for reading the whole list, which has 60 pages on the largest sites planned for.
const LIST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between checks whether to read the list, until it has been read once.
const FIRST_LIST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// An engine whose cold time is not known counts as cold for this long after it was announced. The
/// list then shows it.
const UNLISTED_COLD_MS: u64 = 1_000;
/// List changes are logged one by one up to this number: the first list of a large fleet has
/// thousands of them.
const MAX_LOGGED_CHANGES: usize = 256;

/// The directory role of one process.
pub struct DirectoryRole {
    settings: DirectorySettings,
    /// Settings of the replicated log; `None` without a data folder.
    control: Option<ControlSettings>,
    /// Only without a data folder.
    observer: Option<Arc<Observer>>,
    endpoint: Endpoint,
    machine: Arc<Machine>,
    hub: Mutex<Hub>,
    waiting: Mutex<placement::WaitingPlacements>,
    cold_metrics: cold::ColdMetrics,
    copy_schedule: Mutex<CopySchedule>,
    pending_turns: Mutex<Vec<turns::PendingTurn>>,
    crash_evidence: Mutex<CrashEvidence>,
    request_evidence: Mutex<RequestEvidence>,
    /// `None` while the log is closed.
    replica: Mutex<Option<Replica>>,
    peers: watch::Sender<Peers>,
    /// Incremented to wake the entries that wait for updates.
    updates: watch::Sender<u64>,
    wake_limiter: Mutex<WakeLimiter>,
    /// Time of the last `sync` call of any entry.
    last_sync_ms: Mutex<u64>,
    stopping: watch::Sender<bool>,
}

impl DirectoryRole {
    /// Starts the role. The log is opened in the background, and reopened after a disk failure.
    pub fn start(
        settings: &DirectorySettings,
        rpc_address: SocketAddr,
        peers: &[SocketAddr],
    ) -> Arc<Self> {
        let endpoint = Endpoint {
            name: InstanceName::from(rpc_address.to_string().as_str()),
            rpc_address,
        };
        let (updates, _) = watch::channel(0);
        let machine = Arc::new(Machine::new(updates.clone()));
        let (peers, _) = watch::channel(Peers {
            known: log_peers(peers),
            may_form: settings.may_form,
        });
        let control = settings.data_folder.as_ref().map(|folder| ControlSettings {
            data_folder: folder.clone(),
            peers: Vec::new(),
            election_ms: settings.election_ms,
            snapshot_entries: settings.snapshot_entries,
            platform_list: None,
        });
        let observer = match control {
            Some(_) => None,
            None => Some(Observer::new(endpoint.clone(), peers.subscribe())),
        };
        let role = Arc::new(Self {
            control,
            observer,
            settings: settings.clone(),
            endpoint,
            machine,
            hub: Mutex::new(Hub::new(rand::random())),
            waiting: Mutex::default(),
            cold_metrics: cold::ColdMetrics::new(),
            copy_schedule: Mutex::default(),
            pending_turns: Mutex::default(),
            crash_evidence: Mutex::new(CrashEvidence::new(rand::random())),
            request_evidence: Mutex::new(RequestEvidence::new(rand::random())),
            replica: Mutex::new(None),
            peers,
            updates,
            wake_limiter: Mutex::default(),
            last_sync_ms: Mutex::new(0),
            stopping: watch::Sender::new(false),
        });
        match &role.observer {
            Some(observer) => {
                tracing::info!(
                    "no data folder is set; this instance only redirects callers to the leader"
                );
                tokio::spawn(Arc::clone(observer).run(role.stopping.subscribe()));
            }
            None => {
                tokio::spawn(Arc::clone(&role).run_log());
            }
        }
        tokio::spawn(Arc::clone(&role).poll_list());
        tokio::spawn(Arc::clone(&role).follow_evacuations());
        role
    }

    /// Replaces the addresses of the control instances with those from reloaded settings.
    pub fn set_peers(&self, addresses: &[SocketAddr]) {
        let known = log_peers(addresses);
        self.peers.send_if_modified(|peers| {
            let changed = peers.known != known;
            peers.known = known;
            changed
        });
    }

    /// Registers the RPC services for other control instances, entries and sidecars.
    pub fn offer(self: &Arc<Self>, services: &mut Services) {
        let role = Arc::clone(self);
        // The replica is replaced when the log is reopened, so each connection looks it up. It is
        // closed with the replica.
        let peers: Handler = Arc::new(move |stream| {
            if let Some(observer) = &role.observer {
                let server = ObserverServer(Arc::clone(observer));
                let handler = call_handler!(Service::Peer, server);
                handler(stream);
            } else if let Some(replica) = role.replica() {
                replica.serve_peer(stream);
            }
        });
        services.offer(Service::Peer, peers);
        let server = service::Server(Arc::clone(self));
        services.offer(
            Service::Directory,
            call_handler!(Service::Directory, server),
        );
    }

    /// Gives up the leadership and the vote in the log, and closes it.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        if let Some(replica) = self.replica() {
            let begun_ms = monotonic_ms();
            let limit_ms = self.settings.grace_ms / LEAVE_DIVISOR;
            let result = replica.leave(Duration::from_millis(limit_ms)).await;
            let took_ms = monotonic_ms().saturating_sub(begun_ms);
            match result {
                Some(result) => tracing::info!(?result, took_ms, "left the replicated log"),
                None => tracing::warn!(
                    took_ms,
                    "stopping with a vote in the replicated log, which no leader has ended"
                ),
            }
            replica.stop().await;
        }
    }

    pub(crate) fn replica(&self) -> Option<Replica> {
        self.replica
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn leads(&self) -> bool {
        let status = self.replica().map(|replica| replica.status());
        status.is_some_and(|status| status.role == RoleName::Leader && status.stopped.is_none())
    }

    /// Returns the RPC address of the leader; `None` if this instance leads or no leader is known.
    fn other_leader(&self) -> Option<SocketAddr> {
        if let Some(observer) = &self.observer {
            return observer.leader();
        }
        let leader = self.replica()?.status().leader?;
        (leader.address != self.endpoint.rpc_address).then_some(leader.address)
    }

    fn with_hub<T>(&self, use_hub: impl FnOnce(&mut Hub) -> T) -> T {
        use_hub(&mut self.hub.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Wakes the entries that wait for updates, once for all updates of a short time.
    fn wake_entries(self: &Arc<Self>) {
        let now_ms = monotonic_ms();
        let Some(at_ms) = self.with_wake_limiter(|limiter| limiter.request(now_ms)) else {
            return;
        };
        let role = Arc::clone(self);
        tokio::spawn(async move {
            sleep(Duration::from_millis(at_ms.saturating_sub(now_ms))).await;
            let position = role.with_hub(|hub| hub.position());
            role.with_wake_limiter(|limiter| limiter.done(position, monotonic_ms()));
            role.updates.send_modify(|count| *count += 1);
        });
    }

    /// Returns true if an entry that has all updates up to `position` is answered without delay.
    fn has_urgent_update(&self, position: Option<Position>, now_ms: u64) -> bool {
        let (current, list_age_ms) = self.with_hub(|hub| (hub.position(), hub.list_age_ms(now_ms)));
        let is_listed = list_age_ms.is_some_and(|age_ms| age_ms < LIST_STALE_MS);
        match (position, current) {
            (Some(known), Some(current)) if known.hub == current.hub => {
                self.with_wake_limiter(|limiter| limiter.has_woken_for_newer_list(known))
            }
            // The entry may have a newer list than a stale one of this instance.
            (_, Some(_)) => is_listed,
            (_, None) => false,
        }
    }

    fn with_wake_limiter<T>(&self, use_limiter: impl FnOnce(&mut WakeLimiter) -> T) -> T {
        use_limiter(
            &mut self
                .wake_limiter
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Adds an engine to the fleet if the report of its sidecar identifies it. Returns the health
    /// check path of its service, at which the sidecar reads the identity.
    fn register_engine(self: &Arc<Self>, request: ReportRequest) -> Option<Arc<str>> {
        // The engine of an earlier announcement has ended if its sidecar neither names it nor is
        // about to.
        let is_vouched = request.identity.is_some() || request.is_identifying;
        let service = request.service.as_ref().filter(|_| is_vouched);
        let changes = self.with_hub(|hub| hub.retract(request.address, service, monotonic_ms()));
        self.publish_changes(&changes);
        let document = self.machine.document()?;
        let name = request.service?;
        let service = document.services.iter().find(|known| known.name == name)?;
        let (address, is_identifying) = (request.address, request.is_identifying);
        self.with_hub(|hub| hub.hear_sidecar(address, is_identifying, monotonic_ms()));
        let assumed_cold_ms = match service.cold_start_ms {
            0 => UNLISTED_COLD_MS,
            start_ms => start_ms,
        };
        if let (Some(identity), Some(engine)) = (request.identity, service.engine) {
            let engine = Listed {
                identity,
                service: name,
                address: request.address,
                zone: request.zone,
                slots: engine.slots,
                state: ListedState::Ready,
                // An engine that the list does not show yet has just started.
                cold_remaining_ms: request.cold_remaining_ms.unwrap_or(assumed_cold_ms),
                born_ms: request.report.born_ms,
            };
            let changes = self.with_hub(|hub| hub.announce(engine, monotonic_ms()));
            self.publish_changes(&changes);
        }
        service.health_path.clone()
    }

    /// Records departures that entries or sidecars have observed, and notifies the entries.
    fn record_departures(self: &Arc<Self>, departures: Vec<Departure>) {
        if !departures.is_empty() {
            let changes = self.with_hub(|hub| hub.depart(departures, monotonic_ms()));
            self.publish_changes(&changes);
        }
    }

    /// Logs list changes, and wakes the entries that wait for updates.
    fn publish_changes(self: &Arc<Self>, changes: &[ListChange]) {
        match changes.len() <= MAX_LOGGED_CHANGES {
            true => changes.iter().for_each(log_change),
            false => tracing::info!(
                changes = changes.len(),
                "the instance list changed; the changes are too many to log one by one"
            ),
        }
        if !changes.is_empty() {
            self.wake_entries();
        }
    }

    fn open(&self, control: &ControlSettings) -> Result<Replica, DiskError> {
        let options = Options {
            drop_silent_ms: Some(REMOVE_SILENT_MS),
            min_voters: voters_for(self.settings.tolerated_losses),
            ..Options::default()
        };
        Replica::open_among(
            control,
            self.endpoint.clone(),
            Machine::state_machine(&self.machine),
            FileOps::real(),
            options,
            self.peers.subscribe(),
        )
    }

    /// Opens the log, and reopens it when it has stopped, until the role stops.
    async fn run_log(self: Arc<Self>) {
        let Some(control) = &self.control else {
            return;
        };
        let mut stopping = self.stopping.subscribe();
        let mut closed_at = Instant::now();
        let mut attempts: u64 = 0;
        while !*stopping.borrow_and_update() {
            attempts += 1;
            match self.open(control) {
                Ok(replica) => {
                    let mut status = replica.watch();
                    let closed_ms = closed_at.elapsed().as_millis();
                    let last = replica.status().last;
                    tracing::info!(closed_ms, attempts, last, "the replicated log is open");
                    *self.replica.lock().unwrap_or_else(PoisonError::into_inner) = Some(replica);
                    while status.borrow_and_update().stopped.is_none() {
                        if status.changed().await.is_err() {
                            break;
                        }
                    }
                    let closed = self
                        .replica
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .take();
                    let cause = closed.and_then(|replica| replica.status().stopped);
                    tracing::warn!(cause, "the replicated log is closed");
                    (closed_at, attempts) = (Instant::now(), 0);
                }
                Err(error) if attempts.is_power_of_two() => {
                    tracing::error!(%error, attempts, "cannot open the replicated log");
                }
                Err(_) => {}
            }
            tokio::select! {
                () = sleep(REOPEN_DELAY) => {}
                _ = stopping.changed() => {}
            }
        }
    }

    /// Polls the platform's list while this instance leads. Without a known leader, an instance
    /// that entries call also polls it once its copy is stale.
    async fn poll_list(self: Arc<Self>) {
        // An instance without a log never leads, so it does not distribute the list.
        let Some(address) = self
            .settings
            .list_address
            .filter(|_| self.observer.is_none())
        else {
            return;
        };
        let mut is_failing = false;
        loop {
            let is_known = self.with_hub(|hub| hub.position().is_some());
            sleep(if is_known {
                LIST_READ_INTERVAL
            } else {
                FIRST_LIST_CHECK_INTERVAL
            })
            .await;
            let now_ms = monotonic_ms();
            let last_sync_ms = *self
                .last_sync_ms
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let is_in_use = now_ms < last_sync_ms + LIST_STALE_MS;
            let age_ms = self.with_hub(|hub| hub.list_age_ms(now_ms));
            let is_stale = is_in_use && age_ms.is_none_or(|age_ms| age_ms > LIST_STALE_MS);
            let leads = self.leads();
            if !leads && (!is_stale || self.other_leader().is_some()) {
                continue;
            }
            match platform::read_list(address, LIST_READ_TIMEOUT).await {
                Ok(listed) => {
                    if std::mem::take(&mut is_failing) {
                        tracing::info!(%address, "the platform's list is reachable again");
                    }
                    let document = self.machine.document();
                    let rules = document.map(|document| ColdRules::from(&*document));
                    let changes = self.with_hub(|hub| {
                        let now_ms = monotonic_ms();
                        hub.set_cold_rules(rules.unwrap_or_default(), now_ms);
                        if hub.position().is_none() {
                            hub.expect_reports(now_ms);
                        }
                        hub.list(listed, now_ms)
                    });
                    self.publish_changes(&changes);
                    self.count_cold_instances();
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        tracing::warn!(%address, %error, "cannot read the platform's list");
                    }
                    sleep(LIST_READ_INTERVAL).await;
                }
            }
        }
    }
}

/// Returns the number of voters of which a majority remains after `losses`.
fn voters_for(losses: usize) -> usize {
    2 * losses + 1
}

fn log_change(change: &ListChange) {
    match change {
        ListChange::Listed(listed) => tracing::info!(
            instance = &*listed.identity,
            service = &*listed.service,
            address = %listed.address,
            zone = &*listed.zone.0,
            state = ?listed.state,
            cold_remaining_ms = listed.cold_remaining_ms,
            born_ms = listed.born_ms,
            "instance added to the list, or changed"
        ),
        ListChange::Gone(identity) => {
            tracing::info!(instance = &**identity, "instance removed from the list");
        }
    }
}

/// Returns the control instances at `addresses`. An instance is named by its address in the log.
fn log_peers(addresses: &[SocketAddr]) -> Vec<PeerAddress> {
    addresses
        .iter()
        .map(|address| PeerAddress {
            name: InstanceName::from(address.to_string().as_str()),
            address: *address,
        })
        .collect()
}
