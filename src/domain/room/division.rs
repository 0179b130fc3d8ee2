//! How the slots of one row are divided among its holders.

use std::collections::BTreeMap;

/// What the broker knows of one holder's slots in one row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// Slots that the holder used or was granted, by its last report.
    pub held: u32,
    /// The part of `held` that it may use for new generations.
    pub regranted: u32,
    /// The largest grant sent since that report; the holder may or may not have received it.
    pub granted: u32,
    pub wanted: u32,
    /// Slots moved here by adoption that the holder has not reported yet.
    pub adopted: u32,
    pub lease_end_ms: u64,
    /// When the holder last received one of the slots that do not divide evenly.
    pub turn_at_ms: u64,
}

impl Share {
    /// Returns the slots that the holder may be using, whichever replies reached it.
    pub fn charge(&self) -> u32 {
        self.held.saturating_add(self.adopted).max(self.granted)
    }

    /// Returns true once the lease has ended without a renewal.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.lease_end_ms <= now_ms
    }
}

/// The slots of a row by the broker's number for each holder.
pub(super) type Shares = BTreeMap<u32, Share>;

/// Returns the slots charged to all holders but one.
pub(super) fn charged_to_others(shares: &Shares, holder: u32) -> u32 {
    shares
        .iter()
        .filter(|(other, _)| **other != holder)
        .fold(0, |sum, (_, share)| sum.saturating_add(share.charge()))
}

/// What a holder should have of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Target {
    pub slots: u32,
    /// True if one of the slots is held by turns.
    pub by_turn: bool,
}

/// Returns what a holder should have of `limit` slots.
///
/// Wants are met in full if they fit. Otherwise every holder gets an equal part, what one does not
/// want goes to the others, and the slots that are left when the rest does not divide evenly go
/// round by turns: a slot stays with a holder for `turn_ms`, then passes to the holder whose last
/// turn is longest ago. A row with less room than holders thus starves none of them.
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
        match share.is_silent(now_ms) {
            true => reserved = reserved.saturating_add(share.charge()),
            false => wanted += u64::from(share.wanted),
        }
    }
    let mut left = limit.saturating_sub(reserved);
    let own = shares.get(&holder).copied().unwrap_or_default();
    if wanted <= u64::from(left) {
        return Target {
            slots: own.wanted,
            by_turn: false,
        };
    }
    let mut open: Vec<(u32, &Share)> = shares
        .iter()
        .filter(|(_, share)| !share.is_silent(now_ms) && share.wanted > 0)
        .map(|(number, share)| (*number, share))
        .collect();
    // The smallest wants first: each takes at most an equal part of what is left.
    open.sort_by_key(|(number, share)| (share.wanted, *number));
    for position in 0..open.len() {
        let (number, share) = open[position];
        let part = left / u32::try_from(open.len() - position).unwrap_or(u32::MAX);
        if share.wanted > part {
            return divide_rest(&open[position..], holder, left, now_ms, turn_ms);
        }
        if number == holder {
            return Target {
                slots: share.wanted,
                by_turn: false,
            };
        }
        left -= share.wanted;
    }
    Target {
        slots: 0,
        by_turn: false,
    }
}

/// Divides what is left among holders that all want more than an equal part.
fn divide_rest(
    open: &[(u32, &Share)],
    holder: u32,
    left: u32,
    now_ms: u64,
    turn_ms: u64,
) -> Target {
    let count = u32::try_from(open.len()).unwrap_or(u32::MAX);
    let (part, rest) = (left / count, left % count);
    let mut order: Vec<_> = open
        .iter()
        .map(|(number, share)| {
            let in_turn = share.turn_at_ms > 0 && now_ms < share.turn_at_ms + turn_ms;
            (!in_turn, share.turn_at_ms, *number)
        })
        .collect();
    order.sort_unstable();
    let rank = order.iter().position(|(_, _, number)| *number == holder);
    let by_turn = rank.is_some_and(|rank| u32::try_from(rank).is_ok_and(|rank| rank < rest));
    let slots = match rank {
        Some(_) => part + u32::from(by_turn),
        None => 0,
    };
    Target { slots, by_turn }
}
