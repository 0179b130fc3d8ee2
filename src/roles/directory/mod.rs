//! The directory: the shared document on the replicated log, and the hub of the fleet.

mod machine;
mod observer;
mod operators;
mod places;
mod service;
mod turns;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::control::replica::{Endpoint, Peers, Replica};
use crate::adapters::clock::monotonic_ms;
use crate::adapters::disk::{DiskError, FileOps};
use crate::call_handler;
use crate::domain::fleet::{
    Departure, Hub, ListChange, Listed, ListedState, Position, Turns, Wakes,
};
use crate::domain::log::{Options, RoleName};
use crate::model::InstanceName;
use crate::platform;
use crate::rpc::directory::{Directory, ReportRequest};
use crate::rpc::peer::Peer;
use crate::rpc::{Handler, Service, Services};
use crate::settings::{ControlSettings, DirectorySettings, PeerAddress};

use machine::Machine;
use observer::{Observer, ObserverServer};

pub use machine::{PutAnswer, PutDocument};
pub use operators::serve_operators;

/// A voter that is silent for this long makes room for its successor. The platform counts a machine
/// as lost for 4 s after its return; a shorter time would remove machines that only restart.
const DROP_SILENT_MS: u64 = 8_000;
/// Time between attempts to open the log again after its disk has failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Time between reads of the platform's list by the leader. The list lags by 800 ms, so reading it
/// more often gains little.
const LIST_EVERY: Duration = Duration::from_millis(300);
/// An instance that does not lead reads the list itself once its copy is older than this.
const LIST_STALE_MS: u64 = 1_200;
/// Upper bound on the time to read the list, which has 60 pages on the largest sites planned for.
const LIST_LIMIT: Duration = Duration::from_secs(2);
/// Time between looks whether the list is to be read for the first time.
const FIRST_LIST_EVERY: Duration = Duration::from_millis(20);
/// Changes of the list that are logged one by one; a first list of a large fleet is thousands.
const MOST_LOGGED_CHANGES: usize = 256;

/// The directory role of one process.
pub struct DirectoryRole {
    settings: DirectorySettings,
    /// None without a data folder.
    control: Option<ControlSettings>,
    observer: Option<Arc<Observer>>,
    endpoint: Endpoint,
    machine: Arc<Machine>,
    hub: Mutex<Hub>,
    waiting: Mutex<places::Waiting>,
    turns: Mutex<Turns>,
    pending_turns: Mutex<Vec<turns::PendingTurn>>,
    replica: Mutex<Option<Replica>>,
    peers: watch::Sender<Peers>,
    /// Changes when entries that wait for news are woken.
    news: watch::Sender<u64>,
    wakes: Mutex<Wakes>,
    /// When an entry last asked this instance.
    asked_ms: Mutex<u64>,
    stopping: watch::Sender<bool>,
}

impl DirectoryRole {
    /// Starts the role; the log is opened in the background and again after a failure of its disk.
    pub fn start(
        settings: &DirectorySettings,
        rpc_address: SocketAddr,
        peers: &[SocketAddr],
    ) -> Arc<Self> {
        let endpoint = Endpoint {
            name: InstanceName::from(rpc_address.to_string().as_str()),
            rpc_address,
        };
        let (news, _) = watch::channel(0);
        let machine = Arc::new(Machine::new(news.clone()));
        let (peers, _) = watch::channel(Peers {
            known: named(peers),
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
            turns: Mutex::default(),
            pending_turns: Mutex::default(),
            replica: Mutex::new(None),
            peers,
            news,
            wakes: Mutex::default(),
            asked_ms: Mutex::new(0),
            stopping: watch::Sender::new(false),
        });
        match &role.observer {
            Some(observer) => {
                tracing::info!("no data folder; this instance only names the leader");
                tokio::spawn(Arc::clone(observer).run(role.stopping.subscribe()));
            }
            None => {
                tokio::spawn(Arc::clone(&role).keep_open());
            }
        }
        tokio::spawn(Arc::clone(&role).keep_listed());
        role
    }

