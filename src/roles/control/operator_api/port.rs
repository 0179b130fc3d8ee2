//! The interface between the HTTP routes and the control role.

use futures::future::BoxFuture;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::domain::state::{Command, Response, State};
use crate::rpc::control::ControlError;

/// Submits a command to the replicated log.
pub type SubmitFn =
    Box<dyn Fn(Command) -> BoxFuture<'static, Result<Response, ControlError>> + Send + Sync>;

/// A read-only function of the state.
pub type ReadTask = Box<dyn FnOnce(&State) + Send>;

/// Runs a task on the leader's state once the leader has confirmed that it is current.
pub type ReadFn =
    Box<dyn Fn(ReadTask) -> BoxFuture<'static, Result<(), ControlError>> + Send + Sync>;

/// Returns the status of this instance; every instance answers, not only the leader.
pub type StatusFn = Box<dyn Fn() -> BoxFuture<'static, Value> + Send + Sync>;

/// The functions of the control role that the routes call. A `NotLeader` error carries the leader's
/// admin address, where its operators' API listens.
pub struct OperatorPort {
    /// The bearer token of operators. If `None`, every request is rejected.
    pub token: Option<String>,
    pub submit: SubmitFn,
    pub read: ReadFn,
    pub status: StatusFn,
}

impl OperatorPort {
    /// Calls `query` with the confirmed state and returns its result.
    pub(super) async fn read<T: Send + 'static>(
        &self,
        query: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        let (sender, receiver) = oneshot::channel();
        let task = move |state: &State| {
            // Sending fails if the caller has cancelled the request.
            let _ = sender.send(query(state));
        };
        (self.read)(Box::new(task)).await?;
        receiver.await.map_err(|_| ControlError::Stopped)
    }
}
