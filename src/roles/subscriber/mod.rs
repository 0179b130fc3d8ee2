//! The copy of the replicated view that every process keeps, and the calls of a process to control.

mod control_calls;
mod follow;
mod store;
mod watchers;

pub use control_calls::{ControlCalls, SubmitError};
pub use follow::{Subscriber, SubscriberSettings};
pub use store::ViewStore;
pub use watchers::{InForce, MAX_WATCHERS, Subtree, Watchers, answer_watch};