    /// Sets the addresses of the control instances that the settings name.
    pub fn set_peers(&self, addresses: &[SocketAddr]) {
        let known = named(addresses);
        self.peers.send_if_modified(|peers| {
            let changed = peers.known != known;
            peers.known = known;
            changed
        });
    }

    /// Offers the calls of other control instances, entries and sidecars.
    pub fn offer(self: &Arc<Self>, services: &mut Services) {
        let role = Arc::clone(self);
        // The replica is replaced when the log is opened again, so each connection asks for it.
        let peers: Handler = Arc::new(move |stream| {
            if let Some(observer) = &role.observer {
                let server = ObserverServer(Arc::clone(observer));
                let handler = call_handler!(Service::Peer, server);
                handler(stream);
            } else if let Some(replica) = role.replica() {
                let handler = call_handler!(Service::Peer, replica.server());
                handler(stream);
            }
        });
        services.offer(Service::Peer, peers);
        let server = service::Server(Arc::clone(self));
        services.offer(
            Service::Directory,
            call_handler!(Service::Directory, server),
        );
    }

    /// Hands leadership over and closes the log.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        if let Some(replica) = self.replica() {
            replica.hand_over().await;
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

    /// Returns the RPC address of the leader, if another instance leads.
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

    /// Wakes the entries that wait for news, once for all that comes within a short time.
    fn wake_entries(self: &Arc<Self>) {
        let now_ms = monotonic_ms();
        let Some(at_ms) = self.with_wakes(|wakes| wakes.request(now_ms)) else {
            return;
        };
        let role = Arc::clone(self);
        tokio::spawn(async move {
            sleep(Duration::from_millis(at_ms.saturating_sub(now_ms))).await;
            let position = role.with_hub(|hub| hub.position());
            role.with_wakes(|wakes| wakes.done(position, monotonic_ms()));
            role.news.send_modify(|count| *count += 1);
        });
    }

    /// Returns true if an entry that has the news up to `position` should hear at once of what is new.
    fn has_urgent_news(&self, position: Option<Position>, now_ms: u64) -> bool {
        let (current, list_age_ms) = self.with_hub(|hub| (hub.position(), hub.list_age_ms(now_ms)));
        let is_listed = list_age_ms.is_some_and(|age_ms| age_ms < LIST_STALE_MS);
        match (position, current) {
            (Some(held), Some(current)) if held.hub == current.hub => {
                self.with_wakes(|wakes| wakes.has_told(held))
            }
            // An entry may know a newer list than one that was read long ago.
            (_, Some(_)) => is_listed,
            (_, None) => false,
        }
    }

