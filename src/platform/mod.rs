//! The platform's protocol: names, formats and calls, decoded into the project's types and encoded
//! from them. Nothing here decides.

mod calls;
mod configuration;
pub mod headers;
mod instances;
mod reports;

pub use calls::{CallFailure, ReportReader, move_generation, read_identity, read_list};
pub use configuration::decode_document;
pub use instances::decode_instances;
pub use reports::decode_report;

/// Upper bound on the head of an answer, and on what is read of its body at once. Heads of the users'
/// replicas have less than 1 KB.
pub const HEAD_LIMIT_BYTES: usize = 32 * 1024;

/// Paths of the operators' calls.
pub mod paths {
    /// Publishes a document.
    pub const PUBLISH: &str = "/Configuration.Replace";
    /// Returns the newest document.
    pub const READ: &str = "/Configuration.Read";
    /// Asks whether an entry takes new connections.
    pub const READINESS: &str = "/readiness";
}
