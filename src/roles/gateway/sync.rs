//! Keeps the document, the instance list and the loads of other entries up to date by polling
//! control.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures::future;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::Gateway;
use crate::adapters::clock::monotonic_ms;
use crate::domain::document::Index;
use crate::domain::evacuation::Evacuations;
use crate::domain::fleet::{ColdRules, ListReads};
use crate::domain::quarantine::{PartNotices, PartWatch, RequestNotices};
use crate::platform::{self, decode_document};
use crate::roles::site::ControlSelector;
use crate::rpc::directory::{DirectoryClient, Published, SyncReply, SyncRequest};
use crate::rpc::{CallError, Link, Packed, directory_link};

/// Time for which control may hold a sync call (long polling) until there are changes. The loads of
/// other entries may be out of date by this much.
const SYNC_HOLD_MS: u64 = 200;
/// Timeout of a sync call: the time that control may hold it, plus 600 ms.
const SYNC_TIMEOUT: Duration = Duration::from_millis(SYNC_HOLD_MS + 600);
/// Time after which the first sync is restarted with the current seed addresses if no control
/// instance has confirmed a reply.
const FIRST_SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed or unconfirmed call.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The instance list is read directly from the platform once control's copy is older than this.
/// Instances must get no new requests 3 s after they are listed as draining.
const LIST_STALE_MS: u64 = 1_500;
/// Timeout of reading the platform's list, which has up to 60 pages on the largest supported sites.
const LIST_READ_TIMEOUT: Duration = Duration::from_secs(2);

