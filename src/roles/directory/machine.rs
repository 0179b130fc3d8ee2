//! The replicated state machine of the directory: it holds the newest published document.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::domain::document::Document;
use crate::platform::decode_document;
use crate::roles::control::replica::StateMachine;
use crate::rpc::directory::Published;
use crate::rpc::{Packed, decode, encode};

/// The only command of the replicated log: publishes a document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PutDocument {
    pub version: u64,
    pub body: Vec<u8>,
}

/// The result of [`PutDocument`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutAnswer {
    /// The version in force after the command was applied.
    pub version: u64,
    /// False if the version in force was already as high or higher.
    pub changed: bool,
}

/// The newest document that the log has applied, in the forms in which it is read.
#[derive(Debug)]
pub(crate) struct Machine {
    published: Mutex<Option<Published>>,
    /// The same document, compressed for sending to entries.
    packed: Mutex<Option<Packed>>,
    /// The version that was last decoded, and the result: `None` if it cannot be decoded.
    decoded: Mutex<(u64, Option<Arc<Document>>)>,
    /// Incremented with every new document.
    updates: watch::Sender<u64>,
}

impl Machine {
    pub(crate) fn new(updates: watch::Sender<u64>) -> Self {
        Self {
            published: Mutex::new(None),
            packed: Mutex::new(None),
            decoded: Mutex::default(),
            updates,
        }
    }

    /// Returns the newest document that this instance has applied.
    pub(crate) fn published(&self) -> Option<Published> {
        self.published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the newest document for an entry that holds `version`; `None` if it is up to date.
    pub(crate) fn packed_after(&self, version: u64) -> Option<Packed> {
        let packed = self.packed.lock().unwrap_or_else(PoisonError::into_inner);
        packed.clone().filter(|packed| packed.version > version)
    }

    /// Returns the newest document, decoded. `None` if none has been published, or if this version
    /// of the program cannot decode it.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        let published = self.published()?;
        let mut decoded = self.decoded.lock().unwrap_or_else(PoisonError::into_inner);
        if decoded.0 != published.version {
            let document = decode_document(&published.body);
            if let Err(findings) = &document {
                tracing::error!(version = published.version, %findings,
                    "cannot decode the published document");
            }
            *decoded = (published.version, document.ok().map(Arc::new));
        }
        decoded.1.clone()
    }

    /// Returns the callbacks through which the log applies, saves and restores the state.
    pub(crate) fn state_machine(machine: &Arc<Self>) -> StateMachine {
        let (applied, saved, restored) = (
            Arc::clone(machine),
            Arc::clone(machine),
            Arc::clone(machine),
        );
        StateMachine {
            apply: Box::new(move |index, command| applied.apply(index, command)),
            snapshot: Box::new(move || encode(&saved.published()).unwrap_or_default()),
            restore: Box::new(move |snapshot| restored.restore(snapshot)),
        }
    }

    fn apply(&self, index: u64, command: &[u8]) -> Vec<u8> {
        let Ok(put) = decode::<PutDocument>(command) else {
            tracing::error!(
                index,
                "skipping a log entry: this version cannot decode its command"
            );
            return Vec::new();
        };
        let current = self.published().map_or(0, |published| published.version);
        let changed = put.version > current;
        if changed {
            tracing::info!(
                index,
                from = current,
                to = put.version,
                "document published"
            );
            self.set(Published {
                version: put.version,
                body: put.body.into(),
            });
        }
        let answer = PutAnswer {
            version: current.max(put.version),
            changed,
        };
        encode(&answer).unwrap_or_default()
    }

    fn restore(&self, snapshot: &[u8]) {
        match decode::<Option<Published>>(snapshot) {
            Ok(Some(published)) => {
                let current = self.published().map_or(0, |published| published.version);
                // A log that is reopened restores an older snapshot first; readers keep the newer
                // document.
                if published.version >= current {
                    self.set(published);
                }
            }
            Ok(None) => {}
            Err(error) => tracing::error!(%error, "cannot decode the snapshot of the document"),
        }
    }

    fn set(&self, published: Published) {
        match Packed::new(&published) {
            Ok(packed) => {
                tracing::debug!(
                    version = published.version,
                    bytes = published.body.len(),
                    packed_bytes = packed.len(),
                    "document compressed"
                );
                *self.packed.lock().unwrap_or_else(PoisonError::into_inner) = Some(packed);
            }
            Err(error) => {
                tracing::error!(version = published.version, %error,
                    "cannot compress the document");
            }
        }
        *self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(published);
        self.updates.send_modify(|count| *count += 1);
    }
}
