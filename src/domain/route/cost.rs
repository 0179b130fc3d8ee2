//! Estimates the cost of sending a request to a replica from its last, possibly old, load report.

use super::RequestProfile;

/// Age at which a report counts half; the other half is taken from the mean of the sample.
const HALF_WEIGHT_AGE_MS: f64 = 1_000.0;
/// Number of output tokens for which the replicas' decoding times are compared.
const COMPARED_TOKENS: f64 = 64.0;
/// Time per token if it is unknown for all replicas of the sample.
const DEFAULT_TOKEN_MS: f64 = 20.0;
/// Additional cost of a full batch over an empty one, in tokens: decoding steps take longer in
/// larger batches.
const FULL_BATCH_TOKENS: f64 = 32.0;
/// Cost of one running or queued call at a service, which reports no tokens.
const CALL_MS: f64 = 5.0;

/// The load of a replica: its last report plus the work sent to it since then.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Number of generations or calls that are running, queued, or were sent since the report.
    pub open: f64,
    /// Number of these that are queued.
    pub queued: f64,
    /// Tokens in memory, tokens expected to be produced, and tokens sent since the report.
    pub demand_tokens: f64,
    /// Memory capacity in tokens. Zero for services, and until the first report has arrived.
    pub capacity_tokens: f64,
    /// Time per output token of one generation; `None` if it was never measured.
    pub token_ms: Option<f64>,
    /// Age of the report.
    pub age_ms: f64,
}

impl Load {
    /// Returns true if nothing is running or queued.
    pub fn is_idle(&self) -> bool {
        self.open < 1.0
    }

    /// Returns the time per output token, or a default if it was never measured.
    pub fn token_ms(&self) -> f64 {
        self.token_ms.unwrap_or(DEFAULT_TOKEN_MS)
    }

    /// Returns the mean of several loads, or `None` if there are none.
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

    /// Returns the demand as a fraction of the replica's memory, so that replicas of different
    /// sizes can be compared. Without a capacity of its own it uses the mean capacity; without
    /// either it returns the number of open requests.
    pub fn utilization(&self, mean: &Self) -> f64 {
        match (self.capacity_tokens, mean.capacity_tokens) {
            (own, _) if own > 0.0 => self.demand_tokens / own,
            (_, other) if other > 0.0 => self.demand_tokens / other,
            _ => self.open,
        }
    }
}

/// Returns the expected cost of a request at a replica, as a time. The older a report, the less it
/// counts; the rest of the weight goes to the mean of the sample.
pub fn cost_ms(load: &Load, mean: &Load, profile: &RequestProfile) -> f64 {
    let weight = HALF_WEIGHT_AGE_MS / (HALF_WEIGHT_AGE_MS + load.age_ms.max(0.0));
    weight * fresh_cost_ms(load, mean, profile)
        + (1.0 - weight) * fresh_cost_ms(mean, mean, profile)
}

fn fresh_cost_ms(load: &Load, mean: &Load, profile: &RequestProfile) -> f64 {
    let token_ms = load.token_ms.unwrap_or_else(|| mean.token_ms());
    let utilization = load.utilization(mean);
    if load.capacity_tokens <= 0.0 && mean.capacity_tokens <= 0.0 {
        return load.open * CALL_MS;
    }
    let capacity = match load.capacity_tokens > 0.0 {
        true => load.capacity_tokens,
        false => mean.capacity_tokens,
    };
    // Tokens that the running generations must produce before memory is free for this request.
    let surplus = (load.demand_tokens + profile.prompt_tokens - capacity).max(0.0);
    let running = (load.open - load.queued).max(1.0);
    surplus * token_ms / running
        + COMPARED_TOKENS * token_ms
        + utilization.min(1.0) * FULL_BATCH_TOKENS * token_ms
}
