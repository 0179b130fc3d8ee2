//! The token logs of generations, and the records of generations that never started or whose log
//! has been dropped.

mod generations;
mod past_generations;
mod token_log;

pub use generations::{
    Cancelled, ExpireOutcome, GenerationState, Generations, NewStream, PollView, STREAM_KEPT_MS,
    Violation,
};
pub use past_generations::{MAX_PAST, PAST_RETENTION_MS, PastGenerations, PastRecord};
pub use token_log::{LogError, Stage, TokenLog};
