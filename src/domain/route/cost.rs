//! The expected wait at a replica, from a load report of some age.

use super::Ask;

/// Age at which a report counts half; the rest is taken from the mean of the sample.
const HALF_AGE_MS: f64 = 1_000.0;
/// Tokens over whose production replicas are compared.
const COMPARED_TOKENS: f64 = 64.0;
/// Time per token while no replica has been measured.
const DEFAULT_TOKEN_MS: f64 = 20.0;
/// Cost of a full batch compared with an empty one, in tokens: steps grow with the batch.
const FULL_BATCH_TOKENS: f64 = 32.0;
/// Cost of one call that runs or waits at a service, which reports no tokens.
const CALL_MS: f64 = 5.0;

/// The load of a replica, with the work that was sent to it since its report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Generations or calls that run, wait, or were sent since the report.
    pub open: f64,
    /// Of these, those that wait.
    pub queued: f64,
    /// Tokens in memory, expected, and sent since the report.
    pub demand_tokens: f64,
    /// Zero for services and while no report has arrived.
    pub capacity_tokens: f64,
    /// Time per token that one generation sees; none if it was never measured.
    pub token_ms: Option<f64>,
    /// Age of the report.
    pub age_ms: f64,
}

impl Load {
    /// Returns true if nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.open < 1.0
    }

    /// Returns the time per token, with a default while nothing was measured.
    pub fn token_ms(&self) -> f64 {
        self.token_ms.unwrap_or(DEFAULT_TOKEN_MS)
    }

    /// Returns the mean of several loads, or none of none.
    pub fn mean(loads: &[Self]) -> Option<Self> {
        let first = loads.first()?;
        let mean = |values: &mut dyn Iterator<Item = f64>| {
            let (sum, count) =
                values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
            (count > 0.0).then(|| sum / count)
        };
        let of = |field: fn(&Self) -> f64| {
            mean(&mut loads.iter().map(field)).unwrap_or_else(|| field(first))
        };
        Some(Self {
            open: of(|load| load.open),
            queued: of(|load| load.queued),
            demand_tokens: of(|load| load.demand_tokens),
            capacity_tokens: of(|load| load.capacity_tokens),
            token_ms: mean(&mut loads.iter().filter_map(|load| load.token_ms)),
            age_ms: of(|load| load.age_ms),
        })
    }

    /// Returns how full the replica is, 1.0 being the memory of the replica; replicas of unequal
    /// size compare by it.
    pub fn pressure(&self, mean: &Self) -> f64 {
        match (self.capacity_tokens, mean.capacity_tokens) {
            (own, _) if own > 0.0 => self.demand_tokens / own,
            (_, other) if other > 0.0 => self.demand_tokens / other,
            _ => self.open,
        }
    }
}

/// Returns the expected wait at a replica. A report counts less the older it is; what it lacks is
/// taken from the mean of the sample.
pub fn cost_ms(load: &Load, mean: &Load, ask: &Ask) -> f64 {
    let trust = HALF_AGE_MS / (HALF_AGE_MS + load.age_ms.max(0.0));
    trust * fresh_cost_ms(load, mean, ask) + (1.0 - trust) * fresh_cost_ms(mean, mean, ask)
}

fn fresh_cost_ms(load: &Load, mean: &Load, ask: &Ask) -> f64 {
    let token_ms = load.token_ms.unwrap_or_else(|| mean.token_ms());
    let pressure = load.pressure(mean);
    if load.capacity_tokens <= 0.0 && mean.capacity_tokens <= 0.0 {
        return load.open * CALL_MS;
    }
    let capacity = match load.capacity_tokens > 0.0 {
        true => load.capacity_tokens,
        false => mean.capacity_tokens,
    };
    // Tokens that must be produced before there is memory for this request, by all that run.
    let surplus = (load.demand_tokens + ask.prompt_tokens - capacity).max(0.0);
    let running = (load.open - load.queued).max(1.0);
    surplus * token_ms / running
        + COMPARED_TOKENS * token_ms
        + pressure.min(1.0) * FULL_BATCH_TOKENS * token_ms
}
