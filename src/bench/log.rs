//! Measures the replicated log: replicas in one process, on real disks and loopback connections.

mod cluster;

pub use cluster::{Cluster, ClusterOptions, Register};
