//! The port to the room of workspaces.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::adapters::clock::monotonic_ms;
use crate::model::{InstanceRef, KindName, Refusal, WorkspaceName};
use crate::roles::rooms::Rooms;

/// Upper bound on the time that a request waits for a slot.
const WAIT_LIMIT_MS: u64 = 10_000;
/// Time in which a slot is moved. A silent entry's lease ends within 5 s, and its slots stay
/// reserved for 30 s after that.
const ADOPT_LIMIT_MS: u64 = 20_000;

/// Waits for a slot of a workspace and kind, or says why there is none.
pub type Acquire = Arc<
    dyn Fn(WorkspaceName, KindName) -> BoxFuture<'static, Result<SlotGuard, Refusal>> + Send + Sync,
>;

/// Moves the slot of a generation from another entry that fell silent.
pub type Adopt = Arc<
    dyn Fn(InstanceRef, WorkspaceName, KindName) -> BoxFuture<'static, Result<SlotGuard, Refusal>>
        + Send
        + Sync,
>;

/// Who grants slots. Asked only for rows that limit their room.
#[derive(Clone)]
pub struct RoomPort {
    pub acquire: Acquire,
    pub adopt: Adopt,
}

impl RoomPort {
    /// Returns a port to leases on slots. The entry bounds the time that it waits.
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

    /// Returns a port that always grants.
    pub fn unlimited() -> Self {
        Self {
            acquire: Arc::new(|_, _| Box::pin(async { Ok(SlotGuard::default()) })),
            adopt: Arc::new(|_, _, _| Box::pin(async { Ok(SlotGuard::default()) })),
        }
    }
}

/// A slot in use; given back when dropped.
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
