//! Requests that have been admitted, so that those still open at the end of a planned stop can be
//! named.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::time::Instant;

use crate::adapters::mutex::lock;

/// Upper bound on the log lines of one call of `log_all`.
const MAX_LOGGED_REQUESTS: usize = 32;

/// The admitted requests of a gateway whose responses have not ended, in the order of admission.
#[derive(Default)]
pub(super) struct OpenRequests {
    next: AtomicU64,
    open: Mutex<BTreeMap<u64, Arc<Progress>>>,
}

/// How far a request has got.
struct Progress {
    id: Arc<str>,
    route: Arc<str>,
    arrived: Instant,
    /// Instance that the request was last sent to; `None` before the first attempt.
    instance: Mutex<Option<Arc<str>>>,
    /// Id of the last event that was received from an instance; 0 for none.
    last_event: AtomicU64,
}

/// Counts a request as open until it is dropped.
pub(super) struct OpenRequest {
    requests: Arc<OpenRequests>,
    number: u64,
    progress: Arc<Progress>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.lock().remove(&self.number);
    }
}

impl OpenRequest {
    /// Returns the id of the request.
    pub(super) fn id(&self) -> &str {
        &self.progress.id
    }

    /// Returns when the request arrived.
    pub(super) fn arrived(&self) -> Instant {
        self.progress.arrived
    }

    /// Records the instance that the request is sent to.
    pub(super) fn set_instance(&self, identity: &Arc<str>) {
        let mut instance = lock(&self.progress.instance);
        *instance = Some(Arc::clone(identity));
    }

    /// Returns the id of the last event that was received; `None` if there is none.
    pub(super) fn last_event(&self) -> Option<u64> {
        let id = self.progress.last_event.load(Ordering::Relaxed);
        (id > 0).then_some(id)
    }

    /// Records the last event that was received.
    pub(super) fn set_last_event(&self, id: u64) {
        self.progress.last_event.store(id, Ordering::Relaxed);
    }
}

impl OpenRequests {
    /// Starts counting a request.
    pub(super) fn begin(
        self: &Arc<Self>,
        id: &Arc<str>,
        route: &Arc<str>,
        arrived: Instant,
    ) -> OpenRequest {
        let progress = Arc::new(Progress {
            id: Arc::clone(id),
            route: Arc::clone(route),
            arrived,
            instance: Mutex::default(),
            last_event: AtomicU64::new(0),
        });
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(number, Arc::clone(&progress));
        OpenRequest {
            requests: Arc::clone(self),
            number,
            progress,
        }
    }

    /// Logs the open requests, oldest first, and returns their number. Only the first
    /// `MAX_LOGGED_REQUESTS` get a line.
    pub(super) fn log_all(&self) -> usize {
        let open: Vec<Arc<Progress>> = self.lock().values().cloned().collect();
        for request in open.iter().take(MAX_LOGGED_REQUESTS) {
            let instance = lock(&request.instance).clone();
            let age_ms = u64::try_from(request.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
            tracing::warn!(
                request = &*request.id,
                route = &*request.route,
                instance = instance.as_deref(),
                last_event = request.last_event.load(Ordering::Relaxed),
                age_ms,
                "request outlasts the grace period"
            );
        }
        open.len()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Progress>>> {
        lock(&self.open)
    }
}
