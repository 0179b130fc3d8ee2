//! The operator of a soak run: draws documents from a seed and publishes them through the control
//! processes.

mod drafts;
mod driver;
mod invalid;

pub use drafts::{Catalog, Draft, Drafts};
pub use driver::{News, Operator, OperatorRecord, OperatorSettings};
