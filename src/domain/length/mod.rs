//! Estimates of output lengths, learned online.
//!
//! The length of an answer is not known in advance. [`Estimator`] predicts it from earlier answers
//! of the same workspace and kind and from the tokens produced so far; [`HintedLengths`] predicts
//! it from the caller's hint and from earlier answers of the same route.

mod estimator;
mod hinted;
mod histogram;

pub use estimator::{Estimator, MAX_HISTOGRAMS};
pub use hinted::HintedLengths;
pub use histogram::{Histogram, LONGEST_TOKENS, SurvivalCurve};
