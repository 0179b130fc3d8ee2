//! The broker: divides the room of each row among the entries, at the control leader.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::division::{Share, Shares, charged_to_others, target};
use super::{RoomKey, RoomTimes};
use crate::model::InstanceRef;
use crate::rpc::control::{RoomAdopt, RoomGrant, RoomRequest, RoomWant};

/// An entry of the member list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryMember {
    pub instance: InstanceRef,
    /// True if the member is known to have ended; its generations may run on for `orphan_ms`.
    pub gone: bool,
}

/// Why a request got no grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoomRefusal {
    /// The member list does not name this incarnation.
    NotRegistered,
    /// A newer request of the holder was answered before.
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

/// A rule that was broken; a defect here or in a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A grant was made although the row had no room for it.
    GrantsAboveRow {
        row: RoomKey,
        charged: u32,
        limit: u32,
    },
    /// A holder uses more than it was ever granted.
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
    /// The adoptions of the request that were carried out, by their ids.
    pub adopted: Vec<u64>,
    pub violations: Vec<Violation>,
}

#[derive(Debug)]
struct Known {
    instance: InstanceRef,
    sequence: u64,
    lease_end_ms: u64,
    /// The start of the incarnation on the broker's clock.
    started_at_ms: u64,
    /// True once the holder has reported all of its rows to this broker.
    reported: bool,
    rows: BTreeSet<RoomKey>,
    /// Adoptions that were carried out and that the holder still lists.
    adopted: BTreeMap<u64, RoomKey>,
}

/// The state of the broker. A new leader starts with an empty one.
#[derive(Debug)]
pub struct Broker {
    times: RoomTimes,
    grace_end_ms: u64,
    next_number: u32,
    numbers: BTreeMap<InstanceRef, u32>,
    holders: BTreeMap<u32, Known>,
    rows: BTreeMap<RoomKey, Shares>,
}

impl Broker {
    /// Returns the broker of a leader whose term began at `now_ms`.
    pub fn new(times: RoomTimes, now_ms: u64) -> Self {
        Self {
            times,
            grace_end_ms: now_ms + times.grace_ms,
            next_number: 0,
            numbers: BTreeMap::new(),
            holders: BTreeMap::new(),
            rows: BTreeMap::new(),
        }
    }

    /// Returns the number of slots charged to holders in a row.
    pub fn charged(&self, row: &RoomKey) -> u32 {
        let shares = self.rows.get(row).into_iter().flat_map(BTreeMap::values);
        shares.fold(0, |sum, share| sum.saturating_add(share.charge()))
    }

    /// Returns the number of rows in which a holder has or wants slots.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns true while a new leader grants nothing new.
    pub fn in_grace(&self, now_ms: u64) -> bool {
        now_ms < self.grace_end_ms
    }

