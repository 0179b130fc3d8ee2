//! To which service an engine belongs that a sidecar finds at its address, without I/O.

use std::sync::Arc;

use lilacspindle::domain::fleet::AddressOwner;

/// An address is not assigned to another service before this time has passed.
const REUSE_AFTER_MS: u64 = 2_000;

/// Guards against an engine of another service that is taken for one of the service that had the
/// address before.
#[test]
fn engine_belongs_to_the_service_until_the_address_may_be_reused() {
    let mut owner = AddressOwner::new(REUSE_AFTER_MS);
    assert!(owner.owns_any(1_999));
    assert!(!owner.owns_any(2_000));
    let (first, other): (Arc<str>, Arc<str>) = ("i-1".into(), "i-2".into());
    owner.extend(Some(&first), 5_000 + REUSE_AFTER_MS);
    owner.extend(None, 6_000 + REUSE_AFTER_MS);
    assert!(owner.owns_any(7_999));
    assert!(!owner.owns_any(8_000));
    assert!(
        owner.owns(&first),
        "engines may restart with their identity"
    );
    assert!(!owner.owns(&other));
}
