//! Interchangeable admission policies.

use super::Forecast;
use crate::rpc::sidecar::Lane;

/// Safety margin of a memory forecast below capacity, in standard deviations.
///
/// For a sum of many generations 1.64 is the 95 % quantile. A smaller margin causes steeply more
/// preemptions, a larger one leaves memory unused; `tests/schedule_runs.rs` checks both against
/// their targets.
pub const MARGIN_DEVIATIONS: f64 = 1.64;

/// The input of an admission decision: the state of the upstream and the candidate request.
#[derive(Debug)]
pub struct Admission<'a> {
    pub capacity_tokens: u64,
    /// Memory reserved for the small lane, which only long candidates have to leave free.
    pub reserved_tokens: u64,
    pub max_running: u32,
    /// Slots reserved for the small lane.
    pub reserved_slots: u32,
    pub running: u32,
    pub running_long: u32,
    pub used_tokens: u64,
    /// Prompt tokens plus the largest allowed output of all running generations.
    pub worst_case_tokens: u64,
    pub lane: Lane,
    /// Prompt tokens plus the largest allowed output of the candidate.
    pub candidate_worst_tokens: u64,
    /// Memory that the candidate needs when it starts.
    pub candidate_tokens: u64,
    /// Forecast of the candidate alone.
    pub candidate: &'a Forecast,
    /// Forecast of the long lane, including the candidate if it is in that lane.
    pub long: &'a Forecast,
    /// Forecast of the small lane, including the candidate if it is in that lane.
    pub small: &'a Forecast,
}

type AdmissionFn = Box<dyn Fn(&Admission) -> bool + Send + Sync>;

/// An admission policy. Without any of the flags, requests start in the order of their arrival.
pub struct Policy {
    pub name: &'static str,
    /// Returns true if the candidate may start now. It is not called while nothing runs: a
    /// candidate always starts on an idle upstream.
    pub admits: AdmissionFn,
    /// Orders requests by fair shares and deadlines, with separate lanes and engine priorities.
    pub fair: bool,
    /// Refuses requests that cannot be served in time instead of queueing them.
    pub refuses_early: bool,
    /// Stops generations that have sent nothing to the client yet before memory overflows.
    pub preempts: bool,
}

impl Policy {
    /// Returns the policy named `adaptive`, `none`, `fixed` or `worst_case`, or `None` for any
    /// other name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "adaptive" => Some(Self::adaptive(MARGIN_DEVIATIONS)),
            "none" => Some(Self::baseline("none", Box::new(|_| true))),
            "fixed" => Some(Self::baseline(
                "fixed",
                Box::new(|admission| admission.running < admission.max_running),
            )),
            "worst_case" => Some(Self::baseline("worst_case", Box::new(fits_worst_case))),
            _ => None,
        }
    }

    /// Returns the policy that admits a request if the forecast of memory, taken `deviations`
    /// standard deviations above its mean, stays within the capacity.
    pub fn adaptive(deviations: f64) -> Self {
        Self {
            name: "adaptive",
            admits: Box::new(move |admission| fits_forecast(admission, deviations)),
            fair: true,
            refuses_early: true,
            preempts: true,
        }
    }

    fn baseline(name: &'static str, admits: AdmissionFn) -> Self {
        Self {
            name,
            admits,
            fair: false,
            refuses_early: false,
            preempts: false,
        }
    }
}

fn fits_worst_case(admission: &Admission) -> bool {
    let required_tokens = admission.worst_case_tokens + admission.candidate_worst_tokens;
    admission.running < admission.max_running && required_tokens <= admission.capacity_tokens
}

fn fits_forecast(admission: &Admission, deviations: f64) -> bool {
    let long_slots = admission.max_running - admission.reserved_slots;
    let capacity = to_f64(admission.capacity_tokens);
    let candidate = admission.candidate;
    let fits_now = admission.used_tokens + admission.candidate_tokens <= admission.capacity_tokens;
    match admission.lane {
        _ if admission.running >= admission.max_running => false,
        // The future memory of long generations does not hold back a small one, because the engine
        // gives the small one a higher priority.
        Lane::Small => fits_now && admission.small.peak_tokens(candidate, deviations) <= capacity,
        Lane::Long if admission.running_long >= long_slots => false,
        // A generation that may fill the whole memory must be able to start at some point: it is
        // admitted when no other long one runs.
        Lane::Long if admission.running_long == 0 => fits_now,
        Lane::Long => {
            let mut combined = admission.long.clone();
            combined.merge(admission.small);
            let reserved_tokens = to_f64(admission.reserved_tokens);
            combined.peak_tokens(candidate, deviations) <= capacity
                && admission.long.peak_tokens(candidate, deviations) + reserved_tokens <= capacity
        }
    }
}

/// Token counts are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
