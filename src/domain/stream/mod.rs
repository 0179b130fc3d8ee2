//! The token logs of generations, and the records of generations that never started or whose log
//! has been dropped.

mod generations;
mod past;
mod token_log;

pub use generations::{
    Cancelled, ExpireOutcome, Generations, Known, NewStream, PollView, STREAM_KEPT_MS, Violation,
};
pub use past::{MAX_PAST, PAST_RETENTION_MS, Past, PastRecord};
pub use token_log::{LogError, Stage, TokenLog};
