//! Evacuation of availability zones: while a zone is evacuated, nothing new is sent to its
//! instances. Operators order it, the replicated log decides the order of crossed orders, and
//! entries apply the set that a confirmed reply carries.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model::ZoneName;

/// What an operator orders for a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Sends nothing new to the instances of the zone.
    Start,
    /// Withdraws the evacuation.
    Finish,
}

impl Action {
    /// Returns the label for logs and responses.
    pub fn label(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Finish => "finish",
        }
    }
}

/// An operator's order for one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    pub zone: ZoneName,
    pub action: Action,
}

/// The evacuated zones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Log index of the last order that changed the set; 0 if none did.
    revision: u64,
    zones: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Returns the log index of the last order that changed the set; 0 if none did.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> &BTreeSet<ZoneName> {
        &self.zones
    }

    /// Returns true if a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Applies the order at a log index. Returns true if the set has changed.
    ///
    /// A log that is reopened applies orders again that this set contains already. Those up to its
    /// revision are skipped; later ones changed nothing then and change nothing now.
    pub fn apply(&mut self, order: &ZoneOrder, index: u64) -> bool {
        if index <= self.revision {
            return false;
        }
        let changed = match order.action {
            Action::Start => self.zones.insert(order.zone.clone()),
            Action::Finish => self.zones.remove(&order.zone),
        };
        if changed {
            self.revision = index;
        }
        changed
    }

    /// Replaces the set with a newer one. Returns false for one that is not newer, which has no
    /// effect.
    pub fn adopt(&mut self, other: Self) -> bool {
        let is_newer = other.revision > self.revision;
        if is_newer {
            *self = other;
        }
        is_newer
    }
}

/// The zone of an order does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownZone {
    pub zone: ZoneName,
    pub known: BTreeSet<ZoneName>,
}

impl fmt::Display for UnknownZone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown zone {:?}; known zones: ", &*self.zone.0)?;
        for (at, zone) in self.known.iter().enumerate() {
            let separator = if at == 0 { "" } else { ", " };
            write!(f, "{separator}{}", zone.0)?;
        }
        Ok(())
    }
}

impl std::error::Error for UnknownZone {}

/// Fails if a zone is not among the known ones.
pub fn check_zone(zone: &ZoneName, known: BTreeSet<ZoneName>) -> Result<(), UnknownZone> {
    match known.contains(zone) {
        true => Ok(()),
        false => Err(UnknownZone {
            zone: zone.clone(),
            known,
        }),
    }
}
