//! Admission, order and preemption of the generations of one upstream.
//!
//! A `Scheduler` is driven by its owner, which holds the real or simulated engine:
//!
//! - `submit` queues a request or refuses it at once.
//! - `next` returns what to do now. Call it after `submit`, `on_end`, `on_stopped` and `cancel`,
//!   whenever `on_token` returns true, and at least every `NEXT_INTERVAL_MS` while the queue is
//!   not empty.
//! - After `Action::Start` the engine is asked; each of its tokens is reported by `on_token`, and
//!   its end by `on_end`.
//! - After `Action::Stop` the engine is told to stop. `on_stopped` follows once its memory is
//!   free, and the request waits at the front of the queue again.
//! - `Action::Refuse` is final; the request is forgotten.
//! - `on_stop_refused` takes back a stop that came too late, because tokens were given out.
//! - `on_shown` tells that tokens were given out, so that the run can't be replaced.
//!
//! Time is passed in; the same calls yield the same actions.

mod forecast;
mod job;
mod next;
mod policy;
mod progress;
mod queue;
mod rate;
mod scheduler;
mod shares;

pub use forecast::Forecast;
pub use job::{Action, Decision, Ended, Request, ScheduleLoad, engine_priority};
pub use policy::{Admission, DEVIATIONS, Policy};
pub use rate::RateMeter;
pub use scheduler::{NEXT_INTERVAL_MS, Scheduler, SchedulerConfig};
pub use shares::Shares;
