//! The broker, which runs at the control leader and divides the slots of each row among entries.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::division::{Share, Shares, charged_to_others, target};
use super::{RoomKey, RoomTimes};
use crate::model::InstanceRef;
use crate::rpc::control::{RoomAdoption, RoomDemand, RoomGrant, RoomRequest};

/// An entry of the member list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryMember {
    pub instance: InstanceRef,
    /// True if the member is known to have ended. Its generations may continue for `orphan_ms`.
    pub gone: bool,
}

/// Why a request was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoomRefusal {
    /// The member list does not contain this incarnation of the entry, or lists it as ended.
    NotRegistered,
    /// A newer request of the holder has already been answered.
    OldSequence { newest: u64 },
}

impl fmt::Display for RoomRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRegistered => f.write_str("this run of the entry is not in the member list"),
            Self::OldSequence { newest } => {
                write!(f, "a request with sequence {newest} was answered before")
            }
        }
    }
}

/// A violated invariant, which means a defect in the broker or in a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A grant exceeds the free slots of the row.
    GrantsAboveRow {
        row: RoomKey,
        charged: u32,
        limit: u32,
    },
    /// A holder uses more slots than are charged to it.
    UsedAboveGranted {
        row: RoomKey,
        used: u32,
        charged: u32,
    },
}

/// The answer to one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    pub grants: Vec<RoomGrant>,
    /// Ids of the request's adoptions that have been carried out.
    pub adopted: Vec<u64>,
    pub violations: Vec<Violation>,
}

/// What the broker knows about a holder.
#[derive(Debug)]
struct HolderState {
    instance: InstanceRef,
    sequence: u64,
    lease_end_ms: u64,
    /// Start of the incarnation, on the broker's clock.
    started_at_ms: u64,
    /// True once the holder has reported all of its rows to this broker.
    reported: bool,
    rows: BTreeSet<RoomKey>,
    /// Rows of the adoptions that were carried out and that the holder still lists, by their id.
    adopted: BTreeMap<u64, RoomKey>,
}

/// The broker's state. It is not replicated: each new leader starts with an empty one.
#[derive(Debug)]
pub struct Broker {
    times: RoomTimes,
    grace_end_ms: u64,
    next_holder_id: u32,
    holder_ids: BTreeMap<InstanceRef, u32>,
    holders: BTreeMap<u32, HolderState>,
    rows: BTreeMap<RoomKey, Shares>,
}

impl Broker {
    /// Returns an empty broker for a leader whose term begins at `now_ms`.
    pub fn new(times: RoomTimes, now_ms: u64) -> Self {
        Self {
            times,
            grace_end_ms: now_ms + times.grace_ms,
            next_holder_id: 0,
            holder_ids: BTreeMap::new(),
            holders: BTreeMap::new(),
            rows: BTreeMap::new(),
        }
    }

    /// Returns the number of slots of a row that are charged to holders.
    pub fn charged(&self, row: &RoomKey) -> u32 {
        let shares = self.rows.get(row).into_iter().flat_map(BTreeMap::values);
        shares.fold(0, |sum, share| sum.saturating_add(share.charge()))
    }

    /// Returns the number of rows in which some holder has or wants slots.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns true while a new leader grants no additional slots.
    pub fn in_grace(&self, now_ms: u64) -> bool {
        now_ms < self.grace_end_ms
    }

    /// Answers a holder's request. `entries` lists the current entries; `limit` returns the number
    /// of slots of a row, or `None` if it has no limit.
    pub fn answer(
        &mut self,
        request: &RoomRequest,
        entries: &[EntryMember],
        limit: impl Fn(&RoomKey) -> Option<u32>,
        now_ms: u64,
    ) -> Result<Answer, RoomRefusal> {
        let instance = &request.stamp.sender;
        let registered = |entry: &EntryMember| entry.instance == *instance && !entry.gone;
        if !entries.iter().any(registered) {
            return Err(RoomRefusal::NotRegistered);
        }
        self.expire(now_ms);
        let (holder_id, repeated) = self.record_request(request, now_ms)?;
        let rows: Vec<RoomKey> = request.demands.iter().map(row_key).collect();
        if !request.partial {
            self.remove_unlisted(holder_id, &rows);
        }
        let mut answer = Answer::default();
        let limits: Vec<Option<u32>> = rows.iter().map(&limit).collect();
        for ((demand, row), limit) in request.demands.iter().zip(&rows).zip(&limits) {
            let violation = match limit {
                Some(_) => self.record_demand(holder_id, row, demand, repeated, now_ms),
                None => {
                    self.remove_share(holder_id, row);
                    None
                }
            };
            answer.violations.extend(violation);
        }
        self.forget_adoptions(holder_id, &request.adopts);
        self.end_grace_early(entries, now_ms);
        for adopt in &request.adopts {
            if self.adopt(holder_id, adopt, &limit, now_ms) {
                answer.adopted.push(adopt.id);
            }
        }
        for ((demand, row), limit) in request.demands.iter().zip(rows).zip(limits) {
            let granted_slots = match limit {
                Some(limit) => self.grant(holder_id, &row, limit, now_ms, &mut answer.violations),
                None => demand.wanted_slots,
            };
            answer.grants.push(RoomGrant {
                workspace: row.workspace,
                kind: row.kind,
                granted_slots,
            });
        }
        Ok(answer)
    }

