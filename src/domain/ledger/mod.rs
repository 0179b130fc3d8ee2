//! Claims on idempotency keys.
