//! Keeps the applied view current by long polling, and decides whether it is current enough for new
//! work.

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

/// Time for which the source holds a watch call while there is no change.
const HOLD_MS: u64 = 2_000;
/// Time-out for a watch call, including its hold time.
const WATCH_TIMEOUT: Duration = Duration::from_millis(HOLD_MS + 1_500);
/// Average pause before the next source is tried, so that a failing source is not polled in a tight
/// loop.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// If the view of a source was confirmed longer ago than this, the next configured control instance
/// is tried instead.
const MAX_SOURCE_AGE_MS: u64 = 5_000;
/// Sources that are followed in a row before another control instance is tried, because relays with
/// outdated information about each other may redirect in a circle.
const MAX_REDIRECTS: usize = 8;
/// Time for which new work waits for a version that a peer has already applied.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// The settings of a subscriber.
#[derive(Debug, Clone)]
pub struct SubscriberSettings {
    pub me: InstanceRef,
    pub control_addresses: Vec<SocketAddr>,
    pub stale_policy: StalePolicy,
    pub stale_limit_ms: u64,
}

/// The applied view of this process, its sources and its calls to control.
pub struct Subscriber {
    settings: SubscriberSettings,
    store: Arc<ViewStore>,
    watchers: Watchers,
    calls: ControlCalls,
    started_at_ms: u64,
    required_version: AtomicU64,
    leaving: AtomicBool,
    /// Address and name of the process that the view currently comes from.
    source: Mutex<Option<(SocketAddr, InstanceName)>>,
}

impl Subscriber {
    /// Creates a subscriber for a store. If this process has the control role, the replicated log
    /// updates the store; otherwise `run` does.
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

    /// Returns the applied view, however old it is. New work uses `current` instead.
    pub fn view(&self) -> Arc<View> {
        self.store.view()
    }

    /// Returns the store of the applied view.
    pub fn store(&self) -> &Arc<ViewStore> {
        &self.store
    }

    /// Returns the watchers that this process serves.
    pub fn watchers(&self) -> &Watchers {
        &self.watchers
    }

    /// Returns the caller of the control instances.
    pub fn calls(&self) -> &ControlCalls {
        &self.calls
    }

