//! The holder, which hands out granted slots in an entry and requests them from the broker.

use std::collections::{BTreeMap, BTreeSet};

use super::{RoomKey, RoomTimes};
use crate::model::InstanceRef;
use crate::rpc::Stamp;
use crate::rpc::control::{RoomAdoption, RoomDemand, RoomReply, RoomRequest};

/// Half-life of a row's peak demand. Its decay returns idle slots to the broker.
const DEMAND_HALF_LIFE_MS: u64 = 2_000;
/// One idle slot is requested per this many wanted ones, so that most admissions need no call to
/// the broker.
const HEADROOM_DIVISOR: u32 = 8;
/// Smallest and largest retry time given to a refused caller.
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 10_000;
/// Retry time given to refused callers while no slot of the row has been released yet.
const DEFAULT_RETRY_MS: u64 = 1_000;
/// Time for which callers are refused without a call after the broker granted too few slots.
const SHORTAGE_VALID_MS: u64 = 1_000;

/// A row in which a generation needs a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    pub row: RoomKey,
    /// False if the row has no limit now. Its use is still counted, because a limit may be set
    /// while the generation runs.
    pub limited: bool,
}

/// The error of an acquisition for which no slot is free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    pub row: RoomKey,
    pub retry_after_ms: u64,
    /// False if the holder has no valid lease, because the broker has not renewed it in time.
    pub has_lease: bool,
    /// True if a request to the broker may yield a slot; false if it has just granted too few.
    pub may_ask: bool,
}

#[derive(Debug, Default)]
struct RowSlots {
    granted: u32,
    used: u32,
    queued: u32,
    peak_demand: u32,
    peak_updated_at_ms: u64,
    mean_hold_ms: u64,
    /// When the broker's last grant was applied, if it was less than the demand.
    shortage_at_ms: Option<u64>,
    limited: bool,
    /// True if the row should be sent to the broker before the next renewal.
    urgent: bool,
}

impl RowSlots {
    fn update_peak(&mut self, now_ms: u64) {
        let demand = self.used.saturating_add(self.queued);
        let halvings = now_ms.saturating_sub(self.peak_updated_at_ms) / DEMAND_HALF_LIFE_MS;
        if halvings > 0 {
            self.peak_demand = u32::try_from(halvings)
                .ok()
                .and_then(|halvings| self.peak_demand.checked_shr(halvings))
                .unwrap_or(0);
            self.peak_updated_at_ms = now_ms;
        }
        if demand >= self.peak_demand {
            self.peak_demand = demand;
            self.peak_updated_at_ms = now_ms;
        }
    }

    fn wanted(&self, leaving: bool) -> u32 {
        match (leaving, self.peak_demand) {
            (true, _) => self.used,
            (false, 0) => 0,
            (false, peak_demand) => peak_demand.saturating_add(1 + peak_demand / HEADROOM_DIVISOR),
        }
    }

    fn retry_after_ms(&self) -> u64 {
        let (queue_position, used) = (u64::from(self.queued) + 1, u64::from(self.used.max(1)));
        match self.mean_hold_ms {
            0 => DEFAULT_RETRY_MS,
            mean_ms => (mean_ms * queue_position / used).clamp(MIN_RETRY_MS, MAX_RETRY_MS),
        }
    }
}

struct Adoption {
    from: InstanceRef,
    rows: Vec<(u64, RoomKey)>,
    moved_ids: BTreeSet<u64>,
}

/// The slots that one entry holds, by row.
pub struct Holder {
    times: RoomTimes,
    started_at_ms: u64,
    sequence: u64,
    sent_at_ms: u64,
    sent_partial: bool,
    lease_end_ms: u64,
    leaving: bool,
    rows: BTreeMap<RoomKey, RowSlots>,
    next_id: u64,
    adoptions: BTreeMap<u64, Adoption>,
}

impl Holder {
    /// Returns a holder without slots or a lease.
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

