//! The port to the room of workspaces.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::model::{KindName, Refusal, WorkspaceName};

/// Waits for a slot of a workspace and kind, or says why there is none.
pub type Acquire = Arc<
    dyn Fn(WorkspaceName, KindName) -> BoxFuture<'static, Result<SlotGuard, Refusal>> + Send + Sync,
>;

/// Who grants slots. Asked only for rows that limit their room.
#[derive(Clone)]
pub struct RoomPort {
    pub acquire: Acquire,
}

impl RoomPort {
    /// Returns a port that always grants.
    pub fn unlimited() -> Self {
        Self {
            acquire: Arc::new(|_, _| Box::pin(async { Ok(SlotGuard::default()) })),
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
