//! Prompt parts that crash engines: how soon they are kept away from engines, and that sound ones are
//! served. `LILAC_SEEDS` sets the number of random histories.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lilacspindle::domain::quarantine::{
    CrashEvidence, CrashNotice, Fingerprint, PartChange, PartId, PartNotices, PartWatch,
};

fn parts(names: &[&str]) -> Vec<PartId> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

/// Returns the fingerprint of a request that is like no other.
fn next_request() -> Fingerprint {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    Fingerprint(NEXT.fetch_add(1, Ordering::Relaxed))
}

fn crash(instance: &str, names: &[&str]) -> CrashNotice {
    CrashNotice {
        instance: Arc::from(instance),
        request: next_request(),
        parts: parts(names),
    }
}

fn crashes(notices: &[CrashNotice]) -> PartNotices {
    PartNotices {
        crashes: notices.to_vec(),
        ..PartNotices::default()
    }
}

fn begun(names: &[&str]) -> PartNotices {
    PartNotices {
        begun: parts(names),
        ..PartNotices::default()
    }
}

/// Guards against a part that keeps crashing engines because reports of several generations, or of
/// several entries, on one crash are taken for several crashes, or the other way round.
#[test]
fn part_is_quarantined_after_three_crashes() {
    let mut evidence = CrashEvidence::new(1);
    for (now_ms, instance) in [(0, "a"), (300, "a"), (900, "b")] {
        assert_eq!(
            evidence.record(crashes(&[crash(instance, &["x"])]), now_ms),
            []
        );
    }
    assert_eq!(evidence.known(900).suspected, parts(&["x"]));
    let quarantined = PartChange::Quarantined {
        part: Arc::from("x"),
        crashes: 3,
    };
    let third = crashes(&[crash("a", &["x"])]);
    assert_eq!(evidence.record(third, 1_500), [quarantined]);
    assert_eq!(evidence.known(1_500).quarantined, parts(&["x"]));
    // It is released in the end, as the engines may have been mended.
    assert_eq!(evidence.known(700_000).quarantined, parts(&[]));
}

/// Guards against parts that are quarantined because several engines fail at once.
#[test]
fn engines_that_crash_together_quarantine_no_part() {
    let mut evidence = CrashEvidence::new(1);
    for (now_ms, instance) in [(0, "a"), (100, "b"), (200, "c"), (400, "d")] {
        let crashed = crashes(&[crash(instance, &["x"])]);
        assert_eq!(evidence.record(crashed, now_ms), []);
    }
}

/// Guards against sound requests that are refused because they share a part with deadly ones.
#[test]
fn part_that_an_engine_begins_to_answer_is_cleared() {
    let mut evidence = CrashEvidence::new(1);
    for now_ms in [0, 2_000] {
        let _ = evidence.record(crashes(&[crash("a", &["shared", "x"])]), now_ms);
    }
    assert_eq!(evidence.record(begun(&["shared"]), 2_100), []);
    let _ = evidence.record(crashes(&[crash("a", &["shared", "x"])]), 4_000);
    assert_eq!(evidence.known(4_000).quarantined, parts(&["x"]));
    // A part that was quarantined although it is sound is released by what still ran.
    let released = evidence.record(begun(&["x"]), 4_100);
    assert_eq!(released, [PartChange::Released(Arc::from("x"))]);
}

/// Guards against a shared first part that is quarantined in the place of several deadly ones behind
/// it.
#[test]
fn later_part_is_quarantined_before_the_first_one() {
    let mut evidence = CrashEvidence::new(1);
    for (now_ms, deadly) in [
        (0, "x"),
        (2_000, "y"),
        (4_000, "x"),
        (6_000, "y"),
        (8_000, "y"),
    ] {
        let _ = evidence.record(crashes(&[crash("a", &["shared", deadly])]), now_ms);
    }
    assert_eq!(evidence.known(8_000).quarantined, parts(&["x", "y"]));
}

