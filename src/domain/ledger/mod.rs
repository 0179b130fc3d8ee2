//! Claims on idempotency keys.

mod claims;
mod key;

pub use claims::{FUTURE_LIMIT_MS, KEPT_WINDOW_MS, Ledger, MAX_CLAIMS, MAX_RELEASED};
pub use key::{KeyError, MAX_KEY_BYTES, parse_key};
