//! Connections of the domain to clocks, disks, upstreams, the platform and telemetry.

pub mod admin;
pub mod clock;
pub mod disk;
pub mod http;
pub mod telemetry;
pub mod upstream;
pub mod web;
