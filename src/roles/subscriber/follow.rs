//! Keeps the applied view current by long polls, and says whether it is current enough for work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{ControlCalls, SubmitError, ViewStore, Watchers, answer_watch};
use crate::adapters::clock::monotonic_ms;
use crate::domain::state::{Command, Response, View};
use crate::model::{InstanceName, InstanceRef, Refusal, RefusalCode, TableVersion};
use crate::rpc::control::{ControlClient, Freshness, SnapshotCursor, WatchReply, WatchRequest};
use crate::rpc::{CallError, Link, Stamp, control_link, decode};
use crate::settings::StalePolicy;

/// Time that a watch is held while there is no change.
const HOLD_MS: u64 = 2_000;
/// Limit of a watch call, its hold time included.
const WATCH_LIMIT: Duration = Duration::from_millis(HOLD_MS + 1_500);
/// Pause after a watch without use, so that a broken source is not asked in a tight loop.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// A relay whose view is older is left for the configured control instances.
const RELAY_AGE_LIMIT_MS: u64 = 5_000;
/// Redirects that are followed in a row before another control instance is asked, because relays
/// with old news of each other may redirect in a circle.
const MAX_REDIRECTS: usize = 8;
/// Time that new work waits for a version that a peer has applied.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(1);

/// What a subscriber needs to know of its process.
#[derive(Debug, Clone)]
pub struct SubscriberSettings {
    pub me: InstanceRef,
    pub control_addresses: Vec<SocketAddr>,
    pub stale_policy: StalePolicy,
    pub stale_limit_ms: u64,
}

/// The applied view of this process and its way to control.
pub struct Subscriber {
    settings: SubscriberSettings,
    store: Arc<ViewStore>,
    watchers: Watchers,
    calls: ControlCalls,
    started_at_ms: u64,
    required_version: AtomicU64,
    leaving: AtomicBool,
    /// Where the view comes from: address and name.
    source: Mutex<Option<(SocketAddr, InstanceName)>>,
}

impl Subscriber {
    /// Returns a subscriber over a store. With the control role in this process the store is fed
    /// by the replicated log; otherwise `run` feeds it.
    pub fn new(
        settings: SubscriberSettings,
        store: Arc<ViewStore>,
        watchers: Watchers,
    ) -> Arc<Self> {
        Arc::new(Self {
            calls: ControlCalls::new(settings.control_addresses.clone()),
            settings,
            store,
            watchers,
            started_at_ms: monotonic_ms(),
            required_version: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            source: Mutex::new(None),
        })
    }

    /// Returns this process's name and incarnation.
    pub fn me(&self) -> &InstanceRef {
        &self.settings.me
    }

    /// Returns the applied view, however old. Use `current` before new work.
    pub fn view(&self) -> Arc<View> {
        self.store.view()
    }

    /// Returns the store of the applied view.
    pub fn store(&self) -> &Arc<ViewStore> {
        &self.store
    }

    /// Returns the watchers of this process.
    pub fn watchers(&self) -> &Watchers {
        &self.watchers
    }

    /// Returns the calls to control.
    pub fn calls(&self) -> &ControlCalls {
        &self.calls
    }

