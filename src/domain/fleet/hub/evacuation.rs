//! Evacuated zones, as the hub applies them.

use std::collections::BTreeSet;

use super::Hub;
use crate::model::ZoneName;

impl Hub {
    /// Replaces the zones whose instances get nothing new.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneName>) {
        self.evacuated = zones;
    }
}
