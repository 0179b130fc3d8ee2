//! Evacuated zones, as an entry applies them.

use std::collections::BTreeSet;

use super::View;
use crate::model::ZoneName;

impl View {
    /// Replaces the zones whose instances get nothing new.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// Returns true if an instance is in an evacuated zone.
    pub fn is_evacuated(&self, identity: &str) -> bool {
        let instance = self.instances.get(identity);
        instance.is_some_and(|instance| self.evacuated.contains(&instance.listed.zone))
    }

    /// Returns true if a service has instances that are not leaving, and all of them are in evacuated
    /// zones.
    pub fn all_evacuated(&self, service: &str) -> bool {
        let mut staying = self
            .listed_members(service)
            .filter(|instance| instance.leaving.is_none())
            .peekable();
        staying.peek().is_some()
            && staying.all(|instance| self.evacuated.contains(&instance.listed.zone))
    }
}
