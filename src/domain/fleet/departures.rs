//! Instances that have said of themselves that they leave.
//!
//! Answers a planned replacement under load. An instance says so in its answers before the platform's
//! list shows it, and lists and reports from before go on arriving for seconds; none of them takes the
//! word of the instance back. Only a later start does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Listed;

/// A departure is forgotten after this long. Instances that drain are gone within a minute.
const KEPT_MS: u64 = 600_000;

/// One start of an instance that has said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    pub identity: Arc<str>,
    pub address: SocketAddr,
    /// When it started, in Unix time, if it says so.
    pub born_ms: Option<u64>,
}

impl From<&Listed> for Departure {
    fn from(listed: &Listed) -> Self {
        Self {
            identity: Arc::clone(&listed.identity),
            address: listed.address,
            born_ms: listed.born_ms,
        }
    }
}

impl Departure {
    /// Returns true if the listed instance is the one that leaves, or an earlier start of it.
    fn covers(&self, listed: &Listed) -> bool {
        match (self.born_ms, listed.born_ms) {
            (Some(left_ms), Some(born_ms)) => born_ms <= left_ms,
            _ => self.address == listed.address,
        }
    }
}

/// The departures of some minutes, by identity.
#[derive(Debug, Default)]
pub(super) struct Departures {
    by_identity: BTreeMap<Arc<str>, (Departure, u64)>,
}

impl Departures {
    /// Takes note of a departure; returns true if it is news.
    pub(super) fn add(&mut self, departure: Departure, now_ms: u64) -> bool {
        self.by_identity
            .retain(|_, (_, expires_ms)| now_ms < *expires_ms);
        let known = self.by_identity.get(&departure.identity);
        let is_news = known.is_none_or(|(known, _)| known.born_ms < departure.born_ms);
        if is_news {
            let identity = Arc::clone(&departure.identity);
            let kept = (departure, now_ms + KEPT_MS);
            self.by_identity.insert(identity, kept);
        }
        is_news
    }

    /// Returns true if this start of an instance has said that it leaves.
    pub(super) fn has(&self, listed: &Listed) -> bool {
        let known = self.by_identity.get(&listed.identity);
        known.is_some_and(|(departure, _)| departure.covers(listed))
    }
}