    /// Returns true if granted slots may be used for new generations now.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        now_ms + self.times.margin_ms < self.lease_end_ms
    }

    /// Returns the sequence number of the latest request.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the number of slots of a row that are in use.
    pub fn used(&self, row: &RoomKey) -> u32 {
        self.rows.get(row).map_or(0, |slots| slots.used)
    }

    /// Returns the number of slots of a row that are granted.
    pub fn granted(&self, row: &RoomKey) -> u32 {
        self.rows.get(row).map_or(0, |slots| slots.granted)
    }

    /// Takes one slot in each of the rows, or none at all if a limited row has no free slot.
    pub fn acquire(&mut self, demands: &[Demand], now_ms: u64) -> Result<(), Shortage> {
        let has_lease = self.has_lease(now_ms);
        let mut shortage = None;
        for demand in demands {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.limited = demand.limited;
            let free = has_lease && slots.used < slots.granted;
            if demand.limited && !free && shortage.is_none() {
                let is_recent = |at_ms: u64| now_ms < at_ms + SHORTAGE_VALID_MS;
                shortage = Some(Shortage {
                    row: demand.row.clone(),
                    retry_after_ms: slots.retry_after_ms(),
                    has_lease,
                    may_ask: !(has_lease && slots.shortage_at_ms.is_some_and(is_recent)),
                });
            }
        }
        if let Some(shortage) = shortage {
            self.record_unmet_demand(demands, now_ms);
            return Err(shortage);
        }
        for demand in demands {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.used += 1;
            slots.update_peak(now_ms);
        }
        Ok(())
    }

    /// Records demand that was not met, so that the next renewal requests slots for it.
    fn record_unmet_demand(&mut self, demands: &[Demand], now_ms: u64) {
        for demand in demands.iter().filter(|demand| demand.limited) {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.queued += 1;
            slots.update_peak(now_ms);
            slots.queued -= 1;
        }
    }

    /// Counts a caller that waits for slots, until `leave_queue` is called with the same rows.
    pub fn join_queue(&mut self, demands: &[Demand], now_ms: u64) {
        for demand in demands.iter().filter(|demand| demand.limited) {
            let slots = self.rows.entry(demand.row.clone()).or_default();
            slots.queued += 1;
            slots.urgent = true;
            slots.update_peak(now_ms);
        }
    }

    /// Stops counting a caller that waited for slots.
    pub fn leave_queue(&mut self, demands: &[Demand]) {
        for demand in demands.iter().filter(|demand| demand.limited) {
            if let Some(slots) = self.rows.get_mut(&demand.row) {
                slots.queued = slots.queued.saturating_sub(1);
            }
        }
    }

    /// Releases the slots of a generation that ran for `ran_ms`. Returns true if a request should
    /// be sent to the broker before the next renewal.
    pub fn release(&mut self, demands: &[Demand], ran_ms: u64) -> bool {
        let mut is_urgent = false;
        for demand in demands {
            if let Some(slots) = self.rows.get_mut(&demand.row) {
                // More slots are used than granted, so the broker can grant this one elsewhere.
                slots.urgent |= slots.limited && slots.used > slots.granted;
                is_urgent |= slots.urgent;
                slots.used = slots.used.saturating_sub(1);
                slots.mean_hold_ms = match slots.mean_hold_ms {
                    0 => ran_ms.max(1),
                    mean_ms => (mean_ms * 7 + ran_ms) / 8,
                };
            }
        }
        is_urgent
    }

    /// Begins to take over the slots of a generation from a holder whose lease has ended, and
    /// returns the id of the adoption. The following requests ask the broker for it; `adopted`
    /// completes it.
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
            moved_ids: BTreeSet::new(),
        };
        self.adoptions.insert(id, adoption);
        id
    }

    /// Completes an adoption if the broker has moved all of its slots, which then count as used.
    /// Returns false if it has not yet.
    pub fn adopted(&mut self, id: u64, demands: &[Demand], now_ms: u64) -> bool {
        let all_moved = self
            .adoptions
            .get(&id)
            .is_some_and(|adoption| adoption.moved_ids.len() == adoption.rows.len());
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
            slots.update_peak(now_ms);
        }
        true
    }

    /// Abandons an adoption. The next request returns slots that were already moved.
    pub fn abandon(&mut self, id: u64) {
        self.adoptions.remove(&id);
    }

    /// Begins a planned stop: from now on only slots in use are kept, and the next request returns
    /// all others.
    pub fn leave(&mut self) {
        self.leaving = true;
        for slots in self.rows.values_mut() {
            slots.urgent |= slots.limited;
        }
    }

    /// Returns true if a request should be sent before the next renewal, for a row or an adoption.
    pub fn is_urgent(&self) -> bool {
        !self.adoptions.is_empty() || self.rows.values().any(|slots| slots.urgent)
    }

    /// Returns the next request to the broker. Replies to earlier requests are ignored from now on.
    ///
    /// A full request renews the lease and lists all rows; a partial one lists only urgent rows.
    /// `limited` returns whether a row has a limit now.
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
        let mut demands = Vec::new();
        let leaving = self.leaving;
        self.rows.retain(|row, slots| {
            if partial && !slots.urgent {
                return true;
            }
            slots.update_peak(now_ms);
            slots.limited = limited(row);
            let (kept, wanted) = (slots.used > 0 || slots.urgent, slots.wanted(leaving));
            slots.urgent = false;
            if !has_lease || !slots.limited || leaving {
                slots.granted = 0;
            }
            if !kept && wanted == 0 {
                // The row is no longer listed, so none of its slots may be used after this request.
                return false;
            }
            if slots.limited {
                demands.push(RoomDemand {
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
            demands,
            adopts: self.adopts(),
        }
    }

    fn adopts(&self) -> Vec<RoomAdoption> {
        let rows = self.adoptions.values().flat_map(|adoption| {
            let rows = adoption.rows.iter();
            rows.map(|(id, row)| RoomAdoption {
                id: *id,
                from: adoption.from.clone(),
                workspace: row.workspace.clone(),
                kind: row.kind.clone(),
            })
        });
        rows.collect()
    }

    /// Applies a reply. Returns false, without any effect, if it does not answer the latest
    /// request.
    ///
    /// The lease counts from the time at which the request was sent. The broker counts it from a
    /// later time, so it never ends earlier at the broker than here.
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
                let held_before = slots.granted.max(slots.used);
                slots.granted = grant.granted_slots;
                // Confirms returned slots at once, so that the broker can grant them elsewhere.
                slots.urgent |= slots.granted.max(slots.used) < held_before;
                let is_short = grant.granted_slots < slots.peak_demand;
                slots.shortage_at_ms = is_short.then_some(now_ms);
            }
        }
        for adoption in self.adoptions.values_mut() {
            let requested_ids = adoption.rows.iter().map(|(id, _)| *id);
            adoption
                .moved_ids
                .extend(requested_ids.filter(|id| reply.adopted.contains(id)));
        }
        true
    }
}
