//! The view that a process has applied, and how current it is known to be.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use crate::adapters::clock::monotonic_ms;
use crate::adapters::telemetry::invariant;
use crate::domain::state::{View, ViewDelta};
use crate::model::TableVersion;

/// Changes kept for watchers that lag; one that lags further gets a snapshot. Bounds the memory of
/// the kept deltas, and the size of a reply well below the largest frame.
const KEPT_CHANGES: usize = 2_048;

struct Inner {
    view: Arc<View>,
    deltas: VecDeque<ViewDelta>,
    kept_changes: usize,
    confirmed_at_ms: Option<u64>,
}

impl Inner {
    fn keep(&mut self, delta: &ViewDelta) {
        self.kept_changes += delta.changes.len();
        self.deltas.push_back(delta.clone());
        while self.kept_changes > KEPT_CHANGES
            && let Some(oldest) = self.deltas.pop_front()
        {
            self.kept_changes -= oldest.changes.len();
        }
    }
}

/// The applied view. It only moves forward.
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
            kept_changes: 0,
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

    /// Returns a receiver of the monotonic time at which the view was last known to be current.
    pub fn confirmations(&self) -> watch::Receiver<u64> {
        self.confirmed.subscribe()
    }

    /// Applies deltas in order; those that do not follow the applied version are skipped.
    pub fn apply(&self, deltas: &[ViewDelta]) {
        let mut inner = self.lock();
        for delta in deltas {
            if Arc::make_mut(&mut inner.view).apply(delta) {
                inner.keep(delta);
            }
        }
        let version = inner.view.version;
        drop(inner);
        self.announce(version);
    }

    /// Replaces the view by a newer one; an older one is ignored.
    pub fn replace(&self, view: View) {
        let mut inner = self.lock();
        if view.version <= inner.view.version && inner.view.version != TableVersion::default() {
            return;
        }
        let version = view.version;
        inner.view = Arc::new(view);
        inner.deltas.clear();
        inner.kept_changes = 0;
        drop(inner);
        self.announce(version);
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

    /// Returns when the view was last known to be current; none if it never was.
    pub fn confirmed_at_ms(&self) -> Option<u64> {
        self.lock().confirmed_at_ms
    }

    /// Returns how long ago the view was known to be current; none if it never was.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        let at_ms = self.confirmed_at_ms()?;
        Some(monotonic_ms().saturating_sub(at_ms))
    }

    /// Returns the deltas beyond a version, or none if they are no longer kept.
    pub fn deltas_since(&self, known: TableVersion) -> Option<Vec<ViewDelta>> {
        let inner = self.lock();
        if known == inner.view.version {
            return Some(Vec::new());
        }
        let start = inner.deltas.iter().position(|delta| delta.base == known)?;
        Some(inner.deltas.range(start..).cloned().collect())
    }

    fn announce(&self, version: TableVersion) {
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
