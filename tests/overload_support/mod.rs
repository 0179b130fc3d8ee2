//! Replays loads on a fleet without a network: callers that ask, wait, are refused and return once.

use std::collections::BTreeMap;

use lilacspindle::domain::fleet::{Candidate, Demand, PlacementRequest};
use lilacspindle::domain::overload::{
    Outlook, PendingGeneration, PlacementDecision, PlacementQueue, WaitBounds, expected_run_ms,
    usable_retry_ms,
};

/// Memory that placements may commit: 92 % of the engines of the deployment in docs/hard-load.md.
pub const PLANNED_TOKENS: u64 = 24_791;
const TICK_MS: u64 = 20;
const CANDIDATES: u64 = 8;

/// A kind of generation, and when its callers make requests.
#[derive(Clone)]
pub struct Kind {
    pub demand: Demand,
    pub priority: u32,
    pub workspace: &'static str,
    pub target_ms: u64,
    pub deadline_ms: u64,
    /// Returns the arrivals per second at a time.
    pub per_s: fn(u64) -> u64,
}

pub const LONG: Kind = Kind {
    demand: Demand {
        prompt_tokens: 3_080,
        output_tokens: 744,
        gap_target_ms: None,
    },
    priority: 2,
    workspace: "w",
    target_ms: 4_000,
    deadline_ms: 39_000,
    per_s: |_| 5,
};
pub const SHORT: Kind = Kind {
    demand: Demand {
        prompt_tokens: 2_550,
        output_tokens: 8,
        gap_target_ms: None,
    },
    priority: 0,
    workspace: "w",
    target_ms: 1_500,
    deadline_ms: 6_000,
    per_s: |_| 10,
};

#[derive(Debug, Clone, Default)]
pub struct Call {
    pub kind: usize,
    pub arrived_ms: u64,
    pub placed_ms: Option<u64>,
    /// When each attempt was refused, for how long it had been held by then, and for how long it
    /// could have waited.
    pub refused: Vec<(u64, u64, u64)>,
    pub retry_after_ms: Vec<u64>,
    attempt_ms: u64,
    until_ms: u64,
    asked_ms: u64,
    id: Option<u64>,
    returns_ms: Option<u64>,
}

impl Call {
    pub fn is_in_time(&self, kind: &Kind) -> bool {
        self.placed_ms
            .is_some_and(|placed_ms| placed_ms <= self.arrived_ms + kind.target_ms / 2)
    }
}

/// The fleet, the queue of the hub, and the callers.
pub struct Replay {
    pub queue: PlacementQueue,
    pub kinds: Vec<Kind>,
    pub calls: Vec<Call>,
    /// The end and the tokens of each running generation, by engine.
    engines: Vec<Vec<(u64, u64)>>,
    /// Duration of runs as a percentage of the expected one, drawn from this range.
    pub run_percent: (u64, u64),
    /// The most tokens that any engine has held.
    pub most_used: u64,
    random: u64,
    /// Separate, so that the load does not depend on the decisions.
    arrivals_random: u64,
}