/// Guards against sound requests that are refused because a deadly one with the same part, which is
/// quarantined by itself, comes again and again.
#[test]
fn request_that_comes_again_does_not_quarantine_its_parts() {
    let mut evidence = CrashEvidence::new(1);
    let again = crash("a", &["shared", "x"]);
    for now_ms in (0..10).map(|n| 2_000 * n) {
        assert_eq!(
            evidence.record(crashes(std::slice::from_ref(&again)), now_ms),
            []
        );
    }
    // Others with the part count, each once.
    let _ = evidence.record(crashes(&[crash("b", &["shared", "y"])]), 22_000);
    let found = evidence.record(crashes(&[crash("c", &["shared", "z"])]), 24_000);
    let shared = PartChange::Quarantined {
        part: Arc::from("shared"),
        crashes: 3,
    };
    assert_eq!(found, [shared]);
}

/// Guards against a first part that is deadly and never found, since the parts behind it vary.
#[test]
fn deadly_first_part_is_quarantined() {
    let mut evidence = CrashEvidence::new(1);
    for (now_ms, later) in [(0, "x"), (2_000, "y"), (4_000, "z")] {
        let _ = evidence.record(crashes(&[crash("a", &["first", later])]), now_ms);
    }
    assert_eq!(evidence.known(4_000).quarantined, parts(&["first"]));
}

/// Guards against a new leader, or a restarted entry, that sends quarantined parts to engines again.
#[test]
fn quarantine_outlasts_a_hub_and_an_entry() {
    let mut evidence = CrashEvidence::new(1);
    let mut watch = PartWatch::default();
    for now_ms in [0, 2_000, 4_000] {
        watch.record_crash(&Arc::from("a"), next_request(), &parts(&["x"]));
        let _ = evidence.record(watch.take_notices(), now_ms);
    }
    watch.apply(evidence.known(4_000));
    assert_eq!(
        watch.quarantined(&parts(&["y", "x"])),
        Some(&Arc::from("x"))
    );
    let mut next = CrashEvidence::new(2);
    let _ = next.record(watch.take_notices(), 5_000);
    let mut restarted = PartWatch::default();
    let _ = next.record(restarted.take_notices(), 5_100);
    restarted.apply(next.known(5_100));
    assert!(restarted.quarantined(&parts(&["x"])).is_some());
    // A generation that was under way at the change of hubs crashes its engine.
    let _ = next.record(crashes(&[crash("b", &["x"])]), 5_200);
    assert_eq!(next.known(5_200).quarantined, parts(&["x"]));
}

/// Guards against a part that is released because some of its crashes have expired when another
/// engine fails.
#[test]
fn quarantine_outlasts_its_evidence() {
    let mut evidence = CrashEvidence::new(1);
    for now_ms in [0, 20_000, 40_000] {
        let _ = evidence.record(crashes(&[crash("a", &["x"])]), now_ms);
    }
    for now_ms in [70_000, 90_000, 120_000] {
        let _ = evidence.record(crashes(&[crash("b", &["y"])]), now_ms);
        assert!(evidence.known(now_ms).quarantined.contains(&Arc::from("x")));
    }
}

/// Guards against crashes that are not counted because a report was lost.
#[test]
fn notices_are_kept_until_they_have_reached_the_hub() {
    let mut watch = PartWatch::default();
    watch.record_crash(&Arc::from("a"), next_request(), &parts(&["x"]));
    let lost = watch.take_notices();
    assert_eq!(watch.take_notices().crashes, []);
    watch.restore(lost.clone());
    assert_eq!(watch.take_notices(), lost);
}

/// `SplitMix64`, implemented here so that a seed gives the same run with every library version.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % bound
    }
}

const ENTRIES: u64 = 8;
const ENGINES: u64 = 9;
/// Time within which machines learn of a crash on the platform, after the fifth one.
const CONNECTIVITY_MS: u64 = 3_000;

struct Running {
    entry: usize,
    parts: Vec<PartId>,
    begins_ms: u64,
}

/// What happened in a history.
#[derive(Default)]
struct Counts {
    crashes: u64,
    fifth_crash_ms: u64,
    /// Deadly requests that were sent after the fifth crash and `CONNECTIVITY_MS`.
    sent_late: u64,
    sound_refused: u64,
    sound_sent: u64,
}

