//! The token logs of generations, and what is remembered of generations that never started or
//! whose log is gone.

mod generations;
mod past;
mod token_log;

pub use generations::{
    Cancelled, Generations, Known, NewStream, PollView, Removed, STREAM_KEPT_MS, Violation,
};
pub use past::{MAX_PAST, PAST_KEPT_MS, Past, PastRecord};
pub use token_log::{LogError, Stage, TokenLog};
