//! Fencing numbers, load permits and rollout order for engine orders.

mod engine;
mod permits;
mod rollout;

pub use engine::{
    Action, EngineAnswer, FENCE_VALID_MS, OrderBook, PERMIT_MARGIN_MS, REFUSED_RETRY_MS,
};
pub use permits::{PERMIT_LEASE_MS, PermitAnswer, PermitAsk, PermitBroker, WAIT_RETRY_MS};
pub use rollout::{
    DropRefusal, EngineState, Order, ROLLOUT_SHARE_PERCENT, Replica, may_drop, plan, rollout_share,
};
