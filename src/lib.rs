//! A serving system for text generations of unknown length on crowded engines.
//!
//! The library holds every part; the daemon `lilacspindled` and the operators' command line
//! `lilacspindle` are thin programs over it. `docs/design.md` describes the parts and how they
//! work together.

// The library is an application split into parts, not an API for third parties; its errors are
// described where they are defined.
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
