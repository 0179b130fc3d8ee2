//! Answers to watch calls, at control instances and relays alike.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::ViewStore;
use crate::adapters::clock::monotonic_ms;
use crate::domain::members::{Phase, Role};
use crate::domain::state::View;
use crate::model::{InstanceName, TableVersion};
use crate::rpc::control::{Freshness, SnapshotCursor, WatchReply, WatchRequest};
use crate::rpc::{Stamp, encode};

/// Watchers that one process serves; further ones are sent to a relay, so that what a process
/// sends does not grow with the fleet.
pub const MAX_WATCHERS: usize = 32;
/// A watcher whose last call ended this long ago has gone elsewhere. Counting it here as well as
/// there would delay the news that a version is in force.
const WATCHER_LIMIT_MS: u64 = 1_000;
/// A call that seems to go on for longer was lost without a trace.
const CALL_LIMIT_MS: u64 = 2 * MAX_HOLD_MS;
/// Upper bound on the time that a watch is held.
const MAX_HOLD_MS: u64 = 5_000;
/// Bytes of a snapshot in one reply.
const PIECE_BYTES: usize = 256 * 1024;
/// A process that has not confirmed its view for this long does not answer watchers. Below the
/// 12 s after which a process refuses work, so that watchers have time to find a better source.
const RELAY_LIMIT_MS: u64 = 6_000;

struct Watcher {
    /// When its latest call began or ended.
    seen_at_ms: u64,
    calls: u32,
    subtree: Subtree,
    leaving: bool,
    /// Processes redirected to it since its last call, which its count does not include yet.
    redirected: u32,
}

/// What a process knows of the watchers below it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subtree {
    /// The lowest version applied.
    pub version: TableVersion,
    /// The number of processes.
    pub count: u32,
}

/// On how many processes a version is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    /// Processes that are known to have applied the version. A subtree counts once all of it has.
    pub processes: u32,
    /// Processes known.
    pub known: u32,
}

struct Encoded {
    version: TableVersion,
    bytes: Vec<u8>,
}

/// The watchers of one process.
#[derive(Default)]
pub struct Watchers {
    active: Mutex<BTreeMap<InstanceName, Watcher>>,
    snapshot: Mutex<Option<Encoded>>,
    reported: Notify,
    limit: Option<usize>,
}

impl Watchers {
    /// Returns watchers with another limit than `MAX_WATCHERS`.
    pub fn with_limit(max_watchers: usize) -> Self {
        Self {
            limit: Some(max_watchers),
            ..Self::default()
        }
    }

    /// Returns the lowest version and the number of processes in the subtree of `own`, itself
    /// included.
    pub fn subtree(&self, own: TableVersion) -> Subtree {
        let start = Subtree {
            version: own,
            count: 1,
        };
        self.lock().values().fold(start, |sum, watcher| Subtree {
            version: sum.version.min(watcher.subtree.version),
            count: sum.count.saturating_add(watcher.subtree.count),
        })
    }

    /// Returns on how many processes of the subtree of `own`, itself included, a version is in
    /// force.
    pub fn in_force(&self, own: TableVersion, version: TableVersion) -> InForce {
        let start = InForce {
            processes: u32::from(own >= version),
            known: 1,
        };
        self.lock().values().fold(start, |sum, watcher| {
            let Subtree {
                version: applied,
                count,
            } = watcher.subtree;
            InForce {
                processes: sum.processes + if applied >= version { count } else { 0 },
                known: sum.known + count,
            }
        })
    }

    /// Waits until the lowest version of the subtree of `own` is above `reported`.
    pub async fn raised_above(&self, reported: TableVersion, own: TableVersion) {
        loop {
            let next_report = self.reported.notified();
            if self.subtree(own).version > reported {
                return;
            }
            next_report.await;
        }
    }

