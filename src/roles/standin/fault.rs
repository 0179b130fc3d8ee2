//! Faults that tests inject into an engine stand-in.

use serde::{Deserialize, Serialize};

/// Body of `POST /standin/fault`. Absent fields leave the current faults unchanged.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Multiplies the duration of each step; 1 is normal speed.
    pub slow_factor: Option<f64>,
    /// Accepts requests, but neither processes nor answers them.
    pub hang: Option<bool>,
    /// Drops one generation after a number of tokens.
    pub crash: Option<CrashFault>,
    /// Refuses new generations with status 503.
    pub refuse: Option<bool>,
}

/// Drops a generation and closes its streams without `[DONE]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFault {
    /// Stream to drop; `None` for the next one that reaches `after_tokens`.
    pub stream_id: Option<String>,
    pub after_tokens: u32,
}

/// Faults currently in effect.
#[derive(Debug, Clone, Default)]
pub(super) struct Faults {
    pub(super) hang: bool,
    pub(super) refuse: bool,
    pub(super) crash: Option<CrashFault>,
}

impl Faults {
    /// Returns whether the stream is to be dropped after `produced` tokens. A crash fault takes
    /// effect once.
    pub(super) fn take_crash(&mut self, stream: &str, produced: u32) -> bool {
        let matches = self.crash.as_ref().is_some_and(|crash| {
            let named = crash.stream_id.as_ref().is_none_or(|name| name == stream);
            named && produced >= crash.after_tokens
        });
        if matches {
            self.crash = None;
        }
        matches
    }
}
