//! The platform's protocol: header names, message formats and calls, converted to and from the
//! types of this crate. It contains no decisions of its own.

mod calls;
mod configuration;
pub mod headers;
mod instances;
mod reports;
pub(crate) mod standin;

pub use calls::{
    CallFailure, Liveness, MoveFailure, ReportReader, check_liveness, move_generation,
    read_identity, read_list,
};
pub use configuration::decode_document;
pub use instances::decode_instances;
pub use reports::{RunningGenerations, decode_report};

/// Upper bound on the head of a response, and on the part of its body that is read at once. The
/// heads that the users' replicas send have less than 1 KB.
pub const HEAD_LIMIT_BYTES: usize = 32 * 1024;

/// URL paths that operators and the platform call.
pub mod paths {
    /// Publishes a document.
    pub const PUBLISH: &str = "/Configuration.Replace";
    /// Returns the newest document.
    pub const READ: &str = "/Configuration.Read";
    /// Orders that nothing more is sent to the zone whose name follows.
    pub const EVACUATION_START: &str = "/Evacuation.Start/";
    /// Withdraws that order.
    pub const EVACUATION_FINISH: &str = "/Evacuation.Finish/";
    /// Readiness check: returns whether an entry accepts new connections.
    pub const READINESS: &str = "/readiness";
    /// List of instances, of the platform.
    pub(crate) const INSTANCES: &str = "/instances";
    /// Status report of a replica.
    pub(crate) const REPORT: &str = "/report";
    /// Copies the memory of a generation to another replica.
    pub(crate) const MOVE: &str = "/kv-move";
    /// Common prefix of the calls to a replica that concern its memory.
    pub(crate) const MEMORY_PREFIX: &str = "/kv-";
}
