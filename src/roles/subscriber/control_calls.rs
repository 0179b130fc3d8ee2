//! Calls to the control instances, with leader discovery and resending of idempotent commands.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::domain::state::{Command, Response};
use crate::rpc::control::{
    ControlClient, ControlError, PermitReply, PermitRequest, RoomReply, RoomRequest, SubmitRequest,
};
use crate::rpc::{CallError, Link, Stamp, control_link};

/// Time-out for one attempt. Leaves time to try other instances if one is unreachable.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A link that has not been used for this long is closed.
const IDLE_LINK_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after all control instances have been tried.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// Why a call to control failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// No attempt reached an instance that could have accepted the command.
    NotSubmitted(String),
    /// The command may have been accepted.
    Undecided(String),
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSubmitted(cause) => write!(f, "not submitted: {cause}"),
            Self::Undecided(cause) => write!(f, "undecided: {cause}"),
        }
    }
}

impl std::error::Error for SubmitError {}

struct CachedLink {
    used_at: Instant,
    link: Arc<Link<ControlClient>>,
}

/// Links to the control instances, and the address of the last known leader.
pub struct ControlCalls {
    configured: Vec<SocketAddr>,
    links: Mutex<BTreeMap<SocketAddr, CachedLink>>,
    leader: Mutex<Option<SocketAddr>>,
}

impl ControlCalls {
    /// Creates a caller of the control instances at the configured addresses.
    pub fn new(configured: Vec<SocketAddr>) -> Self {
        Self {
            configured,
            links: Mutex::default(),
            leader: Mutex::default(),
        }
    }

    /// Returns the configured addresses of control instances.
    pub fn configured(&self) -> &[SocketAddr] {
        &self.configured
    }

    /// Returns the link to an address, shared by all callers.
    pub fn link(&self, address: SocketAddr) -> Arc<Link<ControlClient>> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let cached = links.entry(address).or_insert_with(|| CachedLink {
            used_at: now,
            link: control_link(address),
        });
        cached.used_at = now;
        Arc::clone(&cached.link)
    }

    /// Closes idle links. Their heartbeats would load the control instances in proportion to the
    /// size of the fleet.
    pub fn close_idle_links(&self) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        links.retain(|_, cached| now < cached.used_at + IDLE_LINK_TIMEOUT);
    }

    /// Submits a command to the replicated log. Resends it until it is answered or `limit` has
    /// passed; commands are idempotent.
    pub async fn submit(
        &self,
        stamp: impl Fn() -> Stamp,
        command: &Command,
        limit: Duration,
    ) -> Result<Response, SubmitError> {
        self.call(limit, |client, context| {
            let request = SubmitRequest {
                stamp: stamp(),
                command: command.clone(),
            };
            async move { client.submit(context, request).await }
        })
        .await
    }

    /// Requests, renews and returns leases on slots.
    pub async fn room(
        &self,
        request: &RoomRequest,
        limit: Duration,
    ) -> Result<RoomReply, SubmitError> {
        self.call(limit, |client, context| {
            let request = request.clone();
            async move { client.room(context, request).await }
        })
        .await
    }

    /// Requests, renews or returns a permit to load from the weight store.
    pub async fn permit(
        &self,
        request: &PermitRequest,
        limit: Duration,
    ) -> Result<PermitReply, SubmitError> {
        self.call(limit, |client, context| {
            let request = request.clone();
            async move { client.permit(context, request).await }
        })
        .await
    }

    async fn call<T, F, Fut>(&self, limit: Duration, send: F) -> Result<T, SubmitError>
    where
        F: Fn(ControlClient, tarpc::context::Context) -> Fut,
        Fut: Future<Output = Result<Result<T, ControlError>, tarpc::client::RpcError>>,
    {
        let end = Instant::now() + limit;
        let mut undecided = false;
        let mut last_cause = "no control instance is configured".to_owned();
        let mut next = 0;
        loop {
            let address = match (self.leader_hint(), self.configured.get(next)) {
                (Some(leader), _) => leader,
                (None, Some(address)) => *address,
                (None, None) => {
                    next = 0;
                    sleep(ROUND_DELAY).await;
                    if Instant::now() >= end {
                        break;
                    }
                    continue;
                }
            };
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            next += 1;
            let result = self
                .link(address)
                .call(left.min(ATTEMPT_TIMEOUT), &send)
                .await;
            self.set_leader_hint(None);
            match result {
                Ok(Ok(value)) => {
                    self.set_leader_hint(Some(address));
                    return Ok(value);
                }
                Ok(Err(ControlError::NotLeader { leader })) => {
                    self.set_leader_hint(leader.filter(|leader| *leader != address));
                    last_cause = format!("{address} does not lead");
                }
                Ok(Err(ControlError::Undecided)) => {
                    undecided = true;
                    last_cause = format!("{address} could not decide in time");
                }
                Ok(Err(ControlError::Stopped)) => {
                    last_cause = format!("control at {address} has stopped");
                }
                Ok(Err(ControlError::Invalid { reason })) => {
                    return Err(SubmitError::NotSubmitted(reason));
                }
                Err(CallError::NotSent(cause)) => last_cause = cause,
                Err(CallError::Lost(cause)) => {
                    undecided = true;
                    last_cause = cause;
                }
            }
        }
        match undecided {
            true => Err(SubmitError::Undecided(last_cause)),
            false => Err(SubmitError::NotSubmitted(last_cause)),
        }
    }

    fn leader_hint(&self) -> Option<SocketAddr> {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_leader_hint(&self, leader: Option<SocketAddr>) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }
}