    /// Frees the slots of holders whose lease ended at least `orphan_ms` ago, by when sidecars have
    /// cancelled their generations.
    pub fn expire(&mut self, now_ms: u64) {
        let orphan_ms = self.times.orphan_ms;
        let ended: Vec<u32> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.lease_end_ms + orphan_ms <= now_ms)
            .map(|(holder_id, _)| *holder_id)
            .collect();
        for holder_id in ended {
            let Some(holder) = self.holders.remove(&holder_id) else {
                continue;
            };
            self.holder_ids.remove(&holder.instance);
            for row in &holder.rows {
                self.remove_share(holder_id, row);
            }
        }
    }

    fn record_request(
        &mut self,
        request: &RoomRequest,
        now_ms: u64,
    ) -> Result<(u32, bool), RoomRefusal> {
        let instance = &request.stamp.sender;
        let holder_id = match self.holder_ids.get(instance) {
            Some(holder_id) => *holder_id,
            None => {
                self.next_holder_id += 1;
                self.holder_ids
                    .insert(instance.clone(), self.next_holder_id);
                self.next_holder_id
            }
        };
        let holder = self
            .holders
            .entry(holder_id)
            .or_insert_with(|| HolderState {
                instance: instance.clone(),
                sequence: 0,
                lease_end_ms: 0,
                started_at_ms: now_ms.saturating_sub(request.running_ms),
                reported: false,
                rows: BTreeSet::new(),
                adopted: BTreeMap::new(),
            });
        if request.sequence < holder.sequence {
            return Err(RoomRefusal::OldSequence {
                newest: holder.sequence,
            });
        }
        let repeated = request.sequence == holder.sequence;
        holder.sequence = request.sequence;
        holder.reported |= !request.partial;
        holder.lease_end_ms = now_ms + self.times.lease_ms;
        Ok((holder_id, repeated))
    }

    fn remove_unlisted(&mut self, holder_id: u32, rows: &[RoomKey]) {
        let listed: BTreeSet<RoomKey> = rows.iter().cloned().collect();
        let Some(holder) = self.holders.get_mut(&holder_id) else {
            return;
        };
        // A holder does not report adopted slots before it has received the reply to the adoption.
        let adopted: BTreeSet<&RoomKey> = holder.adopted.values().collect();
        let unlisted: Vec<RoomKey> = holder
            .rows
            .difference(&listed)
            .filter(|row| !adopted.contains(row))
            .cloned()
            .collect();
        for row in &unlisted {
            holder.rows.remove(row);
        }
        for row in &unlisted {
            self.remove_share(holder_id, row);
        }
    }

    fn remove_share(&mut self, holder_id: u32, row: &RoomKey) {
        if let Some(shares) = self.rows.get_mut(row) {
            shares.remove(&holder_id);
            if shares.is_empty() {
                self.rows.remove(row);
            }
        }
    }

    fn record_demand(
        &mut self,
        holder_id: u32,
        row: &RoomKey,
        demand: &RoomDemand,
        repeated: bool,
        now_ms: u64,
    ) -> Option<Violation> {
        let lease_end_ms = now_ms + self.times.lease_ms;
        let share = self.share(holder_id, row);
        let charged = share.charge();
        // If its lease had ended, slots may have been adopted by another holder without its
        // knowledge.
        let was_leased = !share.lease_expired(now_ms);
        share.held = demand.held_slots.max(demand.used_slots);
        share.reusable = demand.held_slots;
        share.wanted = demand.wanted_slots;
        share.lease_end_ms = lease_end_ms;
        // A repeated request may be a late duplicate of one whose reply the holder has applied.
        if !repeated {
            share.granted = 0;
        }
        (was_leased && demand.used_slots > charged).then(|| Violation::UsedAboveGranted {
            row: row.clone(),
            used: demand.used_slots,
            charged,
        })
    }

    fn share(&mut self, holder_id: u32, row: &RoomKey) -> &mut Share {
        let holders = &mut self.holders;
        let new_share = || {
            if let Some(holder) = holders.get_mut(&holder_id) {
                holder.rows.insert(row.clone());
            }
            Share::default()
        };
        let shares = self.rows.entry(row.clone()).or_default();
        shares.entry(holder_id).or_insert_with(new_share)
    }

    /// Removes adoptions that the holder no longer lists, because it now reports their slots as its
    /// own or has abandoned them.
    fn forget_adoptions(&mut self, holder_id: u32, listed: &[RoomAdoption]) {
        let Some(holder) = self.holders.get_mut(&holder_id) else {
            return;
        };
        let finished: Vec<u64> = holder
            .adopted
            .keys()
            .filter(|id| listed.iter().all(|adopt| adopt.id != **id))
            .copied()
            .collect();
        for id in finished {
            let row = holder.adopted.remove(&id);
            let shares = row.and_then(|row| self.rows.get_mut(&row));
            if let Some(share) = shares.and_then(|shares| shares.get_mut(&holder_id)) {
                share.adopted = share.adopted.saturating_sub(1);
            }
        }
    }

    /// Moves one slot to the adopting holder: one reserved for the former holder, whose lease has
    /// ended, or else a free one. Returns false if there is neither.
    fn adopt(
        &mut self,
        holder_id: u32,
        adopt: &RoomAdoption,
        limit: &impl Fn(&RoomKey) -> Option<u32>,
        now_ms: u64,
    ) -> bool {
        let row = RoomKey {
            workspace: adopt.workspace.clone(),
            kind: adopt.kind.clone(),
        };
        let Some(limit) = limit(&row) else {
            return true;
        };
        let is_done = |holder: &HolderState| holder.adopted.contains_key(&adopt.id);
        if self.holders.get(&holder_id).is_some_and(is_done) {
            return true;
        }
        let in_grace = self.in_grace(now_ms);
        let has_free = !in_grace && self.charged(&row) < limit;
        if !self.take_reserved_slot(&adopt.from, &row, now_ms) && !has_free {
            return false;
        }
        self.share(holder_id, &row).adopted += 1;
        if let Some(holder) = self.holders.get_mut(&holder_id) {
            holder.adopted.insert(adopt.id, row);
        }
        true
    }

    fn take_reserved_slot(&mut self, from: &InstanceRef, row: &RoomKey, now_ms: u64) -> bool {
        let Some(shares) = self.rows.get_mut(row) else {
            return false;
        };
        let reserved = shares.iter_mut().find(|(holder_id, share)| {
            let holder = self.holders.get(holder_id);
            holder.is_some_and(|holder| holder.instance == *from && holder.lease_end_ms <= now_ms)
                && share.charge() > 0
        });
        let Some((_, share)) = reserved else {
            return false;
        };
        share.held = share.charge() - 1;
        share.granted = 0;
        share.adopted = 0;
        true
    }

    /// Ends the grace period of a new leader once every entry has reported what it holds and no
    /// earlier incarnation of an entry can still have running generations.
    fn end_grace_early(&mut self, entries: &[EntryMember], now_ms: u64) {
        if !self.in_grace(now_ms) {
            return;
        }
        let is_settled = |entry: &EntryMember| {
            let holder = self.holder_ids.get(&entry.instance);
            let holder = holder.and_then(|holder_id| self.holders.get(holder_id));
            holder.is_some_and(|holder| {
                holder.reported && holder.started_at_ms + self.times.orphan_ms <= now_ms
            })
        };
        if entries.iter().all(|entry| !entry.gone && is_settled(entry)) {
            self.grace_end_ms = now_ms;
        }
    }

    fn grant(
        &mut self,
        holder_id: u32,
        row: &RoomKey,
        limit: u32,
        now_ms: u64,
        violations: &mut Vec<Violation>,
    ) -> u32 {
        let in_grace = self.in_grace(now_ms);
        let Some(shares) = self.rows.get_mut(row) else {
            return 0;
        };
        let charged_others = charged_to_others(shares, holder_id);
        let target = target(shares, holder_id, limit, now_ms, self.times.turn_ms);
        let Some(share) = shares.get_mut(&holder_id) else {
            return 0;
        };
        let mut slots = target.slots.min(limit.saturating_sub(charged_others));
        if in_grace {
            // Slots in use may exceed the limit of a row that was lowered, so only those that the
            // holder may reuse are granted again.
            slots = slots.min(share.reusable);
        }
        let turn_ended = share.turn_at_ms == 0 || share.turn_at_ms + self.times.turn_ms <= now_ms;
        if target.rotates && slots == target.slots && turn_ended {
            share.turn_at_ms = now_ms;
        }
        share.granted = share.granted.max(slots);
        if slots > 0 && charged_others.saturating_add(slots) > limit {
            violations.push(Violation::GrantsAboveRow {
                row: row.clone(),
                charged: charged_others + slots,
                limit,
            });
        }
        slots
    }
}

fn row_key(demand: &RoomDemand) -> RoomKey {
    RoomKey {
        workspace: demand.workspace.clone(),
        kind: demand.kind.clone(),
    }
}
