//! Orders that load and unload model versions on engines: fencing, load permits and rollouts.

mod engine;
mod permits;
mod rollout;

pub use engine::{
    Action, EngineReconciler, FENCE_CONFIRMATION_MS, OrderOutcome, PERMIT_RENEWAL_MARGIN_MS,
    REFUSED_ORDER_RETRY_MS,
};
pub use permits::{
    LoadPermitRequest, PERMIT_LEASE_MS, PERMIT_RETRY_MS, PermitAnswer, PermitBroker,
};
pub use rollout::{
    EngineState, MAX_ROLLOUT_PERCENT, Order, Replica, UnloadRefusal, max_concurrent_rollouts,
    may_unload, plan,
};