impl Gateway {
    /// Syncs with control until the process ends.
    pub(super) async fn sync(self: Arc<Self>, seeds: watch::Receiver<Vec<SocketAddr>>) {
        let first = self.find_confirming_control(&seeds).await;
        let mut selector = ControlSelector::new(seeds);
        selector.follow(Some(first));
        // Initially now: nothing can be served before the first document, and control sends the
        // list along with it.
        let mut listed_ms = monotonic_ms();
        loop {
            let now_ms = monotonic_ms();
            let entries = self.entry_count.load(Ordering::Relaxed);
            let reads_list =
                self.with_list_reads(|reads| match now_ms > listed_ms + LIST_STALE_MS {
                    true => reads.begin(entries, rand::random(), now_ms),
                    false => {
                        reads.list_received();
                        false
                    }
                });
            if reads_list {
                tokio::spawn(Arc::clone(&self).read_list());
            }
            let Some(link) = selector.link() else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let notices = self.with_part_watch(PartWatch::take_notices);
            let request_notices =
                self.with_request_watch(|watch| watch.take_notices(monotonic_ms()));
            let request = SyncRequest {
                parts: notices.clone(),
                requests: request_notices.clone(),
                ..self.sync_request()
            };
            let asked_ms = monotonic_ms();
            match call_sync(&link, request).await {
                Ok(reply) => {
                    selector.follow(reply.leader);
                    if !is_from_leader(&reply) {
                        self.restore_notices(notices, request_notices);
                    }
                    if let Some(age_ms) = reply.list_age_ms {
                        listed_ms = listed_ms.max(monotonic_ms().saturating_sub(age_ms));
                    }
                    if !reply.confirmed {
                        self.metrics.sync_failures.inc();
                        // An instance without a replicated log never confirms; the leader that it
                        // names may.
                        if reply.keeps_log || reply.leader.is_none() {
                            selector.unconfirmed();
                        }
                        sleep(RETRY_DELAY).await;
                    }
                    let current = selector.link();
                    *self.control.lock().unwrap_or_else(PoisonError::into_inner) = current;
                    self.apply_reply(reply, asked_ms);
                }
                Err(error) => {
                    self.restore_notices(notices, request_notices);
                    self.metrics.sync_failures.inc();
                    selector.failed(&error.to_string());
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Polls all seed control instances concurrently and returns the address of the first one that
    /// confirms its reply. After a power loss some of them may still be down or know no leader, and
    /// an entry that asked them in sequence would refuse callers in the meantime.
    async fn find_confirming_control(
        &self,
        seeds: &watch::Receiver<Vec<SocketAddr>>,
    ) -> SocketAddr {
        loop {
            let addresses = seeds.borrow().clone();
            let asking = addresses
                .iter()
                .map(|address| Box::pin(self.wait_for_confirmation(*address)));
            let round = async {
                match addresses.is_empty() {
                    true => future::pending().await,
                    false => future::select_all(asking).await.0,
                }
            };
            if let Ok(address) = timeout(FIRST_SYNC_TIMEOUT, round).await {
                return address;
            }
            // The next round reads the seed addresses again, as the settings may have changed.
            self.metrics.sync_failures.inc();
            tracing::warn!(named = ?addresses, "no control instance has confirmed the document");
        }
    }

    /// Polls a control instance, or the leader that it names, until a reply is confirmed. Returns
    /// the address of the instance that confirmed it.
    async fn wait_for_confirmation(&self, mut address: SocketAddr) -> SocketAddr {
        let mut link = directory_link(address);
        loop {
            let request = SyncRequest {
                hold_ms: 0,
                ..self.sync_request()
            };
            let asked_ms = monotonic_ms();
            match call_sync(&link, request).await {
                Ok(reply) if reply.confirmed => {
                    *self.control.lock().unwrap_or_else(PoisonError::into_inner) = Some(link);
                    self.apply_reply(reply, asked_ms);
                    return address;
                }
                Ok(SyncReply {
                    keeps_log: false,
                    leader: Some(leader),
                    ..
                }) if leader != address => {
                    address = leader;
                    link = directory_link(address);
                }
                Ok(reply) => {
                    let without_log = !reply.keeps_log && reply.leader.is_none();
                    self.control_without_log
                        .store(without_log, Ordering::Relaxed);
                }
                Err(error) => {
                    tracing::debug!(%address, %error, "first sync call to control failed");
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Keeps notices whose report did not reach the leader's hub.
    fn restore_notices(&self, parts: PartNotices, requests: RequestNotices) {
        self.with_part_watch(|watch| watch.restore(parts));
        self.with_request_watch(|watch| watch.restore(requests));
    }

    fn sync_request(&self) -> SyncRequest {
        let version = self
            .index
            .borrow()
            .as_ref()
            .map_or(0, |index| index.version());
        let evacuation_revision = self.evacuations.borrow().revision();
        self.with_view(|view| SyncRequest {
            entry: Arc::clone(&self.name),
            zone: view.zone().clone(),
            version,
            evacuation_revision,
            position: view.position(),
            loads: view.take_loads(monotonic_ms()),
            departures: view.departures(),
            limits: view.limit_notices(monotonic_ms()),
            parts: PartNotices::default(),
            requests: RequestNotices::default(),
            hold_ms: SYNC_HOLD_MS,
        })
    }

    fn apply_reply(&self, mut reply: SyncReply, asked_ms: u64) {
        // An unconfirmed document may be older than one whose publication was acknowledged; the same
        // holds for evacuated zones. These come first: the first document lets requests in.
        if reply.confirmed {
            if let Some(evacuations) = reply.evacuations.take() {
                self.apply_evacuations(evacuations);
            }
            match reply.document.as_ref().map(Packed::unpack) {
                Some(Ok(published)) => self.apply_document(&published),
                Some(Err(error)) => {
                    tracing::error!(%error, "cannot unpack the document received from control");
                }
                None => {}
            }
            if self.index.borrow().is_some() {
                self.confirmed_ms
                    .fetch_max(asked_ms.max(1), Ordering::Relaxed);
            }
        }
        if !reply.confirmed && reply.keeps_log {
            self.unconfirmed_reply_ms
                .store(monotonic_ms().max(1), Ordering::Relaxed);
        }
        if is_from_leader(&reply) {
            self.with_part_watch(|watch| watch.apply(reply.parts));
            self.with_request_watch(|watch| watch.apply(reply.requests, monotonic_ms()));
        }
        self.entry_count
            .store(reply.entries.max(1), Ordering::Relaxed);
        self.with_view(|view| view.set_entries(reply.entries));
        let now_ms = monotonic_ms();
        let read_ms = now_ms.saturating_sub(reply.list_age_ms.unwrap_or(now_ms));
        let fleet_changed = reply.fleet.is_some_and(|update| {
            self.with_view(|view| view.apply_update(update, read_ms, now_ms))
        });
        let cold = self.with_view(|view| view.cold_instances(now_ms));
        self.metrics
            .cold
            .instances
            .set(i64::try_from(cold).unwrap_or(i64::MAX));
        self.pace_metrics
            .set(&self.with_view(|view| view.pace_summaries()));
        self.capacity_changes.notify_waiters();
        if fleet_changed {
            self.departure_changes.send_modify(|count| *count += 1);
        }
    }

    fn apply_evacuations(&self, evacuations: Evacuations) {
        let revision = evacuations.revision();
        let zones = evacuations.zones().clone();
        let is_newer = self.evacuations.send_if_modified(|held| {
            let is_newer = held.adopt(evacuations);
            // Before waiters are woken, which look at the view.
            if is_newer {
                self.with_view(|view| view.set_evacuated(zones.clone()));
            }
            is_newer
        });
        if !is_newer {
            return;
        }
        self.metrics.set_evacuations(zones.len(), revision);
        let names: Vec<&str> = zones.iter().map(|zone| &*zone.0).collect();
        tracing::info!(revision, zones = names.join(","), "evacuated zones applied");
        self.capacity_changes.notify_waiters();
        // Streams check whether their backup, or the target of their move, is evacuated.
        self.departure_changes.send_modify(|count| *count += 1);
    }

    fn apply_document(&self, published: &Published) {
        let document = match decode_document(&published.body) {
            Ok(document) => document,
            Err(findings) => {
                tracing::error!(version = published.version, %findings,
                    "ignoring an invalid published document");
                return;
            }
        };
        let cold_rules = ColdRules::from(&document);
        let index = Arc::new(Index::new(document));
        let changed = self.index.send_if_modified(|held| {
            let newer = held
                .as_ref()
                .is_none_or(|held| held.version() < index.version());
            if newer {
                *held = Some(Arc::clone(&index));
            }
            newer
        });
        if changed {
            self.with_view(|view| view.set_cold_rules(cold_rules));
            let version = index.version();
            self.metrics
                .document_version
                .set(i64::try_from(version).unwrap_or(i64::MAX));
            tracing::info!(
                version,
                routes = index.document().routes.len(),
                "document applied"
            );
        }
    }

    fn with_list_reads<T>(&self, use_it: impl FnOnce(&mut ListReads) -> T) -> T {
        let mut reads = self
            .list_reads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        use_it(&mut reads)
    }

    /// Reads the instance list directly from the platform while control does not provide it.
    async fn read_list(self: Arc<Self>) {
        let Some(address) = self.settings.list_address else {
            return;
        };
        let read = platform::read_list(address, LIST_READ_TIMEOUT).await;
        self.with_list_reads(|reads| reads.end(read.is_ok()));
        match read {
            Ok(listed) => {
                tracing::info!(
                    instances = listed.len(),
                    "read the instance list directly from the platform"
                );
                let now_ms = monotonic_ms();
                self.with_view(|view| view.apply_platform_list(listed, now_ms, now_ms));
                self.departure_changes.send_modify(|count| *count += 1);
            }
            Err(error) => tracing::warn!(%error, "cannot read the instance list from the platform"),
        }
    }
}

/// Returns true if the reply comes from the leader, whose hub collects what all entries report.
fn is_from_leader(reply: &SyncReply) -> bool {
    reply.confirmed && reply.leader.is_none()
}

async fn call_sync(
    link: &Link<DirectoryClient>,
    request: SyncRequest,
) -> Result<SyncReply, CallError> {
    link.call(SYNC_TIMEOUT, |client, context| async move {
        client.sync(context, request).await
    })
    .await
}
