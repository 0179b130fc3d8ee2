//! Connections of the domain to clocks, disks, upstreams, the platform and telemetry.

pub mod admin;
pub mod clock;
pub mod disk;
pub mod http;
pub mod platform;
pub mod telemetry;
pub mod upstream;
