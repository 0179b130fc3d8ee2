//! Faults that tests switch on in a stand-in engine.

use serde::{Deserialize, Serialize};

/// The body of `POST /standin/fault`; absent fields change nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Multiplies the time of each step; 1 is normal.
    pub slow_factor: Option<f64>,
    /// Accepts requests but neither works nor answers.
    pub hang: Option<bool>,
    /// Loses the named generation once it has produced this many tokens.
    pub crash: Option<CrashFault>,
    /// Refuses new generations with 503.
    pub refuse: Option<bool>,
}

/// Loses a generation and closes its connections without an end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFault {
    /// The stream's name; none for the next stream that reaches the offset.
    pub stream_id: Option<String>,
    pub after_tokens: u32,
}

/// The faults in force.
#[derive(Debug, Clone, Default)]
pub(super) struct Faults {
    pub(super) hang: bool,
    pub(super) refuse: bool,
    pub(super) crash: Option<CrashFault>,
}

impl Faults {
    /// Returns true, once, if the stream is to be lost at this offset.
    pub(super) fn take_crash(&mut self, stream: &str, produced: u32) -> bool {
        let due = self.crash.as_ref().is_some_and(|crash| {
            let named = crash.stream_id.as_ref().is_none_or(|name| name == stream);
            named && produced >= crash.after_tokens
        });
        if due {
            self.crash = None;
        }
        due
    }
}
