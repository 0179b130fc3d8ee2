//! Adapters that connect the domain logic to clocks, disks, HTTP, upstreams and telemetry.

pub mod admin;
pub mod clock;
pub mod disk;
pub mod http;
pub(crate) mod mutex;
pub(crate) mod status;
pub mod telemetry;
pub mod upstream;
pub mod web;
