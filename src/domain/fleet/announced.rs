//! Engines that sidecars have identified but that the platform's list does not show yet.
//!
//! The list lags by most of a second, while a sidecar sees its engine start at once. On a fleet
//! whose engines are replaced frequently, using each engine from its start lets it serve that much
//! longer. After a power loss the list still names the previous engines, and the engines now at
//! their addresses refuse requests meant for those.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Listed;

/// An announced engine is dropped when its sidecar has not reported for this long. Sidecars report
/// every 300 ms.
const ANNOUNCEMENT_TTL_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct Announcement {
    engine: Listed,
    /// The instance that the list showed at this address when the engine was announced: an earlier
    /// start.
    previous_identity: Option<Arc<str>>,
    /// True until a list has been read. An instance that the first list shows at this address
    /// counts as an earlier start.
    awaits_first_list: bool,
    /// True once the list has shown this engine, or a later one at its address. From then on only
    /// the list counts.
    list_caught_up: bool,
    last_report_ms: u64,
}

impl Announcement {
    /// Updates the announcement from the instance that the list shows at the engine's address.
    fn update_from_list(&mut self, listed: &Listed) {
        // The address is being assigned to another service, or is shown as it was before.
        self.list_caught_up |= listed.service != self.engine.service;
        let is_other = listed.identity != self.engine.identity;
        let started_before = listed.born_ms.is_some() && listed.born_ms < self.engine.born_ms;
        if is_other && (self.awaits_first_list || started_before) {
            self.previous_identity = Some(Arc::clone(&listed.identity));
        }
        self.list_caught_up |= self.previous_identity.as_ref() != Some(&listed.identity);
    }
}

/// The engines that sidecars have identified, by address.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    by_address: BTreeMap<SocketAddr, Announcement>,
}

impl Announcements {
    /// Records an engine that its sidecar has identified. Returns true if that changes the merged
    /// list.
    pub(super) fn announce(&mut self, engine: Listed, platform: &[Listed], now_ms: u64) -> bool {
        if let Some(known) = self.by_address.get_mut(&engine.address)
            && (&known.engine.identity, &known.engine.service)
                == (&engine.identity, &engine.service)
        {
            known.last_report_ms = now_ms;
            return false;
        }
        let at_address = platform.iter().find(|l| l.address == engine.address);
        let announcement = Announcement {
            previous_identity: at_address.map(|listed| Arc::clone(&listed.identity)),
            awaits_first_list: platform.is_empty(),
            list_caught_up: platform.iter().any(|l| l.identity == engine.identity)
                || at_address.is_some_and(|listed| listed.service != engine.service),
            last_report_ms: now_ms,
            engine,
        };
        let changes_list = !announcement.list_caught_up;
        self.by_address
            .insert(announcement.engine.address, announcement);
        changes_list
    }

    /// Drops the engine at an address, unless its sidecar still counts it to the same service.
    /// Returns true if that changes the merged list.
    pub(super) fn retract(&mut self, address: SocketAddr, service: Option<&Arc<str>>) -> bool {
        let is_other = |known: &mut Announcement| Some(&known.engine.service) != service;
        let retracted = self
            .by_address
            .extract_if(address..=address, |_, known| is_other(known))
            .next();
        retracted.is_some_and(|(_, known)| !known.list_caught_up)
    }

    /// Returns the platform's list plus the engines that it does not show yet. Each of those
    /// replaces an earlier start at its address.
    pub(super) fn merge(&mut self, platform: &[Listed], now_ms: u64) -> Vec<Listed> {
        self.by_address
            .retain(|_, announcement| now_ms < announcement.last_report_ms + ANNOUNCEMENT_TTL_MS);
        for listed in platform {
            if let Some(known) = self.by_address.get_mut(&listed.address) {
                known.update_from_list(listed);
            }
        }
        if !platform.is_empty() {
            self.by_address
                .values_mut()
                .for_each(|known| known.awaits_first_list = false);
        }
        let pending = |address: &SocketAddr| {
            let announcement = self.by_address.get(address);
            announcement.filter(|announcement| !announcement.list_caught_up)
        };
        let mut merged: Vec<Listed> = platform
            .iter()
            .filter(|listed| pending(&listed.address).is_none())
            .cloned()
            .collect();
        let announced = self.by_address.keys().filter_map(pending);
        merged.extend(announced.map(|announcement| announcement.engine.clone()));
        merged
    }
}
