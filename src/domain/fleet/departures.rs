//! Instances that have announced their own shutdown.
//!
//! During a planned replacement an instance announces its shutdown in its responses before the
//! platform's list shows it, and outdated lists and reports keep arriving for seconds. None of them
//! revokes the announcement; only a later start of the instance does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Listed;

/// Departures are kept for this long. Draining instances are gone within a minute.
const DEPARTURE_TTL_MS: u64 = 600_000;

/// One start of an instance, which has announced its shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    pub identity: Arc<str>,
    pub address: SocketAddr,
    /// When it started, in Unix time; `None` if it does not report that.
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
    /// Returns true if the listed instance is the departing one or an earlier start of it.
    fn covers(&self, listed: &Listed) -> bool {
        match (self.born_ms, listed.born_ms) {
            (Some(departed_born_ms), Some(born_ms)) => born_ms <= departed_born_ms,
            _ => self.address == listed.address,
        }
    }
}

/// The recent departures, by identity, with the time at which each expires.
#[derive(Debug, Default)]
pub(super) struct Departures {
    by_identity: BTreeMap<Arc<str>, (Departure, u64)>,
}

impl Departures {
    /// Records a departure. Returns true if it was not known before.
    pub(super) fn add(&mut self, departure: Departure, now_ms: u64) -> bool {
        self.by_identity
            .retain(|_, (_, expires_ms)| now_ms < *expires_ms);
        let known = self.by_identity.get(&departure.identity);
        let is_new = known.is_none_or(|(known, _)| known.born_ms < departure.born_ms);
        if is_new {
            let identity = Arc::clone(&departure.identity);
            let kept = (departure, now_ms + DEPARTURE_TTL_MS);
            self.by_identity.insert(identity, kept);
        }
        is_new
    }

    /// Returns true if this start of an instance has announced its shutdown.
    pub(super) fn has(&self, listed: &Listed) -> bool {
        let known = self.by_identity.get(&listed.identity);
        known.is_some_and(|(departure, _)| departure.covers(listed))
    }
}
