//! Answers to watch calls, at control instances and relays alike.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::timeout;

use super::ViewStore;
use crate::adapters::clock::monotonic_ms;
use crate::domain::members::Phase;
use crate::domain::state::View;
use crate::model::{InstanceName, TableVersion};
use crate::rpc::control::{Freshness, SnapshotCursor, WatchReply, WatchRequest};
use crate::rpc::{Stamp, encode};

/// Watchers that one process serves; further ones are sent to a relay, so that what a process
/// sends does not grow with the fleet.
pub const MAX_WATCHERS: usize = 32;
/// A watcher that was silent this long has gone elsewhere.
const WATCHER_LIMIT_MS: u64 = 6_000;
/// Upper bound on the time that a watch is held.
const MAX_HOLD_MS: u64 = 5_000;
/// Bytes of a snapshot in one reply.
const PIECE_BYTES: usize = 256 * 1024;
/// A process that has not confirmed its view for this long does not answer watchers. Below the
/// 12 s after which a process refuses work, so that watchers have time to find a better source.
const RELAY_LIMIT_MS: u64 = 6_000;

struct Watcher {
    seen_at_ms: u64,
    subtree: Subtree,
}

/// What a process knows of the watchers below it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subtree {
    /// The lowest version applied.
    pub version: TableVersion,
    /// The number of processes.
    pub count: u32,
}

/// The watchers of one process.
#[derive(Default)]
pub struct Watchers {
    active: Mutex<BTreeMap<InstanceName, Watcher>>,
    snapshot: Mutex<Option<(TableVersion, Vec<u8>)>>,
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
        let now_ms = monotonic_ms();
        let mut watchers = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        watchers.retain(|_, watcher| now_ms < watcher.seen_at_ms + WATCHER_LIMIT_MS);
        let start = Subtree {
            version: own,
            count: 1,
        };
        watchers.values().fold(start, |sum, watcher| Subtree {
            version: sum.version.min(watcher.subtree.version),
            count: sum.count + watcher.subtree.count,
        })
    }

    /// Notes a watcher and returns true, or returns false if there are enough others.
    fn admit(&self, request: &WatchRequest) -> bool {
        let now_ms = monotonic_ms();
        let mut watchers = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        watchers.retain(|_, watcher| now_ms < watcher.seen_at_ms + WATCHER_LIMIT_MS);
        let name = &request.stamp.sender.name;
        if !watchers.contains_key(name) && watchers.len() >= self.limit.unwrap_or(MAX_WATCHERS) {
            return false;
        }
        let subtree = Subtree {
            version: request.subtree_version,
            count: request.subtree_count,
        };
        watchers.insert(
            name.clone(),
            Watcher {
                seen_at_ms: now_ms,
                subtree,
            },
        );
        true
    }

    /// Returns the watcher with the smallest subtree, preferring the zone of the asker.
    fn relay_for(&self, view: &View, asker: &InstanceName) -> Option<SocketAddr> {
        let zone = view.members.members.get(asker).map(|member| &member.zone);
        let watchers = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        let candidates = watchers.iter().filter_map(|(name, watcher)| {
            let member = view.members.members.get(name)?;
            let usable = name != asker && member.phase == Phase::Live;
            usable.then_some((
                Some(&member.zone) != zone,
                watcher.subtree.count,
                member.rpc_address,
            ))
        });
        candidates.min().map(|(_, _, address)| address)
    }

    /// Returns a piece of the encoded view, made once per version.
    fn piece(
        &self,
        view: &View,
        cursor: Option<SnapshotCursor>,
    ) -> Option<(TableVersion, Vec<u8>, Option<SnapshotCursor>)> {
        let mut snapshot = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        let stale = match (&*snapshot, cursor) {
            (Some((version, _)), Some(cursor)) => *version != cursor.version,
            (Some((version, _)), None) => *version != view.version,
            (None, _) => true,
        };
        if stale {
            *snapshot = Some((view.version, encode(view).ok()?));
        }
        let (version, bytes) = snapshot.as_ref()?;
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

/// Answers a watch: deltas as soon as there are some, else an empty answer after the hold time.
pub async fn answer_watch(
    store: &ViewStore,
    watchers: &Watchers,
    stamp: impl Fn() -> Stamp,
    request: WatchRequest,
) -> WatchReply {
    let received_at_ms = monotonic_ms();
    if !watchers.admit(&request) {
        let relay = watchers.relay_for(&store.view(), &request.stamp.sender.name);
        if let Some(relay) = relay {
            return WatchReply::Redirect {
                stamp: stamp(),
                relay,
            };
        }
    }
    let hold = Duration::from_millis(request.hold_ms.min(MAX_HOLD_MS));
    if request.piece.is_none() {
        let mut versions = store.versions();
        let newer = versions.wait_for(|version| *version > request.known_version);
        // Either way the answer says what is known now.
        let _ = timeout(hold, newer).await;
    }
    if store.version() < request.known_version {
        return WatchReply::Unconfirmed { stamp: stamp() };
    }
    let Some(confirmed_age_ms) = store
        .confirmed_age_ms()
        .filter(|age_ms| *age_ms <= RELAY_LIMIT_MS)
    else {
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
        _ => match watchers.piece(&store.view(), request.piece) {
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
