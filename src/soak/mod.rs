//! Fault soak: runs the daemons as separate processes on loopback addresses, drives callers and an
//! operator, injects faults from outside, and checks what callers, operators and instances see.

mod callers;
mod checker;
mod document;
mod history;
mod operator;
mod plan;
mod platform;
mod processes;
mod recorder;
mod report;
mod run;
mod steps;
mod upstreams;
mod wire;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use checker::{Figures, Violation, check, figures, is_in_touch};
pub use history::{
    Bounds, Call, CallEnd, DocumentRead, Execution, ExecutionEnd, Fault, FaultKind, History,
    Publication, SentDocument, SentRoute, UnexpectedExit,
};
pub use operator::{Catalog, Draft, Drafts, News, Operator, OperatorRecord, OperatorSettings};
pub use plan::{Action, Plan, PlanKind, Size, Step};
pub use report::{summary, write};
pub use run::{Environment, run};

/// Locks a mutex, also after another holder has panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
