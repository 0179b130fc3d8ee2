//! Tests of single rules of the slot broker and the holder, each with a fixed sequence of steps.

mod room_support;

use std::collections::BTreeMap;

use lilacspindle::domain::room::{Broker, EntryMember, Holder, RoomRefusal, RoomTimes};
use lilacspindle::rpc::control::{RoomReply, RoomRequest};
use room_support::{demand, member, row, stamp};

/// A broker without a grace period and some holders, whose messages arrive without delay.
struct Harness {
    times: RoomTimes,
    limit: u32,
    broker: Broker,
    members: Vec<EntryMember>,
    holders: BTreeMap<String, Holder>,
}

impl Harness {
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

    /// Tries to acquire a slot; if there is none, tries again after three renewals of all holders,
    /// which is enough for a slot to pass from one holder to another.
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

/// Guards against a slot that is freed while a generation that was admitted at the very end of its
/// holder's lease still runs. Without the margin this happens.
#[test]
fn lease_margin_covers_the_latency_of_the_start_call() {
    for (margin_ms, holds) in [(1_000, true), (0, false)] {
        let times = RoomTimes {
            margin_ms,
            ..RoomTimes::default()
        };
        let mut harness = Harness::new(1, &["a", "b"], times);
        harness.acquire("a", 100);
        harness.renew("a", 100);
        let lease_end_ms = 100 + times.lease_ms;
        let last_admission_ms = (100..lease_end_ms).rev().find(|now_ms| {
            let admitted = harness.acquire("a", *now_ms);
            admitted || *now_ms < lease_end_ms - 1_500
        });
        // The start call takes up to a second; the entry ends right after sending it.
        let start_ms = last_admission_ms.unwrap() + 900;
        let cancelled_ms = start_ms + times.orphan_ms;
        let freed_ms = (start_ms..)
            .step_by(100)
            .find(|now_ms| harness.renew_and_acquire("b", *now_ms))
            .unwrap();
        assert_eq!(freed_ms >= cancelled_ms, holds, "margin {margin_ms} ms");
    }
}

/// Guards against a holder that keeps the only slot for itself while others want it.
#[test]
fn a_row_with_fewer_slots_than_holders_starves_none() {
    let names = ["a", "b", "c", "d", "e"];
    let mut harness = Harness::new(2, &names, RoomTimes::default());
    let mut running: Vec<(u64, &str)> = Vec::new();
    let mut admitted: BTreeMap<&str, u32> = BTreeMap::new();
    for now_ms in (100..120_000).step_by(100) {
        running.retain(|(end_ms, name)| {
            let ended = *end_ms <= now_ms;
            if ended {
                harness.holder(name).release(&[demand(&row(0))], 300);
            }
            !ended
        });
        for name in names {
            if harness.acquire(name, now_ms) {
                running.push((now_ms + 300, name));
                *admitted.entry(name).or_default() += 1;
            }
            if now_ms % 1_000 == 0 || harness.holder(name).is_urgent() {
                harness.renew(name, now_ms);
            }
        }
        assert!(running.len() <= 2, "{running:?}");
    }
    // 120 s are 24 turns with two slots each; every one of the five holders should get about a
    // fifth.
    let total: u32 = admitted.values().sum();
    for name in names {
        let share = f64::from(admitted.get(name).copied().unwrap_or(0)) / f64::from(total);
        assert!(
            (0.1..0.3).contains(&share),
            "{name} got {share}: {admitted:?}"
        );
    }
}

/// Guards against slots in use that are granted again after the row's limit was lowered, and
/// against running generations that lose their slots because of it.
#[test]
fn a_lowered_limit_grants_nothing_until_use_is_below_it() {
    let mut harness = Harness::new(4, &["a", "b"], RoomTimes::default());
    for name in ["a", "b"] {
        assert!(harness.acquire_after_renewals(name, 100));
        assert!(harness.acquire_after_renewals(name, 200));
    }
    harness.limit = 2;
    for used in [4, 3, 2] {
        harness.renew("a", 300);
        harness.renew("b", 300);
        assert!(
            !harness.acquire("a", 300) && !harness.acquire("b", 300),
            "admitted with {used} slots of 2 in use"
        );
        let name = if used == 3 { "b" } else { "a" };
        harness.holder(name).release(&[demand(&row(0))], 10);
    }
    // One of two slots is free, and `a` has none.
    assert!(harness.acquire_after_renewals("a", 400));
}

/// Guards against an adoption that also frees the slot of the former holder for others, that moves
/// a slot twice, or that takes a slot from a holder whose lease is valid.
#[test]
fn adoption_moves_exactly_one_reserved_slot() {
    let mut harness = Harness::new(2, &["a", "b", "c"], RoomTimes::default());
    assert!(harness.acquire_after_renewals("a", 100));
    assert!(harness.acquire_after_renewals("a", 100));
    let from = stamp("a", 1).sender;
    let id = harness.holder("b").adopt(&from, &[demand(&row(0))]);
    harness.renew("b", 200);
    let demands = [demand(&row(0))];
    assert!(
        !harness.holder("b").adopted(id, &demands, 200),
        "adopted from a holder with a valid lease"
    );
    let lease_ended_ms = 200 + harness.times.lease_ms;
    // The reply to the first request is lost; the second request moves no further slot.
    let lost = harness.request("b", lease_ended_ms);
    assert_eq!(
        harness.answer(&lost, lease_ended_ms).unwrap().adopted.len(),
        1
    );
    harness.renew("b", lease_ended_ms);
    assert_eq!(harness.broker.charged(&row(0)), 2);
    assert!(harness.holder("b").adopted(id, &demands, lease_ended_ms));
    harness.renew("b", lease_ended_ms);
    assert_eq!(harness.holder("b").used(&row(0)), 1);
    assert_eq!(harness.broker.charged(&row(0)), 2);
    harness.acquire("c", lease_ended_ms);
    harness.renew("c", lease_ended_ms);
    assert!(!harness.acquire("c", lease_ended_ms));
}

/// Guards against a restarted entry that frees the slots of generations that its previous
/// incarnation may still have running, and against late requests of that incarnation.
#[test]
fn a_new_incarnation_waits_for_the_slots_of_the_old_one() {
    let mut harness = Harness::new(1, &["a"], RoomTimes::default());
    assert!(harness.acquire_after_renewals("a", 100));
    let late = harness.request("a", 200);
    harness.members = vec![member("a", 2)];
    assert_eq!(
        harness.answer(&late, 300).unwrap_err(),
        RoomRefusal::NotRegistered
    );
    let mut restarted = Holder::new(harness.times, 300);
    let mut ask = |harness: &mut Harness, now_ms: u64| {
        let admitted = restarted.acquire(&[demand(&row(0))], now_ms).is_ok();
        let request = restarted.request(stamp("a", 2), false, |_| true, now_ms);
        let reply = harness.answer(&request, now_ms).unwrap();
        restarted.apply(&reply, now_ms);
        admitted || restarted.acquire(&[demand(&row(0))], now_ms).is_ok()
    };
    let free_ms = 100 + harness.times.lease_ms + harness.times.orphan_ms;
    for now_ms in (300..free_ms).step_by(1_000) {
        assert!(!ask(&mut harness, now_ms), "granted at {now_ms} ms");
    }
    assert!(ask(&mut harness, free_ms));
}

/// Guards against late messages that take effect: the broker has to ignore old requests and the
/// holder old replies.
#[test]
fn old_sequence_numbers_are_ignored() {
    let mut harness = Harness::new(4, &["a"], RoomTimes::default());
    harness.acquire("a", 100);
    let old = harness.request("a", 100);
    let old_reply = harness.answer(&old, 100).unwrap();
    harness.renew("a", 200);
    assert!(!harness.holder("a").apply(&old_reply, 300));
    let refused = harness.answer(&old, 300).unwrap_err();
    assert_eq!(refused, RoomRefusal::OldSequence { newest: 2 });
}

/// Guards against idle slots that stay with a holder whose demand has ended.
#[test]
fn demand_decays_until_idle_slots_are_returned() {
    let mut harness = Harness::new(8, &["a"], RoomTimes::default());
    for _ in 0..4 {
        assert!(harness.acquire_after_renewals("a", 100));
    }
    for _ in 0..4 {
        harness.holder("a").release(&[demand(&row(0))], 50);
    }
    for now_ms in (1_000..20_000).step_by(1_000) {
        harness.renew("a", now_ms);
    }
    assert_eq!(harness.broker.charged(&row(0)), 0);
}
