//! The replicated state machine and the view of it that every process keeps.

mod command;
mod view;

pub use command::{
    ClaimAnswer, ClaimRefusal, Claimed, Command, EditAnswer, EditId, EditRefusal, KeyId,
    RegisterAnswer, Response, RowChange,
};
pub use view::{View, ViewChange, ViewDelta};