    /// Answers a holder's request. `entries` is the current member list; `limit` returns the
    /// room of a row, or none if it has no limit.
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
        let (number, repeated) = self.note_request(request, now_ms)?;
        let rows: Vec<RoomKey> = request.wants.iter().map(key_of).collect();
        if !request.partial {
            self.drop_unlisted(number, &rows);
        }
        let mut answer = Answer::default();
        let limits: Vec<Option<u32>> = rows.iter().map(&limit).collect();
        for ((want, row), limit) in request.wants.iter().zip(&rows).zip(&limits) {
            let violation = match limit {
                Some(_) => self.note_want(number, row, want, repeated, now_ms),
                None => {
                    self.drop_share(number, row);
                    None
                }
            };
            answer.violations.extend(violation);
        }
        self.forget_adoptions(number, &request.adopts);
        self.end_grace_early(entries, now_ms);
        for adopt in &request.adopts {
            if self.adopt(number, adopt, &limit, now_ms) {
                answer.adopted.push(adopt.id);
            }
        }
        for ((want, row), limit) in request.wants.iter().zip(rows).zip(limits) {
            let granted_slots = match limit {
                Some(limit) => self.grant(number, &row, limit, now_ms, &mut answer.violations),
                None => want.wanted_slots,
            };
            answer.grants.push(RoomGrant {
                workspace: row.workspace,
                kind: row.kind,
                granted_slots,
            });
        }
        Ok(answer)
    }

    /// Frees the slots of holders that were silent until their generations must have ended.
    pub fn expire(&mut self, now_ms: u64) {
        let orphan_ms = self.times.orphan_ms;
        let ended: Vec<u32> = self
            .holders
            .iter()
            .filter(|(_, known)| known.lease_end_ms + orphan_ms <= now_ms)
            .map(|(number, _)| *number)
            .collect();
        for number in ended {
            let Some(known) = self.holders.remove(&number) else {
                continue;
            };
            self.numbers.remove(&known.instance);
            for row in &known.rows {
                self.drop_share(number, row);
            }
        }
    }

    fn note_request(
        &mut self,
        request: &RoomRequest,
        now_ms: u64,
    ) -> Result<(u32, bool), RoomRefusal> {
        let instance = &request.stamp.sender;
        let number = match self.numbers.get(instance) {
            Some(number) => *number,
            None => {
                self.next_number += 1;
                self.numbers.insert(instance.clone(), self.next_number);
                self.next_number
            }
        };
        let known = self.holders.entry(number).or_insert_with(|| Known {
            instance: instance.clone(),
            sequence: 0,
            lease_end_ms: 0,
            started_at_ms: now_ms.saturating_sub(request.running_ms),
            reported: false,
            rows: BTreeSet::new(),
            adopted: BTreeMap::new(),
        });
        if request.sequence < known.sequence {
            return Err(RoomRefusal::OldSequence {
                newest: known.sequence,
            });
        }
        let repeated = request.sequence == known.sequence;
        known.sequence = request.sequence;
        known.reported |= !request.partial;
        known.lease_end_ms = now_ms + self.times.lease_ms;
        Ok((number, repeated))
    }

    fn drop_unlisted(&mut self, number: u32, rows: &[RoomKey]) {
        let listed: BTreeSet<RoomKey> = rows.iter().cloned().collect();
        let Some(known) = self.holders.get_mut(&number) else {
            return;
        };
        // Slots of an adoption that the holder has not heard of are not in its report.
        let adopted: BTreeSet<&RoomKey> = known.adopted.values().collect();
        let unlisted: Vec<RoomKey> = known
            .rows
            .difference(&listed)
            .filter(|row| !adopted.contains(row))
            .cloned()
            .collect();
        for row in &unlisted {
            known.rows.remove(row);
        }
        for row in &unlisted {
            self.drop_share(number, row);
        }
    }

    fn drop_share(&mut self, number: u32, row: &RoomKey) {
        if let Some(shares) = self.rows.get_mut(row) {
            shares.remove(&number);
            if shares.is_empty() {
                self.rows.remove(row);
            }
        }
    }

    fn note_want(
        &mut self,
        number: u32,
        row: &RoomKey,
        want: &RoomWant,
        repeated: bool,
        now_ms: u64,
    ) -> Option<Violation> {
        let lease_end_ms = now_ms + self.times.lease_ms;
        let share = self.share(number, row);
        let charged = share.charge();
        // A silent holder may have lost slots to an adoption that it has not heard of.
        let was_current = !share.is_silent(now_ms);
        share.held = want.held_slots.max(want.used_slots);
        share.regranted = want.held_slots;
        share.wanted = want.wanted_slots;
        share.lease_end_ms = lease_end_ms;
        // A repeated request may be a late copy of one whose reply the holder has applied.
        if !repeated {
            share.granted = 0;
        }
        (was_current && want.used_slots > charged).then(|| Violation::UsedAboveGranted {
            row: row.clone(),
            used: want.used_slots,
            charged,
        })
    }

    fn share(&mut self, number: u32, row: &RoomKey) -> &mut Share {
        let holders = &mut self.holders;
        let note_row = || {
            if let Some(known) = holders.get_mut(&number) {
                known.rows.insert(row.clone());
            }
            Share::default()
        };
        let shares = self.rows.entry(row.clone()).or_default();
        shares.entry(number).or_insert_with(note_row)
    }

    /// Forgets adoptions that the holder no longer lists: it has counted them as its own, or has
    /// given them up.
    fn forget_adoptions(&mut self, number: u32, listed: &[RoomAdopt]) {
        let Some(known) = self.holders.get_mut(&number) else {
            return;
        };
        let done: Vec<u64> = known
            .adopted
            .keys()
            .filter(|id| listed.iter().all(|adopt| adopt.id != **id))
            .copied()
            .collect();
        for id in done {
            let row = known.adopted.remove(&id);
            let shares = row.and_then(|row| self.rows.get_mut(&row));
            if let Some(share) = shares.and_then(|shares| shares.get_mut(&number)) {
                share.adopted = share.adopted.saturating_sub(1);
            }
        }
    }

    /// Moves one reserved slot of a silent holder, or a free one, to the adopting holder.
    fn adopt(
        &mut self,
        number: u32,
        adopt: &RoomAdopt,
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
        let done = |known: &Known| known.adopted.contains_key(&adopt.id);
        if self.holders.get(&number).is_some_and(done) {
            return true;
        }
        let in_grace = self.in_grace(now_ms);
        let has_free = !in_grace && self.charged(&row) < limit;
        if !self.take_reserved(&adopt.from, &row, now_ms) && !has_free {
            return false;
        }
        self.share(number, &row).adopted += 1;
        if let Some(known) = self.holders.get_mut(&number) {
            known.adopted.insert(adopt.id, row);
        }
        true
    }

    fn take_reserved(&mut self, from: &InstanceRef, row: &RoomKey, now_ms: u64) -> bool {
        let Some(shares) = self.rows.get_mut(row) else {
            return false;
        };
        let silent = shares.iter_mut().find(|(number, share)| {
            let known = self.holders.get(number);
            known.is_some_and(|known| known.instance == *from && known.lease_end_ms <= now_ms)
                && share.charge() > 0
        });
        let Some((_, share)) = silent else {
            return false;
        };
        share.held = share.charge() - 1;
        share.granted = 0;
        share.adopted = 0;
        true
    }

    /// Ends the grace of a new leader once every entry has reported what it holds and no earlier
    /// run of an entry can still have generations.
    fn end_grace_early(&mut self, entries: &[EntryMember], now_ms: u64) {
        if !self.in_grace(now_ms) {
            return;
        }
        let settled = |entry: &EntryMember| {
            let known = self.numbers.get(&entry.instance);
            let known = known.and_then(|number| self.holders.get(number));
            known.is_some_and(|known| {
                known.reported && known.started_at_ms + self.times.orphan_ms <= now_ms
            })
        };
        if entries.iter().all(|entry| !entry.gone && settled(entry)) {
            self.grace_end_ms = now_ms;
        }
    }

    fn grant(
        &mut self,
        number: u32,
        row: &RoomKey,
        limit: u32,
        now_ms: u64,
        violations: &mut Vec<Violation>,
    ) -> u32 {
        let in_grace = self.in_grace(now_ms);
        let Some(shares) = self.rows.get_mut(row) else {
            return 0;
        };
        let others = charged_to_others(shares, number);
        let target = target(shares, number, limit, now_ms, self.times.turn_ms);
        let Some(share) = shares.get_mut(&number) else {
            return 0;
        };
        let mut slots = target.slots.min(limit.saturating_sub(others));
        if in_grace {
            // Slots that are only in use may be above a lowered row, so they are not granted again.
            slots = slots.min(share.regranted);
        }
        let turn_over = share.turn_at_ms == 0 || share.turn_at_ms + self.times.turn_ms <= now_ms;
        if target.by_turn && slots == target.slots && turn_over {
            share.turn_at_ms = now_ms;
        }
        share.granted = share.granted.max(slots);
        if slots > 0 && others.saturating_add(slots) > limit {
            violations.push(Violation::GrantsAboveRow {
                row: row.clone(),
                charged: others + slots,
                limit,
            });
        }
        slots
    }
}

fn key_of(want: &RoomWant) -> RoomKey {
    RoomKey {
        workspace: want.workspace.clone(),
        kind: want.kind.clone(),
    }
}