    fn with_wakes<T>(&self, use_it: impl FnOnce(&mut Wakes) -> T) -> T {
        use_it(&mut self.wakes.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes the identity of an engine from the report of its sidecar. Returns where engines of the
    /// service tell it.
    fn take_identity(self: &Arc<Self>, request: ReportRequest) -> Option<Arc<str>> {
        let document = self.machine.document()?;
        let name = request.service?;
        let service = document.services.iter().find(|known| known.name == name)?;
        let (address, is_identifying) = (request.address, request.is_identifying);
        self.with_hub(|hub| hub.hear_sidecar(address, is_identifying, monotonic_ms()));
        if let (Some(identity), Some(engine)) = (request.identity, service.engine) {
            let engine = Listed {
                identity,
                service: name,
                address: request.address,
                zone: request.zone,
                slots: engine.slots,
                state: ListedState::Ready,
                // One that the list does not show yet has just started.
                cold: true,
                born_ms: request.report.born_ms,
            };
            let changes = self.with_hub(|hub| hub.announce(engine, monotonic_ms()));
            self.tell_entries(&changes);
        }
        service.health_path.clone()
    }

    /// Takes the departures that were heard of, and tells the entries.
    fn depart(self: &Arc<Self>, departures: Vec<Departure>) {
        if !departures.is_empty() {
            let changes = self.with_hub(|hub| hub.depart(departures, monotonic_ms()));
            self.tell_entries(&changes);
        }
    }

    /// Logs changes of the list, and wakes the entries that wait for news.
    fn tell_entries(self: &Arc<Self>, changes: &[ListChange]) {
        match changes.len() <= MOST_LOGGED_CHANGES {
            true => changes.iter().for_each(log_change),
            false => tracing::info!(
                changes = changes.len(),
                "many instances are listed, or no longer listed"
            ),
        }
        if !changes.is_empty() {
            self.wake_entries();
        }
    }

    fn open(&self, control: &ControlSettings) -> Result<Replica, DiskError> {
        let options = Options {
            drop_silent_ms: Some(DROP_SILENT_MS),
            ..Options::default()
        };
        Replica::open_among(
            control,
            self.endpoint.clone(),
            Machine::driven_by_log(&self.machine),
            FileOps::real(),
            options,
            self.peers.subscribe(),
        )
    }

    async fn keep_open(self: Arc<Self>) {
        let Some(control) = &self.control else {
            return;
        };
        let mut stopping = self.stopping.subscribe();
        while !*stopping.borrow_and_update() {
            match self.open(control) {
                Ok(replica) => {
                    let mut status = replica.watch();
                    *self.replica.lock().unwrap_or_else(PoisonError::into_inner) = Some(replica);
                    while status.borrow_and_update().stopped.is_none() {
                        if status.changed().await.is_err() {
                            break;
                        }
                    }
                    *self.replica.lock().unwrap_or_else(PoisonError::into_inner) = None;
                }
                Err(error) => tracing::error!(%error, "cannot open the replicated log"),
            }
            tokio::select! {
                () = sleep(REOPEN_PAUSE) => {}
                _ = stopping.changed() => {}
            }
        }
    }

    /// Reads the platform's list while this instance leads, or while entries ask it and its list is
    /// old because no leader is known.
    async fn keep_listed(self: Arc<Self>) {
        // An instance without a log is never the hub.
        let Some(address) = self
            .settings
            .list_address
            .filter(|_| self.observer.is_none())
        else {
            return;
        };
        let mut failing = false;
        loop {
            let is_known = self.with_hub(|hub| hub.position().is_some());
            sleep(if is_known {
                LIST_EVERY
            } else {
                FIRST_LIST_EVERY
            })
            .await;
            let now_ms = monotonic_ms();
            let asked_ms = *self.asked_ms.lock().unwrap_or_else(PoisonError::into_inner);
            let asked = now_ms < asked_ms + LIST_STALE_MS;
            let age_ms = self.with_hub(|hub| hub.list_age_ms(now_ms));
            let stale = asked && age_ms.is_none_or(|age_ms| age_ms > LIST_STALE_MS);
            let leads = self.leads();
            if !leads && (!stale || self.other_leader().is_some()) {
                continue;
            }
            match platform::read_list(address, LIST_LIMIT).await {
                Ok(listed) => {
                    if std::mem::take(&mut failing) {
                        tracing::info!(%address, "the platform's list answers again");
                    }
                    let changes = self.with_hub(|hub| {
                        let now_ms = monotonic_ms();
                        if hub.position().is_none() {
                            hub.expect_reports(now_ms);
                        }
                        hub.list(listed, now_ms)
                    });
                    self.tell_entries(&changes);
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!(%address, %error, "cannot read the platform's list");
                    }
                    sleep(LIST_EVERY).await;
                }
            }
        }
    }
}

fn log_change(change: &ListChange) {
    match change {
        ListChange::Listed(listed) => tracing::info!(
            instance = &*listed.identity,
            service = &*listed.service,
            address = %listed.address,
            zone = &*listed.zone.0,
            state = ?listed.state,
            cold = listed.cold,
            born_ms = listed.born_ms,
            "instance is listed"
        ),
        ListChange::Gone(identity) => {
            tracing::info!(instance = &**identity, "instance is no longer listed");
        }
    }
}

/// Returns control instances by their addresses, which are their names in the log.
fn named(addresses: &[SocketAddr]) -> Vec<PeerAddress> {
    addresses
        .iter()
        .map(|address| PeerAddress {
            name: InstanceName::from(address.to_string().as_str()),
            address: *address,
        })
        .collect()
}
