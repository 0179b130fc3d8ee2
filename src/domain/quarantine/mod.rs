//! Finds prompt parts that crash the engines which begin to answer them, and keeps requests with
//! them away from the engines.
//!
//! One crash implicates the parts of every generation that had not begun to be answered there, so
//! evidence is needed from several: a part that is sound is cleared as soon as any engine begins to
//! answer a request with it. Entries see a few of the crashes each and report them to the hub of the
//! leader, which tells all entries what it suspects and what it has quarantined.

mod evidence;
mod watch;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use evidence::{CrashEvidence, PartChange};
pub use watch::PartWatch;

/// Identifies a request by its method, host, path, workspace and body. It is the same whenever a
/// caller sends the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a part that the prompts of several requests may share.
pub type PartId = Arc<str>;

/// A generation whose engine crashed before it had begun to answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    pub instance: Arc<str>,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<PartId>,
}

/// What an entry reports to a hub.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNotices {
    pub crashes: Vec<CrashNotice>,
    /// Suspected or quarantined parts with which a generation has begun since the entry heard of
    /// the suspicion.
    pub begun: Vec<PartId>,
    /// The hub that told the entry what is quarantined; 0 for none.
    pub told_by: u64,
    /// What that hub told, so that another one learns it.
    pub quarantined: Vec<PartId>,
}

/// What a hub tells entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownParts {
    /// The hub; 0 for none.
    pub hub: u64,
    /// Parts that a crash has implicated and that no generation has cleared since.
    pub suspected: Vec<PartId>,
    pub quarantined: Vec<PartId>,
}
