//! The applied copy of the replicated view that every process keeps, and its calls to control.

mod control_calls;
mod store;
mod subscriber;
mod watchers;

pub use control_calls::{ControlCalls, SubmitError};
pub use store::ViewStore;
pub use subscriber::{Subscriber, SubscriberSettings};
pub use watchers::{MAX_WATCHERS, Subtree, Watchers, answer_watch};
