//! The view that a process has applied, and how current it is known to be.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use crate::adapters::clock::monotonic_ms;
use crate::adapters::telemetry::invariant;
use crate::domain::state::{View, ViewDelta};
use crate::model::TableVersion;

/// Changes that are retained for watchers that lag; a watcher that lags further gets a snapshot.
/// Bounds the memory of the retained deltas, and keeps a reply well below the maximum frame size.
const MAX_RETAINED_CHANGES: usize = 2_048;

struct Inner {
    view: Arc<View>,
    deltas: VecDeque<ViewDelta>,
    retained_changes: usize,
    confirmed_at_ms: Option<u64>,
}

impl Inner {
    fn retain(&mut self, delta: &ViewDelta) {
        self.retained_changes += delta.changes.len();
        self.deltas.push_back(delta.clone());
        while self.retained_changes > MAX_RETAINED_CHANGES
            && let Some(oldest) = self.deltas.pop_front()
        {
            self.retained_changes -= oldest.changes.len();
        }
    }
}

/// The applied view. Its version never decreases.
pub struct ViewStore {
    inner: Mutex<Inner>,
    version: watch::Sender<TableVersion>,
    confirmed: watch::Sender<u64>,
}

impl Default for ViewStore {
    fn default() -> Self {
        let inner = Inner {
            view: Arc::default(),
            deltas: VecDeque::new(),
            retained_changes: 0,
            confirmed_at_ms: None,
        };
        Self {
            inner: Mutex::new(inner),
            version: watch::Sender::new(TableVersion::default()),
            confirmed: watch::Sender::new(0),
        }
    }
}

impl ViewStore {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the applied view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.lock().view)
    }

    /// Returns the version of the applied view.
    pub fn version(&self) -> TableVersion {
        *self.version.borrow()
    }

    /// Returns a receiver of the applied version.
    pub fn versions(&self) -> watch::Receiver<TableVersion> {
        self.version.subscribe()
    }

    /// Returns a receiver of the monotonic time, in ms, at which the view was last known to be
    /// current.
    pub fn confirmations(&self) -> watch::Receiver<u64> {
        self.confirmed.subscribe()
    }

    /// Applies deltas in order; skips those that do not follow the applied version.
    pub fn apply(&self, deltas: &[ViewDelta]) {
        let mut inner = self.lock();
        for delta in deltas {
            if Arc::make_mut(&mut inner.view).apply(delta) {
                inner.retain(delta);
            }
        }
        let version = inner.view.version;
        drop(inner);
        self.publish_version(version);
    }

    /// Replaces the view by a newer one; ignores a view that is not newer.
    pub fn replace(&self, view: View) {
        let mut inner = self.lock();
        if view.version <= inner.view.version && inner.view.version != TableVersion::default() {
            return;
        }
        let version = view.version;
        inner.view = Arc::new(view);
        inner.deltas.clear();
        inner.retained_changes = 0;
        drop(inner);
        self.publish_version(version);
    }

    /// Records that the applied view was current at a monotonic time.
    pub fn confirm(&self, at_ms: u64) {
        let mut inner = self.lock();
        if inner.confirmed_at_ms.is_none_or(|known| known < at_ms) {
            inner.confirmed_at_ms = Some(at_ms);
            drop(inner);
            self.confirmed.send_replace(at_ms);
        }
    }

    /// Returns the monotonic time at which the view was last known to be current; `None` if it
    /// never was.
    pub fn confirmed_at_ms(&self) -> Option<u64> {
        self.lock().confirmed_at_ms
    }

    /// Returns the time since the view was last known to be current; `None` if it never was.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        let at_ms = self.confirmed_at_ms()?;
        Some(monotonic_ms().saturating_sub(at_ms))
    }

    /// Returns the deltas after a version, or `None` if they are no longer retained.
    pub fn deltas_since(&self, known: TableVersion) -> Option<Vec<ViewDelta>> {
        let inner = self.lock();
        if known == inner.view.version {
            return Some(Vec::new());
        }
        let start = inner.deltas.iter().position(|delta| delta.base == known)?;
        Some(inner.deltas.range(start..).cloned().collect())
    }

    fn publish_version(&self, version: TableVersion) {
        self.version.send_if_modified(|current| {
            invariant(version >= *current, "view_version_rises", || {
                format!("version {version} after {current}")
            });
            let newer = version > *current;
            *current = version.max(*current);
            newer
        });
    }
}