impl Replay {
    pub fn new(engines: usize, kinds: &[Kind], seed: u64) -> Self {
        let mut queue = PlacementQueue::default();
        queue.expect(engines);
        Self {
            queue,
            kinds: kinds.to_vec(),
            calls: Vec::new(),
            engines: vec![Vec::new(); engines],
            run_percent: (85, 105),
            most_used: 0,
            random: seed,
            arrivals_random: seed ^ 1,
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        draw(&mut self.random, below)
    }

    /// Plays the load until `until_ms`; callers arrive until `arrivals_until_ms`.
    pub fn run(&mut self, arrivals_until_ms: u64, until_ms: u64) {
        for now_ms in (0..until_ms).step_by(usize::try_from(TICK_MS).unwrap()) {
            for engine in &mut self.engines {
                engine.retain(|(end_ms, _)| *end_ms > now_ms);
            }
            self.serve(now_ms);
            let used = self.engines.iter().map(|engine| used(engine)).max();
            self.most_used = self.most_used.max(used.unwrap_or(0));
            for at in 0..self.calls.len() {
                self.step(at, now_ms);
            }
            for kind in 0..self.kinds.len() {
                let per_s = (self.kinds[kind].per_s)(now_ms);
                let chance = per_s * TICK_MS;
                let count = chance / 1_000
                    + u64::from(draw(&mut self.arrivals_random, 1_000) < chance % 1_000);
                for _ in 0..count * u64::from(now_ms < arrivals_until_ms) {
                    self.calls.push(Call {
                        kind,
                        arrived_ms: now_ms,
                        attempt_ms: now_ms,
                        ..Call::default()
                    });
                    self.ask(self.calls.len() - 1, true, now_ms);
                }
            }
        }
    }

    fn serve(&mut self, now_ms: u64) {
        let running = self.engines.iter().map(Vec::len).sum::<usize>();
        let running = u32::try_from(running).unwrap();
        self.queue.set_fleet_running(running);
        let percent = self.percent();
        let engines = std::cell::RefCell::new(&mut self.engines);
        let place =
            |request: &PlacementRequest| place(&mut engines.borrow_mut(), request, percent, now_ms);
        let first_free = |request: &PlacementRequest| {
            let committed = |candidate: &Candidate| used(&engines.borrow()[index(candidate)]);
            let candidates = request.candidates.iter().enumerate();
            candidates
                .min_by_key(|(_, c)| committed(c))
                .map(|(at, _)| at)
        };
        for (id, decision) in self.queue.serve(place, first_free, now_ms) {
            let waits = self.calls.iter().position(|call| call.id == Some(id));
            let at = waits.expect("only waiting calls are decided");
            match decision {
                PlacementDecision::Placed(_) => self.calls[at].placed_ms = Some(now_ms),
                PlacementDecision::Refused(outlook) => self.refuse(at, outlook, now_ms),
            }
            self.calls[at].id = None;
        }
    }

    fn percent(&mut self) -> u64 {
        let (from, to) = self.run_percent;
        from + self.random(to - from + 1)
    }

    fn step(&mut self, at: usize, now_ms: u64) {
        let call = &mut self.calls[at];
        if call
            .returns_ms
            .is_some_and(|returns_ms| returns_ms <= now_ms)
        {
            (call.returns_ms, call.attempt_ms) = (None, now_ms);
            self.ask(at, true, now_ms);
        } else if let Some(id) = call.id
            && now_ms >= call.asked_ms + 200
        {
            // The entry asks again with other candidates.
            self.queue.leave(id);
            call.id = None;
            self.ask(at, false, now_ms);
        }
    }

    fn ask(&mut self, at: usize, is_first: bool, now_ms: u64) {
        let call = self.calls[at].clone();
        let kind = self.kinds[call.kind].clone();
        let left_ms = (call.arrived_ms + kind.deadline_ms).saturating_sub(now_ms);
        let bounds = WaitBounds {
            demand: kind.demand,
            target_ms: kind.target_ms,
            patience_ms: kind.target_ms * 4,
            age_ms: now_ms - call.attempt_ms,
            left_ms,
        };
        let pending = PendingGeneration {
            until_ms: now_ms + bounds.remaining_ms(),
            is_known: !is_first || !call.refused.is_empty(),
            ..pending(&kind, kind.priority, call.arrived_ms)
        };
        let count = self.engines.len() as u64;
        let first = self.random(count);
        let engines = (first..first + CANDIDATES.min(count)).map(|engine| engine % count);
        let request = request(&kind, engines);
        let percent = self.percent();
        let engines = &mut self.engines;
        let place = |request: &PlacementRequest| place(engines, request, percent, now_ms);
        self.calls[at].asked_ms = now_ms;
        self.calls[at].until_ms = pending.until_ms;
        if self
            .queue
            .place_now(&request, &pending, place, now_ms)
            .is_some()
        {
            self.calls[at].placed_ms = Some(now_ms);
            return;
        }
        if is_first {
            self.queue.record_arrival(&pending, now_ms);
        }
        match self.queue.join(request, pending, now_ms) {
            Ok(id) => self.calls[at].id = Some(id),
            Err(outlook) => self.refuse(at, outlook, now_ms),
        }
    }

    fn refuse(&mut self, at: usize, outlook: Outlook, now_ms: u64) {
        let call = &mut self.calls[at];
        let left_ms = call.arrived_ms + self.kinds[call.kind].deadline_ms - now_ms;
        let after_ms = usable_retry_ms(outlook.retry_after_ms, left_ms);
        let held_ms = now_ms - call.attempt_ms;
        let limit_ms = call.until_ms - call.attempt_ms;
        call.refused.push((now_ms, held_ms, limit_ms));
        call.retry_after_ms.push(after_ms);
        if call.refused.len() == 1 {
            call.returns_ms = Some(now_ms + after_ms);
        }
    }

    pub fn of_kind(&self, kind: usize) -> Vec<&Call> {
        self.calls.iter().filter(|call| call.kind == kind).collect()
    }

    /// Returns the percentage of the calls of a kind that were placed in time, and late.
    pub fn percents(&self, kind: usize) -> (usize, usize) {
        let calls = self.of_kind(kind);
        let in_time = calls.iter().filter(|c| c.is_in_time(&self.kinds[kind]));
        let in_time = in_time.count();
        let placed = calls.iter().filter(|c| c.placed_ms.is_some()).count();
        let percent = |count| 100 * count / calls.len().max(1);
        (percent(in_time), percent(placed - in_time))
    }

    /// Returns the number of refusals by attempt.
    pub fn refusals(&self, kind: usize) -> BTreeMap<usize, usize> {
        let mut refusals = BTreeMap::new();
        for call in self.of_kind(kind) {
            for attempt in 0..call.refused.len() {
                *refusals.entry(attempt + 1).or_default() += 1;
            }
        }
        refusals
    }

    /// Returns the largest part of its time for which a call was held before it was refused, as a
    /// percentage, and the number of calls that were held for more than half of it.
    pub fn vain_waits(&self) -> (u64, usize) {
        let refused = self.calls.iter().flat_map(|call| &call.refused);
        let percents = refused.map(|(_, held_ms, limit_ms)| 100 * held_ms / limit_ms.max(&1));
        let percents: Vec<u64> = percents.collect();
        let over_half = percents.iter().filter(|percent| **percent > 50).count();
        (percents.into_iter().max().unwrap_or(0), over_half)
    }
}

/// Returns the next number of a linear congruential generator.
fn draw(state: &mut u64, below: u64) -> u64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*state >> 33) % below
}