    /// Returns the stamp for a message of this process.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            sender: self.settings.me.clone(),
            table_version: self.store.version(),
            leaving: self.is_leaving(),
        }
    }

    /// Notes the stamp of a peer's message: from now on this process does no new work below the
    /// peer's version.
    pub fn observe(&self, stamp: &Stamp) {
        self.required_version
            .fetch_max(stamp.table_version.0, Ordering::SeqCst);
    }

    /// Marks this process as leaving in all of its stamps.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns true once this process takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns true once the view was confirmed current at a time after the start of the process.
    ///
    /// An older confirmation may lie before what the former run of this instance had applied.
    pub fn is_ready(&self) -> bool {
        // Compares times, not ages: the clock may go on between two readings.
        self.store
            .confirmed_at_ms()
            .is_some_and(|at_ms| at_ms >= self.started_at_ms)
    }

    /// Returns a view that new work may be done under. Waits up to a second for a version that a
    /// peer has applied; refuses if the view cannot be confirmed and the stale policy says so.
    pub async fn current(&self) -> Result<Arc<View>, Refusal> {
        let required = TableVersion(self.required_version.load(Ordering::SeqCst));
        if self.store.version() < required {
            let mut versions = self.store.versions();
            let caught_up = timeout(
                CATCH_UP_LIMIT,
                versions.wait_for(|version| *version >= required),
            )
            .await;
            if caught_up.is_err() {
                return Err(stale(format!(
                    "version {required} of the table is in force elsewhere, but not here yet"
                )));
            }
        }
        if !self.is_ready() {
            return Err(stale(
                "the table has not been read since the start".to_owned(),
            ));
        }
        let age_ms = self.store.confirmed_age_ms().unwrap_or(u64::MAX);
        match self.settings.stale_policy {
            StalePolicy::Refuse if age_ms > self.settings.stale_limit_ms => Err(stale(format!(
                "the table was last confirmed {age_ms} ms ago"
            ))),
            _ => Ok(self.store.view()),
        }
    }

    /// Puts a command into the replicated log.
    pub async fn submit(
        &self,
        command: &Command,
        limit: Duration,
    ) -> Result<Response, SubmitError> {
        self.calls.submit(|| self.stamp(), command, limit).await
    }

    /// Answers a watch call of another process.
    pub async fn answer_watch(&self, request: WatchRequest) -> WatchReply {
        self.observe(&request.stamp);
        // Two processes that feed each other would both lag behind control.
        if self.is_source(&request.stamp.sender.name) {
            return WatchReply::Unconfirmed {
                stamp: self.stamp(),
            };
        }
        answer_watch(&self.store, &self.watchers, || self.stamp(), request).await
    }

    /// Returns where the view currently comes from.
    pub fn source(&self) -> Option<SocketAddr> {
        let source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        source.as_ref().map(|(address, _)| *address)
    }

    fn is_source(&self, name: &InstanceName) -> bool {
        let source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        source.as_ref().is_some_and(|(_, source)| source == name)
    }

    /// Keeps the view current. Does not return.
    pub async fn run(self: Arc<Self>) {
        // Processes start at different control instances, chosen by their incarnation.
        let count = u64::try_from(self.settings.control_addresses.len().max(1)).unwrap_or(1);
        let start = self.settings.me.incarnation.0 % count;
        let mut next = usize::try_from(start).unwrap_or_default();
        loop {
            let addresses = self.calls.configured();
            let Some(address) = addresses.get(next % addresses.len().max(1)).copied() else {
                return;
            };
            next += 1;
            let mut source = Some(address);
            for _ in 0..MAX_REDIRECTS {
                source = match source {
                    Some(address) => self.follow(address).await,
                    None => break,
                };
            }
            // Spreads processes that lost the same source at the same time.
            sleep(RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    /// Watches one source until it fails; returns the relay that it redirects to, if it does.
    async fn follow(&self, address: SocketAddr) -> Option<SocketAddr> {
        // Not shared with other calls, so that its heartbeats end with the watch.
        let link = control_link(address);
        let mut fetch = Fetch::default();
        loop {
            self.calls.close_idle_links();
            let sent_at_ms = monotonic_ms();
            let reply = match self.watch(&link, fetch.cursor).await {
                Ok(Some(reply)) => reply,
                Ok(None) => continue,
                Err(error) => {
                    tracing::debug!(%address, %error, "watch failed");
                    return None;
                }
            };
            let stamp = reply.stamp();
            self.observe(stamp);
            let leaving = stamp.leaving;
            match reply {
                WatchReply::Deltas {
                    stamp,
                    deltas,
                    freshness,
                } => {
                    self.set_source(address, &stamp);
                    self.store.apply(&deltas);
                    self.confirm(stamp.table_version, confirmed_at_ms(sent_at_ms, freshness));
                    if freshness.confirmed_age_ms > RELAY_AGE_LIMIT_MS {
                        return None;
                    }
                }
                WatchReply::Snapshot {
                    stamp,
                    version,
                    bytes,
                    next,
                    freshness,
                } => {
                    self.set_source(address, &stamp);
                    let confirmed_at_ms = confirmed_at_ms(sent_at_ms, freshness);
                    fetch.add(version, bytes, stamp.table_version, confirmed_at_ms);
                    fetch.cursor = next;
                    if next.is_none() && !self.restore(address, &std::mem::take(&mut fetch)) {
                        return None;
                    }
                }
                WatchReply::Redirect { relay, .. } => {
                    return Some(relay).filter(|relay| *relay != address);
                }
                WatchReply::Unconfirmed { .. } => return None,
            }
            if leaving {
                return None;
            }
        }
    }

    /// Sends one watch call. Returns none if it was cut short because the version in force in the
    /// whole subtree has risen, which the source should hear of at once.
    async fn watch(
        &self,
        link: &Link<ControlClient>,
        piece: Option<SnapshotCursor>,
    ) -> Result<Option<WatchReply>, CallError> {
        let version = self.store.version();
        let subtree = self.watchers.subtree(version);
        let request = WatchRequest {
            stamp: self.stamp(),
            known_version: version,
            piece,
            subtree_version: subtree.version,
            subtree_count: subtree.count,
            hold_ms: HOLD_MS,
        };
        let call = link.call(WATCH_LIMIT, |client, context| async move {
            client.watch(context, request).await
        });
        tokio::select! {
            reply = call => reply.map(Some),
            () = self.watchers.raised_above(subtree.version, version) => Ok(None),
        }
    }

    /// Reports this process and its watchers to another one, without taking the view from it.
    /// Returns false if the report got no answer.
    pub(crate) async fn report(&self, link: &Link<ControlClient>) -> bool {
        match self.watch(link, None).await {
            Ok(reply) => {
                let is_watched = |reply: &WatchReply| matches!(reply, WatchReply::Deltas { .. });
                reply.is_none_or(|reply| is_watched(&reply))
            }
            Err(error) => {
                tracing::debug!(%error, "the leader does not know what is in force here");
                false
            }
        }
    }

    /// Confirms the applied view if it is at least as new as what the source had applied.
    fn confirm(&self, version: TableVersion, at_ms: u64) {
        if self.store.version() >= version {
            self.store.confirm(at_ms);
        }
    }

    fn restore(&self, address: SocketAddr, fetch: &Fetch) -> bool {
        match decode::<View>(&fetch.bytes) {
            Ok(view) => {
                self.store.replace(view);
                self.confirm(fetch.source_version, fetch.confirmed_at_ms);
                true
            }
            Err(error) => {
                tracing::error!(%address, %error, "snapshot of the view is malformed");
                false
            }
        }
    }

    fn set_source(&self, address: SocketAddr, stamp: &Stamp) {
        let mut source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        *source = Some((address, stamp.sender.name.clone()));
    }
}

/// A snapshot of which some pieces have arrived.
#[derive(Default)]
struct Fetch {
    cursor: Option<SnapshotCursor>,
    version: TableVersion,
    bytes: Vec<u8>,
    /// What the source had applied when it sent the first piece; the snapshot may be older.
    source_version: TableVersion,
    confirmed_at_ms: u64,
}

impl Fetch {
    /// Adds a piece; one of another version, or without a cursor, starts again.
    fn add(
        &mut self,
        version: TableVersion,
        bytes: Vec<u8>,
        source_version: TableVersion,
        confirmed_at_ms: u64,
    ) {
        let cursor = self.cursor;
        if cursor.is_some_and(|cursor| cursor.version == version && self.version == version) {
            self.bytes.extend(bytes);
            return;
        }
        // Later pieces do not renew the confirmation: the source may have moved on meanwhile.
        *self = Self {
            cursor,
            version,
            bytes,
            source_version,
            confirmed_at_ms,
        };
    }
}

/// Returns a time of this process's clock at which the source knew its view to be current.
///
/// The source answered no earlier than it had held the call after it was sent.
fn confirmed_at_ms(sent_at_ms: u64, freshness: Freshness) -> u64 {
    (sent_at_ms + freshness.held_ms).saturating_sub(freshness.confirmed_age_ms)
}

fn stale(message: String) -> Refusal {
    Refusal {
        code: RefusalCode::StaleTable,
        message,
        retry_after_ms: Some(1_000),
    }
}
