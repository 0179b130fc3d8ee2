//! Randomised runs of token logs and tombstones. `LILAC_SEEDS` sets the number of seeds.

use std::collections::BTreeMap;

use lilacspindle::domain::stream::{
    Cancelled, GenerationState, Generations, MAX_PAST, NewStream, PAST_RETENTION_MS,
    PastGenerations, PastRecord, PollView, STREAM_KEPT_MS, Stage,
};
use lilacspindle::model::{GenerationId, Outcome, Refusal, RefusalCode};
use lilacspindle::rpc::sidecar::{Cursor, End, Origin};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ORPHAN_MS: u64 = 30_000;

fn seeds(fixed: u64) -> u64 {
    let seeds = std::env::var("LILAC_SEEDS").ok();
    seeds.and_then(|text| text.parse().ok()).unwrap_or(fixed)
}

fn origin() -> Origin {
    Origin {
        upstream: "e1".into(),
        engine_stream: "s".to_owned(),
    }
}

fn new_stream(shown: bool) -> NewStream {
    NewStream {
        workspace: "w".into(),
        shown,
        sent: false,
        read_to: 0,
        origin: origin(),
    }
}

fn interrupted() -> End {
    End::Failed {
        outcome: Outcome::Interrupted,
        refusal: Refusal {
            code: RefusalCode::Cancelled,
            message: String::new(),
            retry_after_ms: None,
        },
    }
}

fn finished() -> End {
    End::Finished {
        reason: "stop".to_owned(),
    }
}

fn cursor(generation: GenerationId, from_offset: u32) -> Cursor {
    Cursor {
        generation,
        workspace: "w".into(),
        from_offset,
    }
}

/// The expected state of a generation, as seen by the engine, the reader and callers of `cancel`.
#[derive(Default)]
#[allow(clippy::struct_excessive_bools)]
struct Expected {
    run: u32,
    produced: u32,
    sent: bool,
    not_run: bool,
    ended: bool,
    read: Vec<String>,
    /// The generation ran and was restarted.
    restarted: bool,
}

struct Simulation {
    rng: StdRng,
    now_ms: u64,
    shard: Generations,
    generations: BTreeMap<GenerationId, Expected>,
}

impl Simulation {
    fn step(&mut self) {
        // All steps together take less than `PAST_RETENTION_MS`.
        self.now_ms += self.rng.random_range(0..140);
        let id = GenerationId(self.rng.random_range(0..60));
        match self.rng.random_range(0..200) {
            0..30 => self.start(id),
            30..60 => self.send(id),
            60..130 => self.token(id),
            130..132 => self.restart(id),
            132..133 => self.finish(id),
            133..134 => self.cancel(id),
            134..194 => self.read(id),
            _ => self.expire(),
        }
    }

    fn start(&mut self, id: GenerationId) {
        let accepted = self.shard.accept(self.now_ms, id, new_stream(true)).is_ok();
        let is_new = !self.generations.contains_key(&id);
        assert_eq!(accepted, is_new, "{id} was accepted twice or not at all");
        self.generations.entry(id).or_default();
    }

    fn send(&mut self, id: GenerationId) {
        let Some(run) = self.shard.send(id, origin()) else {
            return;
        };
        let expected = self.generations.get_mut(&id).unwrap();
        assert!(!expected.sent, "{id} was sent twice");
        assert!(
            !expected.not_run,
            "{id} was sent after it was reported as not run"
        );
        assert!(!expected.ended, "{id} was sent after its end");
        (expected.sent, expected.run) = (true, run);
        expected.produced = 0;
    }

    fn token(&mut self, id: GenerationId) {
        let Some(expected) = self
            .generations
            .get_mut(&id)
            .filter(|expected| expected.sent)
        else {
            return;
        };
        // Usually the next token of the current run; sometimes one with another offset or run.
        let is_stray = self.rng.random_bool(0.2);
        let (run, offset) = match is_stray {
            true => (
                self.rng.random_range(0..=expected.run),
                self.rng.random_range(0..=expected.produced + 1),
            ),
            false => (expected.run, expected.produced),
        };
        let text = format!("{run}.{offset} ");
        let appended = self.shard.append(id, run, offset, text).is_ok();
        let next = (run, offset) == (expected.run, expected.produced);
        assert_eq!(appended, next && !expected.ended, "{id}: {run}.{offset}");
        expected.produced += u32::from(appended);
    }

    fn restart(&mut self, id: GenerationId) {
        if self.shard.restart(id).is_ok() {
            let expected = self.generations.get_mut(&id).unwrap();
            assert!(
                expected.read.is_empty(),
                "{id} was restarted after tokens were read"
            );
            expected.produced = 0;
            // No token is accepted until it is sent again.
            expected.sent = false;
            expected.restarted = true;
        }
    }

    fn finish(&mut self, id: GenerationId) {
        if self.shard.finish(id, finished()).is_ok() {
            self.generations.get_mut(&id).unwrap().ended = true;
        }
    }

    fn cancel(&mut self, id: GenerationId) {
        let cancelled = self.shard.cancel(self.now_ms, id, interrupted());
        let expected = self.generations.entry(id).or_default();
        match cancelled {
            Cancelled::NotRun => {
                assert!(
                    !expected.sent && !expected.restarted,
                    "{id} was sent but is reported as not run"
                );
                expected.not_run = true;
            }
            Cancelled::Stop { .. } => {
                assert!((expected.sent || expected.restarted) && !expected.ended);
            }
            Cancelled::Ended => assert!(expected.ended),
        }
        expected.ended = true;
    }

