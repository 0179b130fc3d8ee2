//! Estimates of output lengths, learned online per workspace and kind.
//!
//! Nobody knows in advance how long an answer will be. What is known is how long the answers of
//! the same workspace and kind were, and how far this one has come.

mod estimator;
mod hinted;
mod histogram;

pub use estimator::{Estimator, MAX_KEYS};
pub use hinted::HintedLengths;
pub use histogram::{Curve, Histogram, LONGEST_TOKENS};
