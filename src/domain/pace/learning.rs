//! Estimates the pace of engines from the gaps between the events of their streams.

// Gaps and counts are far below the largest integer that an `f64` represents exactly.
#![allow(clippy::cast_precision_loss)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::{Gaps, PaceEstimate, USUAL_PERMILLE};

/// Number of the newest reports of an instance that count.
const MAX_SAMPLES: usize = 64;
/// Fewer reports than this show nothing: the percentile of 8 reports took engines of one speed for
/// uneven ones.
const MIN_SAMPLES: usize = 24;
/// A longer mean gap counts as this one. It is far over those of the slowest engine.
const MAX_GAP_MS: f64 = 2_000.0;
/// A report on fewer gaps than this is not a sample: single gaps vary with the CPU time of the entry.
const MIN_GAPS: u32 = 2;
/// The pace is unknown for this long after the first report, several times as long as the 600 ms for
/// which a neighbour typically slows an engine.
const MIN_OBSERVED_MS: u64 = 3_000;
/// The pace of an instance is this percentile of its reports' mean gaps. Most gaps are longer while
/// a prompt is processed, at most two thirds of the time, or while a neighbour is active, 15 percent
/// of the time; the lower ones show the engine's own speed.
const OWN_PACE_PERCENTILE: usize = 20;
/// Each running generation adds this much to a step, in thousandths: 0.12 ms to 7 ms.
const STEP_PERMILLE_PER_STREAM: f64 = 17.0;
/// Bounds of the slowness, so that false reports have a bounded effect.
const SLOWNESS_PERMILLE: (f64, f64) = (400.0, 4_000.0);
/// A slowness in this range counts as usual: engines of one speed differ by that much by chance.
const USUAL_RANGE_PERMILLE: (f64, f64) = (850.0, 1_200.0);
/// Without new reports, what is known of an instance halves in this time.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Reports within this time count as new.
const FRESH_MS: u64 = 1_000;
/// An instance without reports for this long is forgotten.
const RETENTION_MS: u64 = 60_000;
/// With fewer known instances, none counts as slow.
const MIN_INSTANCES: usize = 3;
/// Weight of the newest percentile in an instance's pace.
const SMOOTHING: f64 = 0.2;
/// Interval between two calculations of the estimates.
const REFRESH_INTERVAL_MS: u64 = 500;
/// The gap during prefills is this quantile of the longest gaps in reports. A neighbour is active
/// while a prompt is processed in about 8 percent of the reports.
const HIGH_QUANTILE: f64 = 0.97;
/// Adjustment of that quantile for each report. It rises to 160 ms within 80 reports.
const HIGH_STEP_MS: f64 = 2.0;

/// An instance with running streams.
#[derive(Debug, Clone)]
pub struct Observed<'a> {
    pub identity: &'a Arc<str>,
    pub service: &'a Arc<str>,
    pub born_ms: Option<u64>,
    /// Streams of all entries that run there.
    pub running: u32,
}

#[derive(Debug)]
struct Pace {
    service: Arc<str>,
    born_ms: Option<u64>,
    /// Mean gaps of the newest reports, as with a single stream.
    samples_ms: VecDeque<f64>,
    /// `None` before the first calculation with enough samples.
    own_ms: Option<f64>,
    first_ms: u64,
    last_ms: u64,
    has_news: bool,
    estimate: Option<PaceEstimate>,
}

impl Pace {
    fn new(observed: &Observed<'_>, now_ms: u64) -> Self {
        Self {
            service: Arc::clone(observed.service),
            born_ms: observed.born_ms,
            samples_ms: VecDeque::new(),
            own_ms: None,
            first_ms: now_ms,
            last_ms: now_ms,
            has_news: false,
            estimate: None,
        }
    }

    fn add(&mut self, sample_ms: f64, now_ms: u64) {
        if self.samples_ms.len() == MAX_SAMPLES {
            self.samples_ms.pop_front();
        }
        self.samples_ms.push_back(sample_ms);
        self.last_ms = self.last_ms.max(now_ms);
        self.has_news = true;
    }

