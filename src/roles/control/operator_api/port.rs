//! What the routes need of the control role.

use futures::future::BoxFuture;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::domain::state::{Command, Response, State};
use crate::rpc::control::ControlError;

/// Submits a command to the replicated log.
pub type SubmitFn =
    Box<dyn Fn(Command) -> BoxFuture<'static, Result<Response, ControlError>> + Send + Sync>;

/// Looks at the state.
pub type ReadTask = Box<dyn FnOnce(&State) + Send>;

/// Runs a task on the leader's state once the leader has confirmed that it is current.
pub type ReadFn =
    Box<dyn Fn(ReadTask) -> BoxFuture<'static, Result<(), ControlError>> + Send + Sync>;

/// Returns the status of this instance; every instance answers, not only the leader.
pub type StatusFn = Box<dyn Fn() -> BoxFuture<'static, Value> + Send + Sync>;

/// The port between the routes and the control role. In its errors `NotLeader` names the leader's
/// admin address, where its operators' API listens.
pub struct OperatorPort {
    /// The bearer token of operators. Without one every request is refused.
    pub token: Option<String>,
    pub submit: SubmitFn,
    pub read: ReadFn,
    pub status: StatusFn,
}

impl OperatorPort {
    /// Returns what `look` finds in the confirmed state.
    pub(super) async fn read<T: Send + 'static>(
        &self,
        look: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        let (sender, receiver) = oneshot::channel();
        let task = move |state: &State| {
            // The receiver is gone if the caller hung up.
            let _ = sender.send(look(state));
        };
        (self.read)(Box::new(task)).await?;
        receiver.await.map_err(|_| ControlError::Stopped)
    }
}
