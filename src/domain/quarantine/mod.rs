//! Finds requests, and parts of prompts, that crash the instances which run them, and keeps them away
//! from the instances.
//!
//! A request that comes again has the same fingerprint. A crash implicates every request that the
//! instance ran, so evidence is needed from several; a request that an instance has run to its end is
//! cleared. Requests with one prompt part have nothing else in common, so parts have evidence of
//! their own.
//!
//! One crash implicates the parts of every generation that had not begun to be answered there, so
//! evidence is needed from several: a part that is sound is cleared as soon as any engine begins to
//! answer a request with it. Entries see a few of the crashes each and report them to the hub of the
//! leader, which tells all entries what it suspects and what it has quarantined.

mod episodes;
mod evidence;
mod request_watch;
mod requests;
mod watch;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use evidence::{CrashEvidence, PartChange};
pub use request_watch::RequestWatch;
pub use requests::{RequestChange, RequestEvidence};
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
    pub request: Fingerprint,
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

/// An instance that crashed while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCrash {
    pub request: Fingerprint,
    pub instance: Arc<str>,
    /// Time since then.
    pub age_ms: u64,
}

/// A request that must not be sent to instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    pub request: Fingerprint,
    /// For how long.
    pub left_ms: u64,
}

/// What an entry reports of requests to a hub.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestNotices {
    pub crashes: Vec<RequestCrash>,
    /// Requests with crashes that an instance has run to the end since.
    pub harmless: Vec<Fingerprint>,
    /// Requests with crashes that an instance has run to the end some time before.
    pub run_before: Vec<Fingerprint>,
    /// The hub that told the entry what it knows, and the revision of that; 0 for none.
    pub told_by: u64,
    pub revision: u64,
    /// What earlier hubs told, and what the entry has found itself, if this hub may not know it.
    pub quarantined: Vec<QuarantinedRequest>,
}

impl RequestNotices {
    /// Returns true if nothing is reported.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.harmless.is_empty()
            && self.run_before.is_empty()
            && self.quarantined.is_empty()
    }
}

/// What a hub tells entries of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRequests {
    /// The hub; 0 for none.
    pub hub: u64,
    pub revision: u64,
    /// `None` if the entry has been told them.
    pub lists: Option<KnownLists>,
}

/// Suspected and quarantined requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLists {
    pub suspected: Vec<Fingerprint>,
    /// The crashes of those with several, which entries tell the next hub.
    pub crashes: Vec<RequestCrash>,
    pub quarantined: Vec<QuarantinedRequest>,
}