    fn is_known(&self) -> bool {
        self.samples_ms.len() >= MIN_SAMPLES && self.last_ms >= self.first_ms + MIN_OBSERVED_MS
    }

    /// Updates and returns the typical gap while the engine is not disturbed; `None` if it is
    /// unknown.
    fn refresh_own_ms(&mut self) -> Option<f64> {
        if self.is_known() && std::mem::take(&mut self.has_news) {
            let mut samples_ms: Vec<f64> = self.samples_ms.iter().copied().collect();
            let at = samples_ms.len() * OWN_PACE_PERCENTILE / 100;
            let (_, low_ms, _) = samples_ms.select_nth_unstable_by(at, f64::total_cmp);
            let low_ms = *low_ms;
            self.own_ms = Some(match self.own_ms {
                Some(before_ms) => before_ms + (low_ms - before_ms) * SMOOTHING,
                None => low_ms,
            });
        }
        self.own_ms
    }

    /// Returns the slowness against the median of the service, which decays to the usual one with
    /// the age of the reports.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn slowness_permille(&self, own_ms: f64, median_ms: f64, now_ms: u64) -> u32 {
        let (lowest, highest) = SLOWNESS_PERMILLE;
        let usual = f64::from(USUAL_PERMILLE);
        let measured = (own_ms * usual / median_ms.max(1.0)).clamp(lowest, highest);
        let age_ms = now_ms.saturating_sub(self.last_ms + FRESH_MS) as f64;
        let slowness = usual + (measured - usual) * (-age_ms / HALF_LIFE_MS).exp2();
        match slowness {
            _ if slowness >= USUAL_RANGE_PERMILLE.0 && slowness <= USUAL_RANGE_PERMILLE.1 => {
                USUAL_PERMILLE
            }
            _ => slowness as u32,
        }
    }
}

#[derive(Debug, Default)]
struct ServicePace {
    median_ms: f64,
    /// The gap during prefills of an engine of the usual speed.
    high_ms: f64,
}

/// The pace of a service's instances, for metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceSummary {
    pub service: Arc<str>,
    pub slowest_permille: u32,
    pub median_gap_ms: u64,
}

/// The pace of each instance.
#[derive(Debug, Default)]
pub struct Paces {
    instances: BTreeMap<Arc<str>, Pace>,
    services: BTreeMap<Arc<str>, ServicePace>,
    next_refresh_ms: u64,
}

impl Paces {
    /// Adds a report on the gaps between events of an instance. Each report counts once, however
    /// many gaps it names.
    pub fn observe(&mut self, observed: &Observed<'_>, gaps: Gaps, now_ms: u64) {
        if gaps.count == 0 {
            return;
        }
        let pace = self
            .instances
            .entry(Arc::clone(observed.identity))
            .or_insert_with(|| Pace::new(observed, now_ms));
        let is_other_start = pace.born_ms.is_some() && pace.born_ms < observed.born_ms;
        if is_other_start || pace.service != *observed.service {
            *pace = Pace::new(observed, now_ms);
        }
        pace.born_ms = pace.born_ms.or(observed.born_ms);
        if gaps.count >= MIN_GAPS {
            let mean_ms = gaps.sum_ms as f64 / f64::from(gaps.count);
            let others = f64::from(observed.running.saturating_sub(1));
            let load_factor = 1.0 + others * STEP_PERMILLE_PER_STREAM / 1_000.0;
            pace.add(mean_ms.min(MAX_GAP_MS) / load_factor, now_ms);
        }
        let slowness = pace
            .estimate
            .map_or(USUAL_PERMILLE, |estimate| estimate.slowness_permille);
        let longest_ms = gaps.longest_ms as f64 * f64::from(USUAL_PERMILLE) / f64::from(slowness);
        let service = self.services.entry(Arc::clone(observed.service));
        let high_ms = &mut service.or_default().high_ms;
        let step_ms = match longest_ms > *high_ms {
            true => HIGH_STEP_MS * HIGH_QUANTILE,
            false => HIGH_STEP_MS * (HIGH_QUANTILE - 1.0),
        };
        *high_ms = (*high_ms + step_ms).max(0.0);
    }

