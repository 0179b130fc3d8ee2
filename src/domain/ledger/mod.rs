//! Idempotency keys and the claims on them.

mod claims;
mod key;

pub use claims::{KEY_RETENTION_MS, Ledger, MAX_CLAIMS, MAX_FUTURE_SKEW_MS, MAX_RELEASED_PER_KEY};
pub use key::{KeyError, MAX_KEY_BYTES, parse_key};
