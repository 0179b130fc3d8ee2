//! The replicated state machine: applies committed commands and publishes the resulting view.

use std::sync::{Arc, Mutex, PoisonError};

use crate::domain::state::{Command, Response, State};
use crate::roles::subscriber::ViewStore;
use crate::rpc::{decode, encode};

/// The replicated state of this instance, and the view store that it updates.
pub struct Machine {
    state: Mutex<State>,
    store: Arc<ViewStore>,
}

impl Machine {
    /// Creates an empty state that publishes its view to `store`.
    pub fn new(store: Arc<ViewStore>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            store,
        })
    }

    /// Calls `read` with the state locked and returns its result.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a committed command and returns the encoded response.
    pub fn apply(&self, index: u64, command: &[u8]) -> Vec<u8> {
        // Commands are encoded by this software before they reach the log, so one that cannot be
        // decoded comes from a newer version. All replicas of the same version skip it, so their
        // states stay equal.
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

    /// Replaces the state with that of a snapshot. A snapshot that cannot be decoded is ignored.
    pub fn restore(&self, snapshot: &[u8]) {
        match State::restore(snapshot) {
            Ok(restored) => {
                let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                self.store.replace(restored.view().clone());
                *state = restored;
            }
            Err(error) => tracing::error!(%error, "cannot decode snapshot; current state kept"),
        }
    }
}
