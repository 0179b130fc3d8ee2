//! Fencing numbers, load permits and rollout order for engine orders.
