//! Access to the slots that workspaces may use at the same time.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::adapters::clock::monotonic_ms;
use crate::model::{InstanceRef, KindName, Refusal, WorkspaceName};
use crate::roles::rooms::Rooms;

/// Longest time that a request waits for a slot.
const WAIT_LIMIT_MS: u64 = 10_000;
/// Time limit for taking over a slot. The lease of an entry that no longer responds ends within
/// 5 s, and its slots stay reserved for 30 s after that.
const ADOPT_LIMIT_MS: u64 = 20_000;

/// Waits for a slot of a workspace and kind; fails with the reason if there is none.
pub type Acquire = Arc<
    dyn Fn(WorkspaceName, KindName) -> BoxFuture<'static, Result<SlotGuard, Refusal>> + Send + Sync,
>;

/// Takes over the slot of a generation from another entry that no longer responds.
pub type Adopt = Arc<
    dyn Fn(InstanceRef, WorkspaceName, KindName) -> BoxFuture<'static, Result<SlotGuard, Refusal>>
        + Send
        + Sync,
>;

/// The source of slots. Used only for workspaces and kinds whose rows limit the number of slots.
#[derive(Clone)]
pub struct RoomPort {
    pub acquire: Acquire,
    pub adopt: Adopt,
}

impl RoomPort {
    /// Returns a source that takes leases on slots. A wait is bounded by `WAIT_LIMIT_MS`.
    pub fn leases(rooms: &Arc<Rooms>) -> Self {
        let (rooms, adopter) = (Arc::clone(rooms), Arc::clone(rooms));
        Self {
            adopt: Arc::new(move |from, workspace, kind| {
                let rooms = Arc::clone(&adopter);
                Box::pin(async move {
                    let deadline_at_ms = monotonic_ms() + ADOPT_LIMIT_MS;
                    let lease = rooms
                        .adopt(&from, &workspace, &kind, deadline_at_ms)
                        .await?;
                    Ok(SlotGuard::new(move || drop(lease)))
                })
            }),
            acquire: Arc::new(move |workspace, kind| {
                let rooms = Arc::clone(&rooms);
                Box::pin(async move {
                    let deadline_at_ms = monotonic_ms() + WAIT_LIMIT_MS;
                    let lease = rooms.acquire(&workspace, &kind, deadline_at_ms).await?;
                    Ok(SlotGuard::new(move || drop(lease)))
                })
            }),
        }
    }

    /// Returns a source that grants every slot at once.
    pub fn unlimited() -> Self {
        Self {
            acquire: Arc::new(|_, _| Box::pin(async { Ok(SlotGuard::default()) })),
            adopt: Arc::new(|_, _, _| Box::pin(async { Ok(SlotGuard::default()) })),
        }
    }
}

/// A slot in use; released when dropped.
#[derive(Default)]
pub struct SlotGuard(Option<Box<dyn FnOnce() + Send + Sync>>);

impl SlotGuard {
    /// Returns a guard that calls `release` when dropped.
    pub fn new(release: impl FnOnce() + Send + Sync + 'static) -> Self {
        Self(Some(Box::new(release)))
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(release) = self.0.take() {
            release();
        }
    }
}