/// Plays requests that begin to be answered after up to a second; a deadly one crashes its engine
/// and what waits there. Entries report every 200 to 400 ms.
fn play(seed: u64, deadly_parts: u64, deadly_percent: u64) -> Counts {
    let mut random = Random(seed);
    let mut evidence = CrashEvidence::new(7);
    let mut watches: Vec<PartWatch> = (0..ENTRIES).map(|_| PartWatch::default()).collect();
    let mut engines: BTreeMap<u64, Vec<Running>> = BTreeMap::new();
    let mut down_until_ms: BTreeMap<u64, u64> = BTreeMap::new();
    let mut report_due_ms: Vec<u64> = (0..ENTRIES).map(|_| random.below(400)).collect();
    let mut counts = Counts::default();
    for now_ms in (0..60_000).step_by(10) {
        for engine in 0..ENGINES {
            let running = engines.entry(engine).or_default();
            running.sort_by_key(|request| request.begins_ms);
            while running
                .first()
                .is_some_and(|request| request.begins_ms <= now_ms)
            {
                let request = running.remove(0);
                if !request.parts.iter().any(|part| part.starts_with("deadly")) {
                    watches[request.entry].record_begin(&request.parts);
                    continue;
                }
                counts.crashes += 1;
                if counts.crashes == 5 {
                    counts.fifth_crash_ms = now_ms;
                }
                let instance: Arc<str> = Arc::from(format!("{engine}-{now_ms}"));
                for lost in std::iter::once(request).chain(running.drain(..)) {
                    watches[lost.entry].record_crash(&instance, next_request(), &lost.parts);
                }
                down_until_ms.insert(engine, now_ms + 3_000);
            }
        }
        // A request every 50 ms on average.
        if random.below(5) == 0 {
            let is_deadly = random.below(100) < deadly_percent;
            let mut names = vec![Arc::from(format!("first{}", random.below(20)))];
            names.push(match is_deadly {
                true => Arc::from(format!("deadly{}", random.below(deadly_parts))),
                false => Arc::from(format!("second{}", random.below(60))),
            });
            let entry = usize::try_from(random.below(ENTRIES)).unwrap();
            if watches[entry].quarantined(&names).is_some() {
                counts.sound_refused += u64::from(!is_deadly);
                continue;
            }
            let first = random.below(ENGINES);
            let is_up = |engine: &u64| {
                down_until_ms
                    .get(engine)
                    .is_none_or(|until_ms| now_ms >= *until_ms)
            };
            let engine = (first..first + ENGINES).map(|n| n % ENGINES).find(is_up);
            if let Some(engine) = engine {
                let is_late =
                    counts.crashes >= 5 && now_ms > counts.fifth_crash_ms + CONNECTIVITY_MS;
                counts.sent_late += u64::from(is_deadly && is_late);
                counts.sound_sent += u64::from(!is_deadly);
                engines.entry(engine).or_default().push(Running {
                    entry,
                    parts: names,
                    begins_ms: now_ms + 100 + random.below(900),
                });
            }
        }
        for (entry, watch) in watches.iter_mut().enumerate() {
            if now_ms >= report_due_ms[entry] {
                let _ = evidence.record(watch.take_notices(), now_ms);
                watch.apply(evidence.known(now_ms));
                report_due_ms[entry] = now_ms + 200 + random.below(200);
            }
        }
    }
    counts
}

/// Guards against deadly requests that reach more than three engines once there was time to learn of
/// five crashes, and against sound requests that are refused for them.
#[test]
fn deadly_parts_are_kept_away_and_sound_ones_served() {
    let seeds = std::env::var("LILAC_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(200);
    for seed in 0..seeds {
        for deadly_percent in [2, 5, 15, 30] {
            let counts = play(seed, 1, deadly_percent);
            let case = format!("seed {seed}, {deadly_percent} in 100");
            assert!(counts.sent_late <= 3, "{case}: {} sent", counts.sent_late);
            assert!(counts.crashes > 0 && counts.sound_sent > 500, "{case}");
            // Sound requests must begin at least half as often.
            let refused = (counts.sound_refused, counts.sound_sent);
            assert!(
                refused.0 * 20 <= refused.1,
                "{case}: refused and sent {refused:?}"
            );
        }
    }
}
