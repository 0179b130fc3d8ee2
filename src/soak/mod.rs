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
mod services;
mod steps;
mod upstreams;
mod wire;

pub use checker::{Figures, Violation, check, figures, is_in_touch};
pub use history::{
    Bounds, Call, CallEnd, DocumentRead, Execution, ExecutionEnd, Fault, FaultKind, History,
    Publication, SentDocument, SentRoute, UnexpectedExit,
};
pub use operator::{Catalog, Draft, Drafts, News, Operator, OperatorRecord, OperatorSettings};
pub use plan::{Action, Plan, PlanKind, ServiceStep, Size, Step};
pub use report::{summary, write};
pub use run::{Environment, run};
pub use services::Illness;