/// Returns a generation that can wait for as long as its kind allows.
pub fn pending(kind: &Kind, priority: u32, since_ms: u64) -> PendingGeneration {
    PendingGeneration {
        demand: kind.demand,
        priority,
        workspace: kind.workspace.into(),
        since_ms,
        in_time_until_ms: since_ms + kind.target_ms / 2,
        until_ms: since_ms + kind.deadline_ms,
        is_known: false,
    }
}

pub fn request(kind: &Kind, engines: impl Iterator<Item = u64>) -> PlacementRequest {
    let candidates = engines.map(|engine| Candidate {
        identity: engine.to_string().into(),
        penalty_ms: 0,
    });
    PlacementRequest {
        entry: "entry-1".into(),
        demand: kind.demand,
        planned_tokens: PLANNED_TOKENS,
        slots: 24,
        unread_limit_tokens: None,
        candidates: candidates.collect(),
    }
}

fn index(candidate: &Candidate) -> usize {
    candidate.identity.parse().unwrap()
}

fn used(engine: &[(u64, u64)]) -> u64 {
    engine.iter().map(|(_, tokens)| tokens).sum()
}

/// Starts a generation on the emptiest candidate that has room for it.
fn place(
    engines: &mut [Vec<(u64, u64)>],
    request: &PlacementRequest,
    run_percent: u64,
    now_ms: u64,
) -> Option<usize> {
    let tokens = request.demand.total_tokens();
    let fits = |engine: &[(u64, u64)]| engine.len() < 24 && used(engine) + tokens <= PLANNED_TOKENS;
    let candidates = request.candidates.iter().enumerate();
    let fitting = candidates.filter(|(_, c)| fits(&engines[index(c)]));
    let (at, candidate) = fitting.min_by_key(|(_, c)| used(&engines[index(c)]))?;
    let run_ms = expected_run_ms(request.demand) * run_percent / 100;
    engines[index(candidate)].push((now_ms + run_ms, tokens));
    Some(at)
}
