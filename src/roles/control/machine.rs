//! Applies committed commands to the replicated state and publishes the view.

use std::sync::{Arc, Mutex, PoisonError};

use crate::domain::state::{Command, Response, State};
use crate::roles::subscriber::ViewStore;
use crate::rpc::{decode, encode};

/// The replicated state of this instance and the store of the view that it feeds.
pub struct Machine {
    state: Mutex<State>,
    store: Arc<ViewStore>,
}

impl Machine {
    /// Returns an empty state over a store.
    pub fn new(store: Arc<ViewStore>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            store,
        })
    }

    /// Returns what `read` makes of the state.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a committed command and returns the encoded response.
    pub fn apply(&self, index: u64, command: &[u8]) -> Vec<u8> {
        // Only commands that this program encoded reach the log, so a malformed one comes from a
        // newer program; all replicas of one version skip it alike.
        let Ok(command) = decode::<Command>(command) else {
            tracing::error!(index, "log entry is not a command of this version; skipped");
            return encode(&Response::Done).unwrap_or_default();
        };
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (response, delta) = state.apply(index, &command);
        if let Some(delta) = delta {
            self.store.apply(&[delta]);
        }
        encode(&response).unwrap_or_default()
    }

    /// Returns the encoded state.
    pub fn snapshot(&self) -> Vec<u8> {
        self.read(State::snapshot)
    }

    /// Replaces the state by a snapshot's.
    pub fn restore(&self, snapshot: &[u8]) {
        match State::restore(snapshot) {
            Ok(restored) => {
                let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                self.store.replace(restored.view().clone());
                *state = restored;
            }
            Err(error) => tracing::error!(%error, "snapshot of the state is malformed"),
        }
    }
}
