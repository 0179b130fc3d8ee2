//! The replicated state machine, and the view of its state that every process has a copy of.

mod command;
mod machine;
mod view;

pub use command::{
    ClaimAnswer, ClaimRefusal, Claimed, Command, EditAnswer, EditId, EditRefusal, KeyId,
    RegisterAnswer, Response, RowChange,
};
pub use machine::{RestoreError, SNAPSHOT_FORMAT, State};
pub use view::{View, ViewChange, ViewDelta};
