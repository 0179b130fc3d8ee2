//! Admission policies that can be swapped.

use super::Forecast;
use crate::rpc::sidecar::Lane;

/// Standard deviations that a forecast is kept below capacity. For a sum of many generations
/// 1.64 is the 95 % quantile. Below it preemptions rise steeply, above it memory stays unused:
/// `tests/schedule_runs.rs` compares both with the targets of the design page.
pub const DEVIATIONS: f64 = 1.64;

/// What a policy knows when it decides on a candidate.
#[derive(Debug)]
pub struct Admission<'a> {
    pub capacity_tokens: u64,
    /// Memory kept for small calls; it counts only against long ones.
    pub reserved_tokens: u64,
    pub max_running: u32,
    /// Slots kept for small calls.
    pub reserved_slots: u32,
    pub running: u32,
    pub running_long: u32,
    pub used_tokens: u64,
    /// Prompt and largest output of everything that runs.
    pub worst_case_tokens: u64,
    pub lane: Lane,
    /// Prompt and largest output of the candidate.
    pub candidate_worst_tokens: u64,
    /// Memory that the candidate needs at its start.
    pub candidate_tokens: u64,
    /// The candidate alone.
    pub candidate: &'a Forecast,
    /// The long generations, the candidate included if it is long.
    pub long: &'a Forecast,
    /// The small ones, the candidate included if it is small.
    pub small: &'a Forecast,
}

type Admits = Box<dyn Fn(&Admission) -> bool + Send + Sync>;

/// A policy. With all flags off, requests start in the order of their arrival.
pub struct Policy {
    pub name: &'static str,
    /// Returns true if the candidate may start now. It is not asked while nothing runs: a
    /// candidate that is alone always starts.
    pub admits: Admits,
    /// True to order by shares and deadlines, with separate lanes and engine priorities.
    pub fair: bool,
    /// True to refuse what cannot be served in time instead of queueing it.
    pub refuses_early: bool,
    /// True to stop unseen generations before memory overflows.
    pub preempts: bool,
}

impl Policy {
    /// Returns the policy of a name: `adaptive`, `none`, `fixed` or `worst_case`.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "adaptive" => Some(Self::adaptive(DEVIATIONS)),
            "none" => Some(Self::baseline("none", Box::new(|_| true))),
            "fixed" => Some(Self::baseline(
                "fixed",
                Box::new(|admission| admission.running < admission.max_running),
            )),
            "worst_case" => Some(Self::baseline("worst_case", Box::new(fits_at_worst))),
            _ => None,
        }
    }

    /// Returns the policy that admits by the forecast of memory, `deviations` above its mean.
    pub fn adaptive(deviations: f64) -> Self {
        Self {
            name: "adaptive",
            admits: Box::new(move |admission| fits_forecast(admission, deviations)),
            fair: true,
            refuses_early: true,
            preempts: true,
        }
    }

    fn baseline(name: &'static str, admits: Admits) -> Self {
        Self {
            name,
            admits,
            fair: false,
            refuses_early: false,
            preempts: false,
        }
    }
}

fn fits_at_worst(admission: &Admission) -> bool {
    let need_tokens = admission.worst_case_tokens + admission.candidate_worst_tokens;
    admission.running < admission.max_running && need_tokens <= admission.capacity_tokens
}

fn fits_forecast(admission: &Admission, deviations: f64) -> bool {
    let long_slots = admission.max_running - admission.reserved_slots;
    let capacity = to_f64(admission.capacity_tokens);
    let candidate = admission.candidate;
    let fits_now = admission.used_tokens + admission.candidate_tokens <= admission.capacity_tokens;
    match admission.lane {
        _ if admission.running >= admission.max_running => false,
        // What long ones will need is no reason to hold a small one back: the engine ranks it
        // above them.
        Lane::Small => fits_now && admission.small.peak_tokens(candidate, deviations) <= capacity,
        Lane::Long if admission.running_long >= long_slots => false,
        // A generation that may fill the whole memory has to start some time; it is let in when
        // no other long one runs.
        Lane::Long if admission.running_long == 0 => fits_now,
        Lane::Long => {
            let mut both = admission.long.clone();
            both.merge(admission.small);
            let reserved = to_f64(admission.reserved_tokens);
            both.peak_tokens(candidate, deviations) <= capacity
                && admission.long.peak_tokens(candidate, deviations) + reserved <= capacity
        }
    }
}

/// Token counts are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
