//! The holder: uses granted slots in an entry, and says which it wants.

use std::collections::{BTreeMap, BTreeSet};

use super::{RoomKey, RoomTimes};
use crate::model::InstanceRef;
use crate::rpc::Stamp;
use crate::rpc::control::{RoomAdopt, RoomReply, RoomRequest, RoomWant};

/// Time in which the remembered demand of a row halves, so that idle slots go back.
const DEMAND_HALVING_MS: u64 = 2_000;
/// One idle slot is asked for per this many wanted ones, so that most admissions need no call.
const HEADROOM_DIVISOR: u32 = 8;
/// Bounds of the time after which a refused caller is told to ask again.
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 10_000;
/// Told to refused callers while nothing is known of how long slots are held.
const UNKNOWN_RETRY_MS: u64 = 1_000;
/// A refusal by the broker stands this long; until then callers are refused without a call.
const SHORTAGE_KEPT_MS: u64 = 1_000;

/// A row that a generation counts against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    pub row: RoomKey,
    /// False if the row has no limit now. Its use is counted all the same, because a limit may be
    /// set while the generation runs.
    pub limited: bool,
}

/// No slot is free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    pub row: RoomKey,
    pub retry_after_ms: u64,
    /// False if the broker could not be asked for longer than a lease.
    pub has_lease: bool,
    /// True if the broker may have a slot; false if it has just said that it has none.
    pub may_ask: bool,
}

#[derive(Debug, Default)]
struct Slots {
    granted: u32,
    used: u32,
    waiting: u32,
    peak: u32,
    decayed_at_ms: u64,
    mean_use_ms: u64,
    /// When the broker last granted less than was wanted.
    short_at_ms: Option<u64>,
    limited: bool,
    /// True if the broker should hear of this row before the next renewal.
    urgent: bool,
}

impl Slots {
    fn note_demand(&mut self, now_ms: u64) {
        let demand = self.used.saturating_add(self.waiting);
        let halvings = now_ms.saturating_sub(self.decayed_at_ms) / DEMAND_HALVING_MS;
        if halvings > 0 {
            self.peak = u32::try_from(halvings)
                .ok()
                .and_then(|halvings| self.peak.checked_shr(halvings))
                .unwrap_or(0);
            self.decayed_at_ms = now_ms;
        }
        if demand >= self.peak {
            self.peak = demand;
            self.decayed_at_ms = now_ms;
        }
    }

    fn wanted(&self, leaving: bool) -> u32 {
        match (leaving, self.peak) {
            (true, _) => self.used,
            (false, 0) => 0,
            (false, peak) => peak.saturating_add(1 + peak / HEADROOM_DIVISOR),
        }
    }

    fn retry_after_ms(&self) -> u64 {
        let (ahead, used) = (u64::from(self.waiting) + 1, u64::from(self.used.max(1)));
        match self.mean_use_ms {
            0 => UNKNOWN_RETRY_MS,
            mean_ms => (mean_ms * ahead / used).clamp(MIN_RETRY_MS, MAX_RETRY_MS),
        }
    }
}

struct Adoption {
    from: InstanceRef,
    rows: Vec<(u64, RoomKey)>,
    moved: BTreeSet<u64>,
}

/// The slots of one entry.
pub struct Holder {
    times: RoomTimes,
    started_at_ms: u64,
    sequence: u64,
    sent_at_ms: u64,
    sent_partial: bool,
    lease_end_ms: u64,
    leaving: bool,
    rows: BTreeMap<RoomKey, Slots>,
    next_id: u64,
    adoptions: BTreeMap<u64, Adoption>,
}

impl Holder {
    /// Returns a holder without slots.
    pub fn new(times: RoomTimes, now_ms: u64) -> Self {
        Self {
            times,
            started_at_ms: now_ms,
            sequence: 0,
            sent_at_ms: now_ms,
            sent_partial: false,
            lease_end_ms: 0,
            leaving: false,
            rows: BTreeMap::new(),
            next_id: 0,
            adoptions: BTreeMap::new(),
        }
    }

