//! Leases on slots: the broker that grants them and the holder that uses them.