    /// Calculates the estimates again if that is due. Returns the instances whose estimates have
    /// changed.
    pub fn refresh(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        if now_ms < self.next_refresh_ms {
            return Vec::new();
        }
        self.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS;
        let mut changed: Vec<Arc<str>> = Vec::new();
        self.instances.retain(|identity, pace| {
            let is_kept = now_ms < pace.last_ms + RETENTION_MS;
            if !is_kept {
                changed.push(Arc::clone(identity));
            }
            is_kept
        });
        let mut known: BTreeMap<&Arc<str>, Vec<f64>> = BTreeMap::new();
        for pace in self.instances.values_mut() {
            let own_ms = pace.refresh_own_ms();
            let Some(own_ms) = own_ms.filter(|_| now_ms < pace.last_ms + RETENTION_MS) else {
                continue;
            };
            known.entry(&pace.service).or_default().push(own_ms);
        }
        let mut medians: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        for (service, mut own_ms) in known {
            if own_ms.len() >= MIN_INSTANCES {
                own_ms.sort_by(f64::total_cmp);
                let middle = own_ms.len() / 2;
                medians.insert(
                    Arc::clone(service),
                    f64::midpoint(own_ms[middle], own_ms[(own_ms.len() - 1) / 2]),
                );
            }
        }
        self.services
            .retain(|service, _| self.instances.values().any(|pace| pace.service == *service));
        for (identity, pace) in &mut self.instances {
            let median_ms = medians.get(&pace.service);
            let service = self.services.entry(Arc::clone(&pace.service)).or_default();
            let before = pace.estimate.unwrap_or_default();
            pace.estimate = pace.own_ms.zip(median_ms).map(|(own_ms, median_ms)| {
                service.median_ms = *median_ms;
                let slowness_permille = pace.slowness_permille(own_ms, *median_ms, now_ms);
                estimate(slowness_permille, service.high_ms)
            });
            let new = pace.estimate.unwrap_or_default();
            // The expected gap matters only at slow instances.
            if before.slowness_permille != new.slowness_permille
                || (new.slowness_permille > USUAL_PERMILLE && before != new)
            {
                changed.push(Arc::clone(identity));
            }
        }
        changed
    }

    /// Returns the estimate for the start of an instance at `born_ms`; `None` if it is unknown.
    pub fn estimate(&self, identity: &str, born_ms: Option<u64>) -> Option<PaceEstimate> {
        let pace = self.instances.get(identity)?;
        let is_same_start = born_ms.is_none() || pace.born_ms.is_none() || born_ms == pace.born_ms;
        pace.estimate.filter(|_| is_same_start)
    }

    /// Returns the pace of each service with enough known instances.
    pub fn summaries(&self) -> Vec<PaceSummary> {
        let of_service = |(service, pace): (&Arc<str>, &ServicePace)| {
            let instances = self.instances.values();
            let known = instances.filter(|instance| instance.service == *service);
            let slowness = known.filter_map(|instance| Some(instance.estimate?.slowness_permille));
            Some(PaceSummary {
                service: Arc::clone(service),
                slowest_permille: slowness.max()?,
                median_gap_ms: round_ms(pace.median_ms),
            })
        };
        self.services.iter().filter_map(of_service).collect()
    }
}

fn estimate(slowness_permille: u32, high_ms: f64) -> PaceEstimate {
    let factor = f64::from(slowness_permille) / f64::from(USUAL_PERMILLE);
    PaceEstimate {
        slowness_permille,
        prefill_gap_ms: round_ms(high_ms * factor),
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_ms(time_ms: f64) -> u64 {
    time_ms.round() as u64
}
