//! Engines that their sidecars have identified before the platform's list shows them.
//!
//! The list lags by most of a second, and a sidecar sees its engine start at once. Where engines are
//! replaced all the time, each one serves that much longer. After a loss of power the list names the
//! engines of before, which refuse what is meant for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Listed;

/// An engine whose sidecar is silent for this long is dropped; sidecars report every 300 ms.
const KEPT_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct Announcement {
    engine: Listed,
    /// What the list had at this address then: an earlier start.
    displaced: Option<Arc<str>>,
    /// True until a list is known: what the first one has at this address is an earlier start too.
    is_first: bool,
    /// True once the list has named this engine, or a later one at its address. From then on only
    /// the list counts.
    settled: bool,
    told_ms: u64,
}

impl Announcement {
    /// Takes what the list has at the engine's address.
    fn compare(&mut self, listed: &Listed) {
        let is_other = listed.identity != self.engine.identity;
        let started_before = listed.born_ms.is_some() && listed.born_ms < self.engine.born_ms;
        if is_other && (self.is_first || started_before) {
            self.displaced = Some(Arc::clone(&listed.identity));
        }
        self.settled |= self.displaced.as_ref() != Some(&listed.identity);
    }
}

/// The engines that sidecars have identified, by address.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    by_address: BTreeMap<SocketAddr, Announcement>,
}

impl Announcements {
    /// Takes word of an engine from its sidecar; returns true if it is news.
    pub(super) fn announce(&mut self, engine: Listed, platform: &[Listed], now_ms: u64) -> bool {
        if let Some(known) = self.by_address.get_mut(&engine.address)
            && known.engine.identity == engine.identity
        {
            known.told_ms = now_ms;
            return false;
        }
        let at_address = platform.iter().find(|l| l.address == engine.address);
        let announcement = Announcement {
            displaced: at_address.map(|listed| Arc::clone(&listed.identity)),
            is_first: platform.is_empty(),
            settled: platform.iter().any(|l| l.identity == engine.identity),
            told_ms: now_ms,
            engine,
        };
        let is_news = !announcement.settled;
        self.by_address
            .insert(announcement.engine.address, announcement);
        is_news
    }

    /// Returns the platform's list with the engines that it does not show yet, each in place of an
    /// earlier start at its address.
    pub(super) fn merge(&mut self, platform: &[Listed], now_ms: u64) -> Vec<Listed> {
        self.by_address
            .retain(|_, announcement| now_ms < announcement.told_ms + KEPT_MS);
        for listed in platform {
            if let Some(known) = self.by_address.get_mut(&listed.address) {
                known.compare(listed);
            }
        }
        if !platform.is_empty() {
            self.by_address
                .values_mut()
                .for_each(|known| known.is_first = false);
        }
        let open = |address: &SocketAddr| {
            let announcement = self.by_address.get(address);
            announcement.filter(|announcement| !announcement.settled)
        };
        let mut merged: Vec<Listed> = platform
            .iter()
            .filter(|listed| open(&listed.address).is_none())
            .cloned()
            .collect();
        let announced = self.by_address.keys().filter_map(open);
        merged.extend(announced.map(|announcement| announcement.engine.clone()));
        merged
    }
}