    /// Returns the watchers that called lately.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceName, Watcher>> {
        let now_ms = monotonic_ms();
        let mut watchers = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        watchers.retain(|_, watcher| {
            let limit_ms = match watcher.calls {
                0 => WATCHER_LIMIT_MS,
                _ => CALL_LIMIT_MS,
            };
            now_ms < watcher.seen_at_ms + limit_ms
        });
        watchers
    }

    /// Notes the call of a watcher, or returns none if there are enough others. Control instances
    /// are always admitted: they report what is in force below them.
    fn admit(&self, request: &WatchRequest, is_control: bool) -> Option<Call<'_>> {
        let mut watchers = self.lock();
        let name = &request.stamp.sender.name;
        let is_full = watchers.len() >= self.limit.unwrap_or(MAX_WATCHERS);
        if is_full && !is_control && !watchers.contains_key(name) {
            return None;
        }
        let calls = watchers.get(name).map_or(0, |watcher| watcher.calls);
        let watcher = Watcher {
            seen_at_ms: monotonic_ms(),
            calls: calls + 1,
            subtree: Subtree {
                version: request.subtree_version,
                count: request.subtree_count,
            },
            leaving: request.stamp.leaving,
            redirected: 0,
        };
        watchers.insert(name.clone(), watcher);
        drop(watchers);
        self.reported.notify_waiters();
        Some(Call {
            watchers: self,
            name: name.clone(),
        })
    }

    /// Returns the watcher with the smallest subtree, preferring the zone of the asker.
    fn relay_for(&self, view: &View, asker: &InstanceName) -> Option<SocketAddr> {
        let zone = view.members.members.get(asker).map(|member| &member.zone);
        let mut watchers = self.lock();
        let candidates = watchers.iter().filter_map(|(name, watcher)| {
            let member = view.members.members.get(name)?;
            let usable = name != asker && member.phase == Phase::Live && !watcher.leaving;
            let count = watcher.subtree.count.saturating_add(watcher.redirected);
            usable.then(|| (Some(&member.zone) != zone, count, name.clone()))
        });
        let (_, _, name) = candidates.min()?;
        // Spreads a burst of redirects; a relay that does not answer is not named twice in a row.
        watchers.get_mut(&name)?.redirected += 1;
        Some(view.members.members.get(&name)?.rpc_address)
    }

    /// Returns a piece of an encoded view.
    ///
    /// An older snapshot is used as long as the deltas beyond it are kept: while versions follow
    /// each other quickly, new watchers would otherwise never get all pieces of one version.
    fn piece(
        &self,
        store: &ViewStore,
        cursor: Option<SnapshotCursor>,
    ) -> Option<(TableVersion, Vec<u8>, Option<SnapshotCursor>)> {
        let mut snapshot = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        let usable = |encoded: &Encoded| store.deltas_since(encoded.version).is_some();
        if !snapshot.as_ref().is_some_and(usable) {
            let view = store.view();
            *snapshot = Some(Encoded {
                version: view.version,
                bytes: encode(&*view).ok()?,
            });
        }
        let Encoded { version, bytes } = snapshot.as_ref()?;
        // A cursor into a snapshot that is no longer kept starts again.
        let offset = match cursor {
            Some(cursor) if cursor.version == *version => {
                usize::try_from(cursor.offset_bytes).ok()?.min(bytes.len())
            }
            _ => 0,
        };
        let end = bytes.len().min(offset + PIECE_BYTES);
        let next = (end < bytes.len()).then(|| SnapshotCursor {
            version: *version,
            offset_bytes: u64::try_from(end).unwrap_or(u64::MAX),
        });
        Some((*version, bytes[offset..end].to_vec(), next))
    }
}

/// A call of a watcher; dropped when it is answered or its connection is lost.
struct Call<'a> {
    watchers: &'a Watchers,
    name: InstanceName,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if let Some(watcher) = self.watchers.lock().get_mut(&self.name) {
            watcher.calls = watcher.calls.saturating_sub(1);
            watcher.seen_at_ms = monotonic_ms();
        }
    }
}

/// Answers a watch: deltas as soon as there are some, else an empty answer after the hold time.
pub async fn answer_watch(
    store: &ViewStore,
    watchers: &Watchers,
    stamp: impl Fn() -> Stamp,
    request: WatchRequest,
) -> WatchReply {
    let received_at_ms = monotonic_ms();
    if !can_answer(store, &request) {
        return WatchReply::Unconfirmed { stamp: stamp() };
    }
    let call = watchers.admit(&request, is_control(&store.view(), &request));
    if call.is_none() {
        let relay = watchers.relay_for(&store.view(), &request.stamp.sender.name);
        if let Some(relay) = relay {
            return WatchReply::Redirect {
                stamp: stamp(),
                relay,
            };
        }
    }
    if request.piece.is_none() {
        hold(store, &request).await;
    }
    // Read before the deltas, so that they reach at least as far as what was confirmed.
    let age_ms = store.confirmed_age_ms();
    let Some(confirmed_age_ms) = age_ms.filter(|_| can_answer(store, &request)) else {
        return WatchReply::Unconfirmed { stamp: stamp() };
    };
    let freshness = Freshness {
        confirmed_age_ms,
        held_ms: monotonic_ms().saturating_sub(received_at_ms),
    };
    let known = request.known_version != TableVersion::default() && request.piece.is_none();
    match store.deltas_since(request.known_version) {
        Some(deltas) if known || deltas.is_empty() => WatchReply::Deltas {
            stamp: stamp(),
            deltas,
            freshness,
        },
        _ => match watchers.piece(store, request.piece) {
            Some((version, bytes, next)) => WatchReply::Snapshot {
                stamp: stamp(),
                version,
                bytes,
                next,
                freshness,
            },
            None => WatchReply::Unconfirmed { stamp: stamp() },
        },
    }
}

fn is_control(view: &View, request: &WatchRequest) -> bool {
    let member = view.members.members.get(&request.stamp.sender.name);
    member.is_some_and(|member| member.roles.contains(&Role::Control))
}

/// Returns false if the watcher is ahead of this process, or this process is cut off.
fn can_answer(store: &ViewStore, request: &WatchRequest) -> bool {
    let age_ms = store.confirmed_age_ms();
    store.version() >= request.known_version
        && age_ms.is_some_and(|age_ms| age_ms <= RELAY_LIMIT_MS)
}

/// Waits for a newer version, up to the hold time. In its last quarter a new confirmation ends the
/// wait as well, so that the age of the answer does not grow with each relay on the way.
async fn hold(store: &ViewStore, request: &WatchRequest) {
    let hold = Duration::from_millis(request.hold_ms.min(MAX_HOLD_MS));
    let (from, end) = (Instant::now() + hold * 3 / 4, Instant::now() + hold);
    let mut versions = store.versions();
    let mut confirmations = store.confirmations();
    let confirmed = async {
        sleep_until(from).await;
        confirmations.borrow_and_update();
        confirmations.changed().await
    };
    let newer = async {
        tokio::select! {
            _ = versions.wait_for(|version| *version > request.known_version) => {}
            _ = confirmed => {}
        }
    };
    // Either way the answer says what is known now.
    let _ = timeout_at(end, newer).await;
}
