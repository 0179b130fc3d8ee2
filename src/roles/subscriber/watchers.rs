//! Answers watch calls, at control instances and at relays.

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

/// Maximum number of watchers that one process serves. Further ones are redirected to a relay, so
/// that the traffic of one process does not grow with the fleet.
pub const MAX_WATCHERS: usize = 32;
/// A watcher whose last call ended this long ago counts as gone to another source. Counting it at
/// both would delay the report that a version is in force.
const IDLE_WATCHER_TIMEOUT_MS: u64 = 1_000;
/// A call that has been open for longer than this counts as lost, together with its watcher.
const LOST_CALL_TIMEOUT_MS: u64 = 2 * MAX_HOLD_MS;
/// Upper bound on the time for which a watch call is held.
const MAX_HOLD_MS: u64 = 5_000;
/// Maximum number of snapshot bytes in one reply.
const SNAPSHOT_PIECE_BYTES: usize = 256 * 1024;
/// A process whose view has not been confirmed for this long does not serve watchers. Less than the
/// 12 s after which a process refuses work, so that watchers have time to find another source.
const MAX_CONFIRMED_AGE_MS: u64 = 6_000;

struct Watcher {
    /// The time at which its latest call began or ended.
    seen_at_ms: u64,
    /// Open watch calls.
    calls: u32,
    subtree: Subtree,
    leaving: bool,
    /// Processes redirected to it since its last call; its reported count does not include them
    /// yet.
    redirected: u32,
}

/// A process and all processes that get their view from it, directly or through relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subtree {
    /// The lowest version that any of them has applied.
    pub version: TableVersion,
    /// The number of processes.
    pub count: u32,
}

/// The number of processes on which a version is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    /// Processes known to have applied the version. A watcher's subtree counts only once all of its
    /// processes have.
    pub processes: u32,
    /// All known processes.
    pub known: u32,
}

struct EncodedSnapshot {
    version: TableVersion,
    bytes: Vec<u8>,
}

/// The watchers that one process serves.
#[derive(Default)]
pub struct Watchers {
    active: Mutex<BTreeMap<InstanceName, Watcher>>,
    snapshot: Mutex<Option<EncodedSnapshot>>,
    subtree_reported: Notify,
    limit: Option<usize>,
}

impl Watchers {
    /// Creates watchers with a limit other than `MAX_WATCHERS`.
    pub fn with_limit(max_watchers: usize) -> Self {
        Self {
            limit: Some(max_watchers),
            ..Self::default()
        }
    }

    /// Returns the subtree of this process, including itself; `own` is the version that it has
    /// applied.
    pub fn subtree(&self, own: TableVersion) -> Subtree {
        let start = Subtree {
            version: own,
            count: 1,
        };
        self.active_watchers()
            .values()
            .fold(start, |sum, watcher| Subtree {
                version: sum.version.min(watcher.subtree.version),
                count: sum.count.saturating_add(watcher.subtree.count),
            })
    }

