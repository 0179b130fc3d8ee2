//! A serving system for text generations of unknown length on heavily loaded engines.
//!
//! The library contains the whole implementation; the daemon `lilacspindled` and the operators'
//! command-line tool `lilacspindle` are thin programs on top of it. `docs/design.md` describes the
//! modules and how they work together.

// The library is the application's own code, not an API for third parties; errors are documented at
// their types.
#![allow(
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::must_use_candidate,
    clippy::module_name_repetitions
)]

pub mod adapters;
pub mod bench;
pub mod capacity;
pub mod domain;
pub mod explain;
pub mod findings;
pub mod model;
pub mod platform;
pub mod proxy;
pub mod roles;
pub mod rpc;
pub mod settings;
pub mod soak;