    /// Returns true if slots may be used for new generations now.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        now_ms + self.times.margin_ms < self.lease_end_ms
    }

    /// Returns the sequence of the latest request.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the slots in use in a row.
    pub fn used(&self, row: &RoomKey) -> u32 {
        self.rows.get(row).map_or(0, |slots| slots.used)
    }

    /// Returns the slots that the last reply granted in a row.
    pub fn granted(&self, row: &RoomKey) -> u32 {
        self.rows.get(row).map_or(0, |slots| slots.granted)
    }

    /// Takes one slot of each limited row, or none at all.
    pub fn acquire(&mut self, demands: &[Demand], now_ms: u64) -> Result<(), Shortage> {
        let has_lease = self.has_lease(now_ms);
        let mut shortage = None;
        for demand in demands {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.limited = demand.limited;
            let free = has_lease && slots.used < slots.granted;
            if demand.limited && !free && shortage.is_none() {
                let refused = |at_ms: u64| now_ms < at_ms + SHORTAGE_KEPT_MS;
                shortage = Some(Shortage {
                    row: demand.row.clone(),
                    retry_after_ms: slots.retry_after_ms(),
                    has_lease,
                    may_ask: !(has_lease && slots.short_at_ms.is_some_and(refused)),
                });
            }
        }
        if let Some(shortage) = shortage {
            self.note_refused(demands, now_ms);
            return Err(shortage);
        }
        for demand in demands {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.used += 1;
            slots.note_demand(now_ms);
        }
        Ok(())
    }

    /// Remembers demand that was not met, so that the next renewal asks for it.
    fn note_refused(&mut self, demands: &[Demand], now_ms: u64) {
        for demand in demands.iter().filter(|demand| demand.limited) {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.waiting += 1;
            slots.note_demand(now_ms);
            slots.waiting -= 1;
        }
    }

    /// Notes a caller that waits for slots; `leave_queue` takes it back.
    pub fn join_queue(&mut self, demands: &[Demand], now_ms: u64) {
        for demand in demands.iter().filter(|demand| demand.limited) {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.waiting += 1;
            slots.urgent = true;
            slots.note_demand(now_ms);
        }
    }

    /// Takes a waiting caller back.
    pub fn leave_queue(&mut self, demands: &[Demand]) {
        for demand in demands.iter().filter(|demand| demand.limited) {
            if let Some(slots) = self.rows.get_mut(&demand.row) {
                slots.waiting = slots.waiting.saturating_sub(1);
            }
        }
    }

    /// Gives back the slots of a generation that ran for `ran_ms`. Returns true if the broker
    /// should hear of it before the next renewal.
    pub fn release(&mut self, demands: &[Demand], ran_ms: u64) -> bool {
        let mut is_urgent = false;
        for demand in demands {
            if let Some(slots) = self.rows.get_mut(&demand.row) {
                // More is used than granted, so this slot goes to another holder.
                slots.urgent |= slots.limited && slots.used > slots.granted;
                is_urgent |= slots.urgent;
                slots.used = slots.used.saturating_sub(1);
                slots.mean_use_ms = match slots.mean_use_ms {
                    0 => ran_ms.max(1),
                    mean_ms => (mean_ms * 7 + ran_ms) / 8,
                };
            }
        }
        is_urgent
    }

    /// Asks to move the slots of a generation from a silent holder. `adopted` tells when they are.
    pub fn adopt(&mut self, from: &InstanceRef, demands: &[Demand]) -> u64 {
        let id = self.next_id;
        let limited = demands.iter().filter(|demand| demand.limited);
        let rows: Vec<_> = (id + 1..)
            .zip(limited.map(|demand| demand.row.clone()))
            .collect();
        self.next_id += 1 + u64::try_from(rows.len()).unwrap_or_default();
        let adoption = Adoption {
            from: from.clone(),
            rows,
            moved: BTreeSet::new(),
        };
        self.adoptions.insert(id, adoption);
        id
    }

    /// Finishes an adoption if all of its slots were moved; they then count as used.
    pub fn adopted(&mut self, id: u64, demands: &[Demand], now_ms: u64) -> bool {
        let all_moved = self
            .adoptions
            .get(&id)
            .is_some_and(|adoption| adoption.moved.len() == adoption.rows.len());
        if !all_moved {
            return false;
        }
        self.adoptions.remove(&id);
        for demand in demands {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.limited = demand.limited;
            slots.used += 1;
            // The next request no longer lists the adoption, so it must list the row.
            slots.urgent = demand.limited;
            slots.note_demand(now_ms);
        }
        true
    }

    /// Gives an adoption up; slots that were moved go back with the next request.
    pub fn abandon(&mut self, id: u64) {
        self.adoptions.remove(&id);
    }

    /// From now on only slots in use are kept; the next request returns all others.
    pub fn leave(&mut self) {
        self.leaving = true;
        for slots in self.rows.values_mut() {
            slots.urgent |= slots.limited;
        }
    }

    /// Returns true if a row or an adoption should not wait for the next renewal.
    pub fn is_urgent(&self) -> bool {
        !self.adoptions.is_empty() || self.rows.values().any(|slots| slots.urgent)
    }

    /// Returns the next request; replies to earlier ones are ignored from now on.
    ///
    /// A full request renews the lease and lists all rows; a partial one lists the urgent ones.
    /// `limited` says whether a row has a limit now.
    pub fn request(
        &mut self,
        stamp: Stamp,
        partial: bool,
        limited: impl Fn(&RoomKey) -> bool,
        now_ms: u64,
    ) -> RoomRequest {
        self.sequence += 1;
        self.sent_at_ms = now_ms;
        self.sent_partial = partial;
        let has_lease = now_ms < self.lease_end_ms;
        for adoption in self.adoptions.values() {
            for (_, row) in &adoption.rows {
                self.rows.entry(row.clone()).or_default().urgent = true;
            }
        }
        let mut wants = Vec::new();
        let leaving = self.leaving;
        self.rows.retain(|row, slots| {
            if partial && !slots.urgent {
                return true;
            }
            slots.note_demand(now_ms);
            slots.limited = limited(row);
            let (kept, wanted) = (slots.used > 0 || slots.urgent, slots.wanted(leaving));
            slots.urgent = false;
            if !has_lease || !slots.limited || leaving {
                slots.granted = 0;
            }
            if !kept && wanted == 0 {
                // Not listed any more, so nothing of it may be used after this request.
                return false;
            }
            if slots.limited {
                wants.push(RoomWant {
                    workspace: row.workspace.clone(),
                    kind: row.kind.clone(),
                    used_slots: slots.used,
                    wanted_slots: wanted,
                    held_slots: slots.granted,
                });
            }
            true
        });
        RoomRequest {
            stamp,
            sequence: self.sequence,
            running_ms: now_ms.saturating_sub(self.started_at_ms),
            partial,
            wants,
            adopts: self.adopts(),
        }
    }

    fn adopts(&self) -> Vec<RoomAdopt> {
        let rows = self.adoptions.values().flat_map(|adoption| {
            let rows = adoption.rows.iter();
            rows.map(|(id, row)| RoomAdopt {
                id: *id,
                from: adoption.from.clone(),
                workspace: row.workspace.clone(),
                kind: row.kind.clone(),
            })
        });
        rows.collect()
    }

    /// Applies a reply; one to an earlier request is ignored. The lease counts from the time at
    /// which the request was sent, because the broker's own lease starts after that.
    pub fn apply(&mut self, reply: &RoomReply, now_ms: u64) -> bool {
        if reply.sequence != self.sequence {
            return false;
        }
        if !self.sent_partial {
            self.lease_end_ms = self.sent_at_ms + reply.lease_ms;
        }
        for grant in &reply.grants {
            let row = RoomKey {
                workspace: grant.workspace.clone(),
                kind: grant.kind.clone(),
            };
            if let Some(slots) = self.rows.get_mut(&row) {
                let held = slots.granted.max(slots.used);
                slots.granted = grant.granted_slots;
                // Returned slots are confirmed at once, so that they can go to another holder.
                slots.urgent |= slots.granted.max(slots.used) < held;
                let short = grant.granted_slots < slots.peak;
                slots.short_at_ms = short.then_some(now_ms);
            }
        }
        for adoption in self.adoptions.values_mut() {
            let moved = adoption.rows.iter().map(|(id, _)| *id);
            adoption
                .moved
                .extend(moved.filter(|id| reply.adopted.contains(id)));
        }
        true
    }
}
