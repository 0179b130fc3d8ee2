//! Single rules of the broker and the holder, each in a fixed sequence of steps.

mod room_support;

use std::collections::BTreeMap;

use lilacspindle::domain::room::{Broker, EntryMember, Holder, RoomRefusal, RoomTimes};
use lilacspindle::rpc::control::{RoomReply, RoomRequest};
use room_support::{demand, member, row, stamp};

/// A broker without leader grace and some holders, with messages that arrive at once.
struct Bench {
    times: RoomTimes,
    limit: u32,
    broker: Broker,
    members: Vec<EntryMember>,
    holders: BTreeMap<String, Holder>,
}

impl Bench {
    fn new(limit: u32, names: &[&str], times: RoomTimes) -> Self {
        let times = RoomTimes {
            grace_ms: 0,
            ..times
        };
        Self {
            times,
            limit,
            broker: Broker::new(times, 0),
            members: names.iter().map(|name| member(name, 1)).collect(),
            holders: names
                .iter()
                .map(|name| ((*name).to_owned(), Holder::new(times, 0)))
                .collect(),
        }
    }

    fn holder(&mut self, name: &str) -> &mut Holder {
        self.holders.get_mut(name).unwrap()
    }

    fn request(&mut self, name: &str, now_ms: u64) -> RoomRequest {
        let stamp = stamp(name, 1);
        self.holder(name).request(stamp, false, |_| true, now_ms)
    }

    fn answer(&mut self, request: &RoomRequest, now_ms: u64) -> Result<RoomReply, RoomRefusal> {
        let limit = self.limit;
        let answer = self
            .broker
            .answer(request, &self.members, |_| Some(limit), now_ms)?;
        assert_eq!(answer.violations, Vec::new());
        Ok(RoomReply {
            stamp: stamp("control", 1),
            sequence: request.sequence,
            grants: answer.grants,
            adopted: answer.adopted,
            lease_ms: self.times.lease_ms,
        })
    }

    fn renew(&mut self, name: &str, now_ms: u64) {
        let request = self.request(name, now_ms);
        let reply = self.answer(&request, now_ms).unwrap();
        assert!(self.holder(name).apply(&reply, now_ms));
    }

    fn acquire(&mut self, name: &str, now_ms: u64) -> bool {
        self.holder(name)
            .acquire(&[demand(&row(0))], now_ms)
            .is_ok()
    }

    fn renew_and_acquire(&mut self, name: &str, now_ms: u64) -> bool {
        self.acquire(name, now_ms);
        self.renew(name, now_ms);
        self.acquire(name, now_ms)
    }

    /// Acquires after as many renewals of all holders as slots need to pass from one to another.
    fn acquire_after_renewals(&mut self, name: &str, now_ms: u64) -> bool {
        let names: Vec<String> = self.holders.keys().cloned().collect();
        if self.acquire(name, now_ms) {
            return true;
        }
        for _ in 0..3 {
            for name in &names {
                self.renew(name, now_ms);
            }
        }
        self.acquire(name, now_ms)
    }
}

/// Guards against a slot that is freed while a generation that started at the very end of its
/// holder's lease still runs unread; with the margin off the check fails.
#[test]
fn the_margin_covers_the_way_of_the_start() {
    for (margin_ms, holds) in [(1_000, true), (0, false)] {
        let times = RoomTimes {
            margin_ms,
            ..RoomTimes::default()
        };
        let mut bench = Bench::new(1, &["a", "b"], times);
        bench.acquire("a", 100);
        bench.renew("a", 100);
        let lease_end_ms = 100 + times.lease_ms;
        let last_admission_ms = (100..lease_end_ms).rev().find(|now_ms| {
            let admitted = bench.acquire("a", *now_ms);
            admitted || *now_ms < lease_end_ms - 1_500
        });
        // The start takes up to a second to the sidecar; the entry dies right after sending it.
        let start_ms = last_admission_ms.unwrap() + 900;
        let cancelled_ms = start_ms + times.orphan_ms;
        let freed_ms = (start_ms..)
            .step_by(100)
            .find(|now_ms| bench.renew_and_acquire("b", *now_ms))
            .unwrap();
        assert_eq!(freed_ms >= cancelled_ms, holds, "margin {margin_ms} ms");
    }
}

/// Guards against a holder that keeps the only slot for itself while others want it.
#[test]
fn a_row_with_less_room_than_holders_starves_none() {
    let names = ["a", "b", "c", "d", "e"];
    let mut bench = Bench::new(2, &names, RoomTimes::default());
    let mut running: Vec<(u64, &str)> = Vec::new();
    let mut admitted: BTreeMap<&str, u32> = BTreeMap::new();
    for now_ms in (100..120_000).step_by(100) {
        running.retain(|(end_ms, name)| {
            let ended = *end_ms <= now_ms;
            if ended {
                bench.holder(name).release(&[demand(&row(0))], 300);
            }
            !ended
        });
        for name in names {
            if bench.acquire(name, now_ms) {
                running.push((now_ms + 300, name));
                *admitted.entry(name).or_default() += 1;
            }
            if now_ms % 1_000 == 0 || bench.holder(name).is_urgent() {
                bench.renew(name, now_ms);
            }
        }
        assert!(running.len() <= 2, "{running:?}");
    }
    // 120 s are 24 turns of two slots; each of the five holders should get about a fifth.
    let total: u32 = admitted.values().sum();
    for name in names {
        let share = f64::from(admitted.get(name).copied().unwrap_or(0)) / f64::from(total);
        assert!(
            (0.1..0.3).contains(&share),
            "{name} got {share}: {admitted:?}"
        );
    }
}