    /// Returns the stamp for a message that this process sends.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            sender: self.settings.me.clone(),
            table_version: self.store.version(),
            leaving: self.is_leaving(),
        }
    }

    /// Records the stamp of a peer's message. From now on this process does no new work under a
    /// version older than the peer's.
    pub fn observe(&self, stamp: &Stamp) {
        self.required_version
            .fetch_max(stamp.table_version.0, Ordering::SeqCst);
    }

    /// Marks this process as leaving, also in the stamps that it sends.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns true once this process accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns true once the view was confirmed to be current at a time after the process started.
    ///
    /// A view that was only confirmed earlier may be older than the one that the previous run of
    /// this instance had applied.
    pub fn is_ready(&self) -> bool {
        // Compares times rather than ages, since the clock may advance between two readings.
        self.store
            .confirmed_at_ms()
            .is_some_and(|at_ms| at_ms >= self.started_at_ms)
    }

    /// Returns the view for new work. Waits up to a second for a version that a peer has applied.
    /// Refuses if that version does not arrive, if the view has not been confirmed since the start,
    /// or if it is older than the stale limit and the stale policy is `Refuse`.
    pub async fn current(&self) -> Result<Arc<View>, Refusal> {
        let required = TableVersion(self.required_version.load(Ordering::SeqCst));
        if self.store.version() < required {
            let mut versions = self.store.versions();
            let caught_up = timeout(
                CATCH_UP_TIMEOUT,
                versions.wait_for(|version| *version >= required),
            )
            .await;
            if caught_up.is_err() {
                return Err(stale_table_refusal(format!(
                    "version {required} of the table is in force elsewhere, but not here yet"
                )));
            }
        }
        if !self.is_ready() {
            return Err(stale_table_refusal(
                "the table has not been read since the start".to_owned(),
            ));
        }
        let age_ms = self.store.confirmed_age_ms().unwrap_or(u64::MAX);
        match self.settings.stale_policy {
            StalePolicy::Refuse if age_ms > self.settings.stale_limit_ms => Err(
                stale_table_refusal(format!("the table was last confirmed {age_ms} ms ago")),
            ),
            _ => Ok(self.store.view()),
        }
    }

    /// Submits a command to the replicated log.
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
        // Two processes that are each other's source would both fall behind control.
        if self.is_source(&request.stamp.sender.name) {
            return WatchReply::Unconfirmed {
                stamp: self.stamp(),
            };
        }
        answer_watch(&self.store, &self.watchers, || self.stamp(), request).await
    }

    /// Returns the address of the process that the view currently comes from.
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
        // The incarnation selects the first control instance, which spreads processes over them.
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
            // The random delay spreads processes that lost the same source at the same time.
            sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    /// Watches one source until it fails, lags, leaves or redirects; returns the relay that it
    /// redirects to, if any.
    async fn follow(&self, address: SocketAddr) -> Option<SocketAddr> {
        // A link of its own, so that its heartbeats end when the source is left.
        let link = control_link(address);
        let mut fetch = SnapshotFetch::default();
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
                    if freshness.confirmed_age_ms > MAX_SOURCE_AGE_MS {
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
                    fetch.add_piece(version, bytes, stamp.table_version, confirmed_at_ms);
                    fetch.cursor = next;
                    if next.is_none() && !self.apply_snapshot(address, &std::mem::take(&mut fetch))
                    {
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

    /// Sends one watch call. Returns `None` if it was abandoned because the version in force in the
    /// whole subtree has risen, which the next call reports to the source without delay.
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
        let call = link.call(WATCH_TIMEOUT, |client, context| async move {
            client.watch(context, request).await
        });
        tokio::select! {
            reply = call => reply.map(Some),
            () = self.watchers.raised_above(subtree.version, version) => Ok(None),
        }
    }

    /// Reports the versions of this process and its watchers to another process, without applying
    /// the view of that process. Returns false if the call fails or its reply is not a list of
    /// deltas.
    pub(crate) async fn report(&self, link: &Link<ControlClient>) -> bool {
        match self.watch(link, None).await {
            Ok(reply) => {
                let is_deltas = |reply: &WatchReply| matches!(reply, WatchReply::Deltas { .. });
                reply.is_none_or(|reply| is_deltas(&reply))
            }
            Err(error) => {
                tracing::debug!(%error, "cannot report the applied versions to the leader");
                false
            }
        }
    }

    /// Confirms the applied view if it is at least as new as `version`, the one of the source.
    fn confirm(&self, version: TableVersion, at_ms: u64) {
        if self.store.version() >= version {
            self.store.confirm(at_ms);
        }
    }

    fn apply_snapshot(&self, address: SocketAddr, fetch: &SnapshotFetch) -> bool {
        match decode::<View>(&fetch.bytes) {
            Ok(view) => {
                self.store.replace(view);
                self.confirm(fetch.source_version, fetch.confirmed_at_ms);
                true
            }
            Err(error) => {
                tracing::error!(%address, %error, "cannot decode the snapshot of the view");
                false
            }
        }
    }

    fn set_source(&self, address: SocketAddr, stamp: &Stamp) {
        let mut source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        *source = Some((address, stamp.sender.name.clone()));
    }
}

/// A snapshot that is being fetched in pieces.
#[derive(Default)]
struct SnapshotFetch {
    cursor: Option<SnapshotCursor>,
    version: TableVersion,
    bytes: Vec<u8>,
    /// The version that the source had applied when it sent the first piece; the snapshot may be
    /// older.
    source_version: TableVersion,
    confirmed_at_ms: u64,
}

impl SnapshotFetch {
    /// Adds a piece. A piece of another version, or one fetched without a cursor, starts a new
    /// snapshot.
    fn add_piece(
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
        // Later pieces do not renew the confirmation: the source may have a newer view by then.
        *self = Self {
            cursor,
            version,
            bytes,
            source_version,
            confirmed_at_ms,
        };
    }
}

/// Returns a time by the clock of this process at which the source knew its view to be current.
///
/// The source answered no earlier than `held_ms` after the call was sent.
fn confirmed_at_ms(sent_at_ms: u64, freshness: Freshness) -> u64 {
    (sent_at_ms + freshness.held_ms).saturating_sub(freshness.confirmed_age_ms)
}

fn stale_table_refusal(message: String) -> Refusal {
    Refusal {
        code: RefusalCode::StaleTable,
        message,
        retry_after_ms: Some(1_000),
    }
}
