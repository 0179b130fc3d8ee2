//! The request rate that an instance names in its responses, which applies to all machines
//! together.
//!
//! Entries, sidecars and the hub tell each other what they have heard. Each statement carries the
//! time at which it was heard and the newest one counts, so that an outdated one does not restore a
//! limit that has ended.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Lower bound on a limit. Only its responses show that an instance has ended its limit, so one
/// that takes nothing is asked again every 10 s.
const MIN_LIMIT_MILLI_PER_S: u64 = 100;
/// Upper bound on a limit, far above what an instance can serve.
const MAX_LIMIT_MILLI_PER_S: u64 = 1_000_000_000;
/// Assumed limit of an instance that names one that cannot be parsed, unless it has named a valid
/// one before.
const UNPARSED_LIMIT_MILLI_PER_S: u64 = 1_000;

/// A limit as read from a response, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    MilliPerS(u64),
    /// The response names a limit whose value cannot be parsed.
    Unreadable,
}

impl NamedLimit {
    /// Returns the limit within its bounds. `previous_milli_per_s` is the limit that the instance
    /// has named before, which continues if the new one cannot be parsed.
    pub fn bounded_milli_per_s(self, previous_milli_per_s: Option<u64>) -> u64 {
        match self {
            Self::MilliPerS(rate) => rate.clamp(MIN_LIMIT_MILLI_PER_S, MAX_LIMIT_MILLI_PER_S),
            Self::Unreadable => previous_milli_per_s.unwrap_or(UNPARSED_LIMIT_MILLI_PER_S),
        }
    }
}

/// What an instance has stated about its limit, as sent between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// `None` if the instance no longer names a limit.
    pub limit_milli_per_s: Option<u64>,
    /// Time since this was heard.
    pub age_ms: u64,
}

/// The statement of one start of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    pub identity: Arc<str>,
    /// When the instance started, in Unix time; `None` if it does not report that.
    pub born_ms: Option<u64>,
    /// `None` if the sender has not heard the instance name a limit.
    pub statement: Option<LimitStatement>,
}

/// How a response or a statement has changed the known limit of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    Unchanged,
    /// The instance has named its first limit or another one.
    Named {
        limit_milli_per_s: u64,
    },
    Ended,
}

/// The newest known statement of an instance on its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownLimit {
    limit_milli_per_s: Option<u64>,
    /// When this was heard; `None` if the instance has never named a limit.
    heard_ms: Option<u64>,
}

impl KnownLimit {
    /// Returns the limit in force; `None` if there is none.
    pub fn milli_per_s(&self) -> Option<u64> {
        self.limit_milli_per_s
    }

    /// Returns the statement for other processes; `None` if the instance has never named a limit.
    pub fn statement(&self, now_ms: u64) -> Option<LimitStatement> {
        self.heard_ms.map(|heard_ms| LimitStatement {
            limit_milli_per_s: self.limit_milli_per_s,
            age_ms: now_ms.saturating_sub(heard_ms),
        })
    }

    /// Applies a response that was received at `received_ms` to a request sent at `sent_ms`. A
    /// response without a limit ends the limit only if it was requested after the limit had been
    /// heard; an earlier one may have been overtaken.
    pub fn hear_response(
        &mut self,
        named: Option<NamedLimit>,
        sent_ms: u64,
        received_ms: u64,
    ) -> LimitChange {
        match (named, self.limit_milli_per_s) {
            (Some(named), previous) => {
                let limit_milli_per_s = named.bounded_milli_per_s(previous);
                self.replace(Some(limit_milli_per_s), received_ms)
            }
            (None, Some(_)) => self.replace(None, sent_ms),
            (None, None) => LimitChange::Unchanged,
        }
    }

    /// Applies a statement that another process has heard.
    pub fn hear_statement(&mut self, statement: LimitStatement, now_ms: u64) -> LimitChange {
        let heard_ms = now_ms.saturating_sub(statement.age_ms);
        self.replace(statement.limit_milli_per_s, heard_ms)
    }

    /// Replaces the statement by one that was heard at `heard_ms`, unless it is older.
    fn replace(&mut self, limit_milli_per_s: Option<u64>, heard_ms: u64) -> LimitChange {
        if self.heard_ms.is_some_and(|known_ms| heard_ms < known_ms) {
            return LimitChange::Unchanged;
        }
        self.heard_ms = Some(heard_ms);
        let before = std::mem::replace(&mut self.limit_milli_per_s, limit_milli_per_s);
        match limit_milli_per_s {
            _ if before == limit_milli_per_s => LimitChange::Unchanged,
            Some(limit_milli_per_s) => LimitChange::Named { limit_milli_per_s },
            None => LimitChange::Ended,
        }
    }
}
