//! The replicated state machine of the directory: it holds the newest published document and the
//! evacuated zones.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::command::{Command, PutDocument, Snapshot};
use super::metrics::Metrics;
use crate::domain::document::Document;
use crate::domain::evacuation::{Evacuations, ZoneOrder};
use crate::platform::decode_document;
use crate::roles::control::replica::StateMachine;
use crate::rpc::directory::Published;
use crate::rpc::{Packed, encode};

/// The result of [`PutDocument`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutAnswer {
    /// The version in force after the command was applied.
    pub version: u64,
    /// False if the version in force was already as high or higher.
    pub changed: bool,
}

/// The result of an order for a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The revision of the evacuated zones after the order was applied.
    pub revision: u64,
    /// False if the order was already in force.
    pub changed: bool,
}

/// The state that the log has applied: the newest document, in the forms in which it is read, and
/// the evacuated zones.
pub(crate) struct Machine {
    published: Mutex<Option<Published>>,
    /// The same document, compressed for sending to entries.
    packed: Mutex<Option<Packed>>,
    /// The version that was last decoded, and the result: `None` if it cannot be decoded.
    decoded: Mutex<(u64, Option<Arc<Document>>)>,
    evacuations: watch::Sender<Evacuations>,
    metrics: Metrics,
    /// Incremented with every new document and every change of the evacuated zones.
    updates: watch::Sender<u64>,
}

impl Machine {
    pub(crate) fn new(updates: watch::Sender<u64>) -> Self {
        Self {
            published: Mutex::new(None),
            packed: Mutex::new(None),
            decoded: Mutex::default(),
            evacuations: watch::Sender::default(),
            metrics: Metrics::new(),
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

    /// Returns the evacuated zones, and wakes the receiver when they change.
    pub(crate) fn watch_evacuations(&self) -> watch::Receiver<Evacuations> {
        self.evacuations.subscribe()
    }

    /// Returns the evacuated zones.
    pub(crate) fn evacuations(&self) -> Evacuations {
        self.evacuations.borrow().clone()
    }

    /// Returns the evacuated zones for an entry that holds `revision`; `None` if it is up to date.
    pub(crate) fn evacuations_after(&self, revision: u64) -> Option<Evacuations> {
        let evacuations = self.evacuations.borrow();
        (evacuations.revision() > revision).then(|| evacuations.clone())
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
            snapshot: Box::new(move || saved.snapshot().encode().unwrap_or_default()),
            restore: Box::new(move |snapshot| restored.restore(snapshot)),
        }
    }

    fn apply(&self, index: u64, command: &[u8]) -> Vec<u8> {
        match Command::decode(command) {
            Ok(Command::Put(put)) => encode(&self.put(index, put)).unwrap_or_default(),
            Ok(Command::Evacuation(order)) => {
                encode(&self.order(index, &order)).unwrap_or_default()
            }
            Err(_) => {
                tracing::error!(
                    index,
                    "skipping a log entry: this version cannot decode its command"
                );
                Vec::new()
            }
        }
    }

    fn put(&self, index: u64, put: PutDocument) -> PutAnswer {
        let current = self.published().map_or(0, |published| published.version);
        let changed = put.version > current;
        let version = current.max(put.version);
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
        PutAnswer { version, changed }
    }

    fn order(&self, index: u64, order: &ZoneOrder) -> OrderAnswer {
        let changed = self
            .evacuations
            .send_if_modified(|evacuations| evacuations.apply(order, index));
        tracing::info!(
            index,
            zone = &*order.zone.0,
            action = order.action.label(),
            changed,
            "order for a zone applied"
        );
        if changed {
            self.evacuations_changed();
        }
        OrderAnswer {
            revision: self.evacuations.borrow().revision(),
            changed,
        }
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            published: self.published(),
            evacuations: self.evacuations(),
        }
    }

    /// Restores a snapshot. A log that is reopened restores an older one first; readers keep the
    /// newer document and set of zones.
    fn restore(&self, snapshot: &[u8]) {
        let snapshot = match Snapshot::decode(snapshot) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::error!(%error, "cannot decode the snapshot of the directory");
                return;
            }
        };
        let current = self.published().map_or(0, |published| published.version);
        if let Some(published) = snapshot.published
            && published.version >= current
        {
            self.set(published);
        }
        let restored = snapshot.evacuations;
        if self
            .evacuations
            .send_if_modified(|evacuations| evacuations.adopt(restored))
        {
            self.evacuations_changed();
        }
    }

    fn evacuations_changed(&self) {
        self.metrics.set_evacuations(&self.evacuations.borrow());
        self.updates.send_modify(|count| *count += 1);
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
