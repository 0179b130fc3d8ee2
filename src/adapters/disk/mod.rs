//! Log segments, snapshots and the identity file.
