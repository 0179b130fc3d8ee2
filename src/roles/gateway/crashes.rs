//! Requests that crash the instances which run them: reports crashes, and refuses the requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::sleep;

use super::Gateway;
use super::request::Job;
use super::response::Refusal;
use super::ticket::Ticket;
use super::upstream::refuses_connections;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::mutex::lock;
use crate::domain::quarantine::{Fingerprint, RequestChange, RequestWatch};

/// Time after which an instance that still accepted a connection is asked once more: the connections
/// of a process that crashes may end before its listener.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(50);

impl Gateway {
    pub(super) fn with_request_watch<T>(&self, use_it: impl FnOnce(&mut RequestWatch) -> T) -> T {
        use_it(&mut lock(&self.request_watch))
    }

    /// Fails if a request is quarantined. The status is final for callers, since no attempt can
    /// succeed.
    pub(super) fn check_fingerprint(&self, job: &Job) -> Result<(), Refusal> {
        if self.with_request_watch(|watch| watch.is_empty()) {
            return Ok(());
        }
        let fingerprint = job.fingerprint();
        let now_ms = monotonic_ms();
        match self.with_request_watch(|watch| watch.is_quarantined(fingerprint, now_ms)) {
            false => Ok(()),
            true => {
                tracing::info!(request = &*job.id, %fingerprint, "the request is quarantined");
                Err(Refusal::denied(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "request_quarantined",
                ))
            }
        }
    }

    /// Returns true if an earlier crash concerns a request that no complete run has followed.
    pub(super) fn is_suspected(&self, job: &Job) -> bool {
        !self.with_request_watch(|watch| watch.is_empty())
            && self.with_request_watch(|watch| watch.is_suspected(job.fingerprint()))
    }

    /// Records that an instance has run a request to its end.
    pub(super) fn record_completion(&self, job: &Job) {
        if !self.with_request_watch(|watch| watch.is_empty()) {
            self.with_request_watch(|watch| watch.record_completion(job.fingerprint()));
        }
    }

    /// Finds out in the background whether an instance that has broken off its response to a request
    /// has crashed, and reports it. A crash leaves nothing that listens; after a reset, a lost or
    /// garbled response or a cut link, connections are accepted or get no answer. An instance that
    /// leaves ends as planned.
    pub(super) fn check_for_crash(self: &Arc<Self>, job: &Job, ticket: &Ticket) {
        if self.with_view(|view| view.leaving(&ticket.identity).is_some()) {
            return;
        }
        let crash = PossibleCrash {
            request: Arc::clone(&job.id),
            fingerprint: job.fingerprint(),
            instance: Arc::clone(&ticket.identity),
            address: ticket.address,
        };
        tokio::spawn(Arc::clone(self).report_crash(crash));
    }

    async fn report_crash(self: Arc<Self>, crash: PossibleCrash) {
        if !refuses_connections(crash.address).await {
            sleep(SECOND_CHECK_DELAY).await;
            if !refuses_connections(crash.address).await {
                return;
            }
        }
        let PossibleCrash {
            request,
            fingerprint,
            instance,
            ..
        } = crash;
        tracing::info!(
            request = &*request,
            %fingerprint,
            instance = &*instance,
            "instance crashed while it ran the request"
        );
        let now_ms = monotonic_ms();
        let changes =
            self.with_request_watch(|watch| watch.record_crash(fingerprint, &instance, now_ms));
        for change in changes {
            if let RequestChange::Quarantined { request, crashes } = change {
                tracing::warn!(
                    fingerprint = %request,
                    crashes,
                    "request quarantined by this entry: instances crash while they run it"
                );
            }
        }
    }
}

/// An instance that has broken off its response to a request.
struct PossibleCrash {
    request: Arc<str>,
    fingerprint: Fingerprint,
    instance: Arc<str>,
    address: SocketAddr,
}