    /// Returns the number of processes in the subtree of this process, including itself, on which
    /// `version` is in force; `own` is the version that this process has applied.
    pub fn in_force(&self, own: TableVersion, version: TableVersion) -> InForce {
        let start = InForce {
            processes: u32::from(own >= version),
            known: 1,
        };
        self.active_watchers().values().fold(start, |sum, watcher| {
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

    /// Waits until the lowest version in the subtree is above `reported`; `own` is the version that
    /// this process has applied.
    pub async fn raised_above(&self, reported: TableVersion, own: TableVersion) {
        loop {
            let next_report = self.subtree_reported.notified();
            if self.subtree(own).version > reported {
                return;
            }
            next_report.await;
        }
    }

    /// Removes watchers that have timed out and returns the others.
    fn active_watchers(&self) -> MutexGuard<'_, BTreeMap<InstanceName, Watcher>> {
        let now_ms = monotonic_ms();
        let mut watchers = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        watchers.retain(|_, watcher| {
            let limit_ms = match watcher.calls {
                0 => IDLE_WATCHER_TIMEOUT_MS,
                _ => LOST_CALL_TIMEOUT_MS,
            };
            now_ms < watcher.seen_at_ms + limit_ms
        });
        watchers
    }

    /// Records a call of a watcher, or returns `None` if the limit of watchers is reached. Control
    /// instances are always admitted, since their calls report the versions of their subtrees.
    fn admit(&self, request: &WatchRequest, is_control: bool) -> Option<WatchCall<'_>> {
        let mut watchers = self.active_watchers();
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
        self.subtree_reported.notify_waiters();
        Some(WatchCall {
            watchers: self,
            name: name.clone(),
        })
    }

    /// Returns the address of the watcher with the smallest subtree, preferring the zone of the
    /// asker.
    fn relay_for(&self, view: &View, asker: &InstanceName) -> Option<SocketAddr> {
        let zone = view.members.members.get(asker).map(|member| &member.zone);
        let mut watchers = self.active_watchers();
        let candidates = watchers.iter().filter_map(|(name, watcher)| {
            let member = view.members.members.get(name)?;
            let usable = name != asker && member.phase == Phase::Live && !watcher.leaving;
            let count = watcher.subtree.count.saturating_add(watcher.redirected);
            usable.then(|| (Some(&member.zone) != zone, count, name.clone()))
        });
        let (_, _, name) = candidates.min()?;
        // Spreads a burst of redirects, and avoids naming an unresponsive relay twice in a row.
        watchers.get_mut(&name)?.redirected += 1;
        Some(view.members.members.get(&name)?.rpc_address)
    }

    /// Returns a piece of an encoded view: its version, its bytes and the cursor of the next piece.
    ///
    /// An older snapshot is reused as long as the deltas after it are retained. Otherwise new
    /// watchers would never get all pieces of one version while versions follow each other quickly.
    fn snapshot_piece(
        &self,
        store: &ViewStore,
        cursor: Option<SnapshotCursor>,
    ) -> Option<(TableVersion, Vec<u8>, Option<SnapshotCursor>)> {
        let mut snapshot = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        let usable = |encoded: &EncodedSnapshot| store.deltas_since(encoded.version).is_some();
        if !snapshot.as_ref().is_some_and(usable) {
            let view = store.view();
            *snapshot = Some(EncodedSnapshot {
                version: view.version,
                bytes: encode(&*view).ok()?,
            });
        }
        let EncodedSnapshot { version, bytes } = snapshot.as_ref()?;
        // A cursor into a snapshot that was replaced starts again at the beginning.
        let offset = match cursor {
            Some(cursor) if cursor.version == *version => {
                usize::try_from(cursor.offset_bytes).ok()?.min(bytes.len())
            }
            _ => 0,
        };
        let end = bytes.len().min(offset + SNAPSHOT_PIECE_BYTES);
        let next = (end < bytes.len()).then(|| SnapshotCursor {
            version: *version,
            offset_bytes: u64::try_from(end).unwrap_or(u64::MAX),
        });
        Some((*version, bytes[offset..end].to_vec(), next))
    }
}

/// An open call of a watcher; dropped when it is answered or its connection is lost.
struct WatchCall<'a> {
    watchers: &'a Watchers,
    name: InstanceName,
}

impl Drop for WatchCall<'_> {
    fn drop(&mut self) {
        if let Some(watcher) = self.watchers.active_watchers().get_mut(&self.name) {
            watcher.calls = watcher.calls.saturating_sub(1);
            watcher.seen_at_ms = monotonic_ms();
        }
    }
}

/// Answers a watch call: with deltas or a snapshot as soon as there is a newer version, otherwise
/// with an empty list of deltas after the hold time. Redirects or refuses watchers that it cannot
/// serve.
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
        wait_for_change(store, &request).await;
    }
    // Read before the deltas, so that these include everything that the confirmation covers.
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
        _ => match watchers.snapshot_piece(store, request.piece) {
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

/// Returns false if the watcher has a newer version than this process, or if the view of this
/// process was not confirmed recently.
fn can_answer(store: &ViewStore, request: &WatchRequest) -> bool {
    let age_ms = store.confirmed_age_ms();
    store.version() >= request.known_version
        && age_ms.is_some_and(|age_ms| age_ms <= MAX_CONFIRMED_AGE_MS)
}

/// Waits for a newer version, up to the hold time. In the last quarter of the hold time a new
/// confirmation also ends the wait, so that the age of the view does not grow with each relay on
/// the way.
async fn wait_for_change(store: &ViewStore, request: &WatchRequest) {
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
    // On a time-out too, the answer gives the current state.
    let _ = timeout_at(end, newer).await;
}
