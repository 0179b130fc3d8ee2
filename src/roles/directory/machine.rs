//! The newest published document as the state of the replicated log.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::domain::document::Document;
use crate::platform::decode_document;
use crate::roles::control::replica::StateMachine;
use crate::rpc::directory::Published;
use crate::rpc::{Packed, decode, encode};

/// The command of the log: publish a document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PutDocument {
    pub version: u64,
    pub body: Vec<u8>,
}

/// The answer to the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutAnswer {
    /// The version in force after the command.
    pub version: u64,
    /// False if the version in force was as high before.
    pub changed: bool,
}

/// The newest document.
#[derive(Debug)]
pub(crate) struct Machine {
    published: Mutex<Option<Published>>,
    /// The same as entries are told it.
    packed: Mutex<Option<Packed>>,
    /// The version that was last asked for; none if it cannot be read.
    decoded: Mutex<(u64, Option<Arc<Document>>)>,
    news: watch::Sender<u64>,
}

impl Machine {
    pub(crate) fn new(news: watch::Sender<u64>) -> Self {
        Self {
            published: Mutex::new(None),
            packed: Mutex::new(None),
            decoded: Mutex::default(),
            news,
        }
    }

    /// Returns the newest document that was applied here.
    pub(crate) fn published(&self) -> Option<Published> {
        self.published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the newest document for an entry that has applied `version`, if that is older.
    pub(crate) fn packed_after(&self, version: u64) -> Option<Packed> {
        let packed = self.packed.lock().unwrap_or_else(PoisonError::into_inner);
        packed.clone().filter(|packed| packed.version > version)
    }

    /// Returns the newest document; none if there is none that this version can read.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        let published = self.published()?;
        let mut decoded = self.decoded.lock().unwrap_or_else(PoisonError::into_inner);
        if decoded.0 != published.version {
            let document = decode_document(&published.body);
            if let Err(findings) = &document {
                tracing::error!(version = published.version, %findings,
                    "the published document cannot be read");
            }
            *decoded = (published.version, document.ok().map(Arc::new));
        }
        decoded.1.clone()
    }

    /// Returns the functions that the log calls.
    pub(crate) fn driven_by_log(machine: &Arc<Self>) -> StateMachine {
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
            tracing::error!(index, "log entry is not a command of this version; skipped");
            return Vec::new();
        };
        let held = self.published().map_or(0, |published| published.version);
        let changed = put.version > held;
        if changed {
            tracing::info!(index, from = held, to = put.version, "document published");
            self.set(Published {
                version: put.version,
                body: put.body.into(),
            });
        }
        let answer = PutAnswer {
            version: held.max(put.version),
            changed,
        };
        encode(&answer).unwrap_or_default()
    }

    fn restore(&self, snapshot: &[u8]) {
        match decode::<Option<Published>>(snapshot) {
            Ok(Some(published)) => {
                let held = self.published().map_or(0, |published| published.version);
                // A log that is opened again replays its past; readers keep the newer document.
                if published.version >= held {
                    self.set(published);
                }
            }
            Ok(None) => {}
            Err(error) => tracing::error!(%error, "snapshot of the document is malformed"),
        }
    }

    fn set(&self, published: Published) {
        match Packed::new(&published) {
            Ok(packed) => {
                tracing::debug!(
                    version = published.version,
                    bytes = published.body.len(),
                    packed_bytes = packed.len(),
                    "document packed"
                );
                *self.packed.lock().unwrap_or_else(PoisonError::into_inner) = Some(packed);
            }
            Err(error) => {
                tracing::error!(version = published.version, %error, "document cannot be packed");
            }
        }
        *self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(published);
        self.news.send_modify(|count| *count += 1);
    }
}