    fn read(&mut self, id: GenerationId) {
        let Some(expected) = self.generations.get_mut(&id) else {
            return;
        };
        let from = u32::try_from(expected.read.len()).unwrap();
        let mut view = PollView::default();
        self.shard
            .read(self.now_ms, &cursor(id, from), 40, &mut view);
        for update in view.updates {
            if let Some(chunk) = update.chunk {
                assert_eq!(chunk.offset, from, "{id}: the chunk starts at the cursor");
                expected.read.extend(chunk.tokens);
            }
            if let Some((total, _)) = update.end {
                assert_eq!(
                    total as usize,
                    expected.read.len(),
                    "{id} ended before all tokens were read"
                );
                assert!(expected.ended);
            }
        }
        // All tokens that a reader has belong to one run, without gaps.
        let run = expected
            .read
            .first()
            .and_then(|token| token.split('.').next());
        for (offset, token) in expected.read.iter().enumerate() {
            assert_eq!(*token, format!("{}.{offset} ", run.unwrap()), "{id}");
        }
    }

    fn expire(&mut self) {
        for id in self.shard.expire(self.now_ms).orphans {
            assert!(
                !self.generations[&id].ended,
                "{id} has ended but is reported as an orphan"
            );
            self.cancel(id);
        }
    }
}

/// Guards against missing and duplicated tokens, tokens of two runs in one answer, a second run of
/// a past generation, and a generation that was sent but is reported as not run. Without the check
/// of the run number in `append`, tokens of an earlier run are accepted and this test fails.
#[test]
fn random_runs_lose_repeat_or_mix_no_tokens() {
    for seed in 0..seeds(20) {
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 1,
            shard: Generations::new(ORPHAN_MS, MAX_PAST),
            generations: BTreeMap::new(),
        };
        for _ in 0..8_000 {
            simulation.step();
        }
        let read = simulation
            .generations
            .values()
            .filter(|one| one.read.len() > 5)
            .count();
        assert!(read > 5, "seed {seed}: only {read} answers were read");
    }
}

/// Guards against answers that are delivered early or never: without `shown`, tokens are delivered
/// only once the answer is complete, so that the generation can be restarted until then.
#[test]
fn an_answer_without_shown_is_delivered_only_when_complete() {
    let mut shard = Generations::new(ORPHAN_MS, MAX_PAST);
    let id = GenerationId(1);
    shard.accept(1, id, new_stream(false)).unwrap();
    for round in 1..=2 {
        let run = shard.send(id, origin()).unwrap();
        shard.append(id, run, 0, "a".to_owned()).unwrap();
        let mut view = PollView::default();
        shard.read(2, &cursor(id, 0), 1_000, &mut view);
        assert!(view.updates.iter().all(|update| update.chunk.is_none()));
        if round == 1 {
            shard.restart(id).unwrap();
        }
    }
    shard.finish(id, finished()).unwrap();
    let mut view = PollView::default();
    shard.read(3, &cursor(id, 0), 1_000, &mut view);
    assert_eq!(view.updates[0].chunk.as_ref().unwrap().tokens, ["a"]);
    assert_eq!(view.updates[0].end, Some((1, finished())));
}

/// Guards against logs that are dropped before their reader can poll again or are never dropped,
/// and against orphans that keep running.
#[test]
fn logs_and_orphans_expire() {
    let mut shard = Generations::new(ORPHAN_MS, MAX_PAST);
    let (read, orphan) = (GenerationId(1), GenerationId(2));
    for id in [read, orphan] {
        shard.accept(0, id, new_stream(true)).unwrap();
        shard.send(id, origin()).unwrap();
    }
    shard.finish(read, finished()).unwrap();
    shard.read(1_000, &cursor(read, 0), 1_000, &mut PollView::default());
    assert!(shard.expire(ORPHAN_MS - 1).orphans.is_empty());
    assert_eq!(shard.expire(ORPHAN_MS).orphans, [orphan]);
    assert_eq!(shard.state(read), GenerationState::Stream(Stage::Ended));
    shard.expire(1_000 + STREAM_KEPT_MS);
    assert_eq!(shard.state(read), GenerationState::Past(PastRecord::Ran));
}

/// Guards against many refusals at once that make the sidecar drop tombstones before the end of
/// their retention period, or use unbounded memory.
#[test]
fn tombstones_outlive_a_flood_in_bounded_memory() {
    for seed in 0..seeds(3) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut past = PastGenerations::new(1_000);
        let record = PastRecord::Refused {
            code: RefusalCode::Overload,
            retry_after_ms: None,
        };
        let ids: Vec<_> = (0..20_000).map(|_| GenerationId(rng.random())).collect();
        for (at_ms, id) in (0..).zip(&ids) {
            past.insert(at_ms, *id, record);
        }
        assert_eq!(past.len(), 1_000);
        past.expire(PAST_RETENTION_MS - 1);
        assert!(ids.iter().all(|id| past.get(*id).is_some()), "seed {seed}");
        let unknown_ids = (0..10_000).map(|_| GenerationId(rng.random()));
        let false_positives = unknown_ids.filter(|id| past.get(*id).is_some()).count();
        assert!(
            false_positives < 100,
            "seed {seed}: {false_positives} of 10,000 unknown generations are taken for known ones"
        );
        for turn in 1..=3 {
            past.expire(turn * PAST_RETENTION_MS + 30_000);
        }
        assert!(past.is_empty() && ids.iter().all(|id| past.get(*id).is_none()));
    }
}