/// Guards against slots in use that are granted again after the row was lowered, and against
/// generations that are cut off by it.
#[test]
fn a_lowered_row_grants_nothing_until_use_is_below_it() {
    let mut bench = Bench::new(4, &["a", "b"], RoomTimes::default());
    for name in ["a", "b"] {
        assert!(bench.acquire_after_renewals(name, 100));
        assert!(bench.acquire_after_renewals(name, 200));
    }
    bench.limit = 2;
    for used in [4, 3, 2] {
        bench.renew("a", 300);
        bench.renew("b", 300);
        assert!(
            !bench.acquire("a", 300) && !bench.acquire("b", 300),
            "{used} of 2"
        );
        let name = if used == 3 { "b" } else { "a" };
        bench.holder(name).release(&[demand(&row(0))], 10);
    }
    // One of two slots is free, and `a` has none.
    assert!(bench.acquire_after_renewals("a", 400));
}

/// Guards against an adoption that frees the silent holder's slot for someone else as well, that
/// moves a slot twice, or that takes one from a holder that is alive.
#[test]
fn adoption_moves_one_reserved_slot() {
    let mut bench = Bench::new(2, &["a", "b", "c"], RoomTimes::default());
    assert!(bench.acquire_after_renewals("a", 100));
    assert!(bench.acquire_after_renewals("a", 100));
    let from = stamp("a", 1).sender;
    let id = bench.holder("b").adopt(&from, &[demand(&row(0))]);
    bench.renew("b", 200);
    let demands = [demand(&row(0))];
    assert!(!bench.holder("b").adopted(id, &demands, 200), "a is alive");
    let silent_ms = 200 + bench.times.lease_ms;
    // The reply to the first request is lost; the second request moves nothing more.
    let lost = bench.request("b", silent_ms);
    assert_eq!(bench.answer(&lost, silent_ms).unwrap().adopted.len(), 1);
    bench.renew("b", silent_ms);
    assert_eq!(bench.broker.charged(&row(0)), 2);
    assert!(bench.holder("b").adopted(id, &demands, silent_ms));
    bench.renew("b", silent_ms);
    assert_eq!(bench.holder("b").used(&row(0)), 1);
    assert_eq!(bench.broker.charged(&row(0)), 2);
    bench.acquire("c", silent_ms);
    bench.renew("c", silent_ms);
    assert!(!bench.acquire("c", silent_ms));
}

/// Guards against a restarted entry that frees what its former run may still have running, and
/// against requests of that run.
#[test]
fn a_new_incarnation_waits_for_what_the_old_one_held() {
    let mut bench = Bench::new(1, &["a"], RoomTimes::default());
    assert!(bench.acquire_after_renewals("a", 100));
    let late = bench.request("a", 200);
    bench.members = vec![member("a", 2)];
    assert_eq!(
        bench.answer(&late, 300).unwrap_err(),
        RoomRefusal::NotRegistered
    );
    let mut restarted = Holder::new(bench.times, 300);
    let mut ask = |bench: &mut Bench, now_ms: u64| {
        let admitted = restarted.acquire(&[demand(&row(0))], now_ms).is_ok();
        let request = restarted.request(stamp("a", 2), false, |_| true, now_ms);
        let reply = bench.answer(&request, now_ms).unwrap();
        restarted.apply(&reply, now_ms);
        admitted || restarted.acquire(&[demand(&row(0))], now_ms).is_ok()
    };
    let free_ms = 100 + bench.times.lease_ms + bench.times.orphan_ms;
    for now_ms in (300..free_ms).step_by(1_000) {
        assert!(!ask(&mut bench, now_ms), "granted at {now_ms} ms");
    }
    assert!(ask(&mut bench, free_ms));
}

/// Guards against late messages: the broker ignores old requests, the holder old replies.
#[test]
fn old_sequence_numbers_are_ignored() {
    let mut bench = Bench::new(4, &["a"], RoomTimes::default());
    bench.acquire("a", 100);
    let old = bench.request("a", 100);
    let old_reply = bench.answer(&old, 100).unwrap();
    bench.renew("a", 200);
    assert!(!bench.holder("a").apply(&old_reply, 300));
    let refused = bench.answer(&old, 300).unwrap_err();
    assert_eq!(refused, RoomRefusal::OldSequence { newest: 2 });
}

/// Guards against idle slots that stay with a holder whose demand has ended.
#[test]
fn demand_decays_until_idle_slots_are_returned() {
    let mut bench = Bench::new(8, &["a"], RoomTimes::default());
    for _ in 0..4 {
        assert!(bench.acquire_after_renewals("a", 100));
    }
    for _ in 0..4 {
        bench.holder("a").release(&[demand(&row(0))], 50);
    }
    for now_ms in (1_000..20_000).step_by(1_000) {
        bench.renew("a", now_ms);
    }
    assert_eq!(bench.broker.charged(&row(0)), 0);
}
