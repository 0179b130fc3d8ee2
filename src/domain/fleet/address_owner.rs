//! Whether an engine that a sidecar finds at its address belongs to the service of its settings.
//!
//! An engine tells its identity, but not its service. The address of an engine that has ended is
//! assigned again, also to another service, and settings and the platform's list show that only
//! later. It is not assigned again before some time has passed, so an engine that appears sooner
//! belongs to the same service, and so does one with the same identity. For any other one, only the
//! platform's list tells.

use std::sync::Arc;

/// What a sidecar knows of the service to which the address of its engine is assigned.
#[derive(Debug)]
pub struct AddressOwner {
    /// The address is not assigned to another service before this time.
    assigned_until_ms: u64,
    /// The last engine there that belonged to the service.
    identity: Option<Arc<str>>,
}

impl AddressOwner {
    /// Returns the owner of an address that is known to be assigned to the service at present.
    pub fn new(assigned_until_ms: u64) -> Self {
        Self {
            assigned_until_ms,
            identity: None,
        }
    }

    /// Records that an engine of the service runs there, whose identity may not be known yet.
    pub fn extend(&mut self, identity: Option<&Arc<str>>, assigned_until_ms: u64) {
        self.assigned_until_ms = assigned_until_ms;
        if identity.is_some() {
            self.identity = identity.cloned();
        }
    }

    /// Returns true if an engine that is first seen now belongs to the service, whatever its
    /// identity.
    pub fn owns_any(&self, now_ms: u64) -> bool {
        now_ms < self.assigned_until_ms
    }

    /// Returns true if an engine with this identity belongs to the service.
    pub fn owns(&self, identity: &Arc<str>) -> bool {
        self.identity.as_ref() == Some(identity)
    }

    /// Returns true if an identity may show that an engine belongs to the service.
    pub fn knows_identity(&self) -> bool {
        self.identity.is_some()
    }
}
