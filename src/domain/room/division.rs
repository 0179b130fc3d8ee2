//! Divides the slots of one row among its holders.

use std::collections::BTreeMap;

/// The broker's record of one holder's slots in one row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// Slots that the holder used or was granted, whichever is more, by its last report.
    pub held: u32,
    /// Slots that the holder may use for new generations, by its last report; a part of `held`.
    pub reusable: u32,
    /// The largest grant sent since that report; the holder may or may not have received it.
    pub granted: u32,
    pub wanted: u32,
    /// Slots that were moved to this holder by adoption and that it does not count as its own yet.
    pub adopted: u32,
    pub lease_end_ms: u64,
    /// When the holder last received a slot that rotates between holders because the slots do not
    /// divide evenly. 0 if never.
    pub turn_at_ms: u64,
}

impl Share {
    /// Returns the most slots that the holder may be using, whichever replies have reached it.
    pub fn charge(&self) -> u32 {
        self.held.saturating_add(self.adopted).max(self.granted)
    }

    /// Returns true if the holder's lease has ended without a renewal.
    pub fn lease_expired(&self, now_ms: u64) -> bool {
        self.lease_end_ms <= now_ms
    }
}

/// The slots of a row, by the id that the broker gives each holder.
pub(super) type Shares = BTreeMap<u32, Share>;

/// Returns the slots charged to all holders except `holder`.
pub(super) fn charged_to_others(shares: &Shares, holder: u32) -> u32 {
    shares
        .iter()
        .filter(|(other, _)| **other != holder)
        .fold(0, |sum, (_, share)| sum.saturating_add(share.charge()))
}

/// The slots of a row that a holder should have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Target {
    pub slots: u32,
    /// True if one of the slots rotates between holders.
    pub rotates: bool,
}

/// Returns how many of `limit` slots a holder should have, by max-min fairness.
///
/// All requests are met in full if they fit. Otherwise every holder gets an equal part, and slots
/// that one does not want go to the others. Slots that remain because the rest does not divide
/// evenly rotate: each stays with a holder for `turn_ms`, then passes to the holder whose last turn
/// is longest ago, so that no holder starves in a row with fewer slots than holders. Slots of
/// holders whose lease has ended stay reserved.
pub(super) fn target(
    shares: &Shares,
    holder: u32,
    limit: u32,
    now_ms: u64,
    turn_ms: u64,
) -> Target {
    let mut reserved: u32 = 0;
    let mut wanted: u64 = 0;
    for share in shares.values() {
        match share.lease_expired(now_ms) {
            true => reserved = reserved.saturating_add(share.charge()),
            false => wanted += u64::from(share.wanted),
        }
    }
    let mut remaining = limit.saturating_sub(reserved);
    let own = shares.get(&holder).copied().unwrap_or_default();
    if wanted <= u64::from(remaining) {
        return Target {
            slots: own.wanted,
            rotates: false,
        };
    }
    let mut active: Vec<(u32, &Share)> = shares
        .iter()
        .filter(|(_, share)| !share.lease_expired(now_ms) && share.wanted > 0)
        .map(|(id, share)| (*id, share))
        .collect();
    // In ascending order of wanted slots: each holder takes at most an equal part of the rest.
    active.sort_by_key(|(id, share)| (share.wanted, *id));
    for position in 0..active.len() {
        let (id, share) = active[position];
        let equal_part = remaining / u32::try_from(active.len() - position).unwrap_or(u32::MAX);
        if share.wanted > equal_part {
            return divide_equally(&active[position..], holder, remaining, now_ms, turn_ms);
        }
        if id == holder {
            return Target {
                slots: share.wanted,
                rotates: false,
            };
        }
        remaining -= share.wanted;
    }
    Target {
        slots: 0,
        rotates: false,
    }
}

/// Divides the remaining slots equally among holders that all want more than an equal part.
fn divide_equally(
    active: &[(u32, &Share)],
    holder: u32,
    remaining: u32,
    now_ms: u64,
    turn_ms: u64,
) -> Target {
    let count = u32::try_from(active.len()).unwrap_or(u32::MAX);
    let (equal_part, extra) = (remaining / count, remaining % count);
    let mut order: Vec<_> = active
        .iter()
        .map(|(id, share)| {
            let has_turn = share.turn_at_ms > 0 && now_ms < share.turn_at_ms + turn_ms;
            (!has_turn, share.turn_at_ms, *id)
        })
        .collect();
    order.sort_unstable();
    let rank = order.iter().position(|(_, _, id)| *id == holder);
    let rotates = rank.is_some_and(|rank| u32::try_from(rank).is_ok_and(|rank| rank < extra));
    let slots = match rank {
        Some(_) => equal_part + u32::from(rotates),
        None => 0,
    };
    Target { slots, rotates }
}
