//! Admission control, ordering and preemption of the generations of one upstream.
//!
//! The caller owns the real or simulated engine and drives a `Scheduler`:
//!
//! - `submit` queues a request or refuses it at once.
//! - `next` returns the actions that are due. Call it after `submit`, `on_end`, `on_stopped` and
//!   `cancel`, whenever `on_token` returns true, and at least every `NEXT_INTERVAL_MS` while the
//!   queue is not empty.
//! - On `Action::Start` the caller starts the generation at the engine, reports each token with
//!   `on_token` and the end of the run with `on_end`.
//! - On `Action::Stop` the caller stops the run at the engine and calls `on_stopped` once the
//!   engine has freed its memory. The request then returns to the front of the queue.
//! - `Action::Refuse` is final; the scheduler keeps no record of the request.
//! - `on_stop_refused` cancels a stop that came too late because tokens of the run had already
//!   been sent to the client.
//! - `on_shown` records that tokens were sent to the client, after which the run must not be
//!   preempted and restarted.
//!
//! The current time is an argument, so the scheduler is deterministic: the same calls yield the
//! same actions.

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
pub use policy::{Admission, MARGIN_DEVIATIONS, Policy};
pub use rate::RateMeter;
pub use scheduler::{NEXT_INTERVAL_MS, Scheduler, SchedulerConfig};
pub use shares::Shares;
