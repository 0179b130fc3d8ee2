//! The interface of the control services to the replicated log, as a struct of closures.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;

use super::Machine;

/// Why a log operation failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    NotLeader {
        leader: Option<SocketAddr>,
    },
    /// The command may or may not be committed.
    Undecided,
    /// The role has stopped.
    Stopped,
    /// The command exceeds the log's size limit and was not appended.
    TooLarge,
}

/// The leadership of the log as this instance knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Leadership {
    /// True if this instance leads and its lease is valid.
    pub leads: bool,
    pub term: u64,
    /// The index of the first entry of the term, if this instance leads.
    pub term_first_index: Option<u64>,
    pub leader: Option<SocketAddr>,
}

type Submit =
    Box<dyn Fn(Vec<u8>, Duration) -> BoxFuture<'static, Result<Vec<u8>, LogError>> + Send + Sync>;
type Confirm = Box<dyn Fn(Duration) -> BoxFuture<'static, Result<u64, LogError>> + Send + Sync>;

/// The replicated log.
pub struct LogPort {
    /// Commits an encoded command within the given time and returns the encoded response.
    pub submit: Submit,
    /// Returns an index that was the commit index at some time after the call began and that this
    /// instance has applied.
    pub confirm: Confirm,
    pub leadership: Box<dyn Fn() -> Leadership + Send + Sync>,
    /// Transfers leadership to another voter and stops the replica, for a planned shutdown.
    pub transfer_leadership: Box<dyn Fn() -> BoxFuture<'static, ()> + Send + Sync>,
}

/// Creates an in-memory log of a single process, for tests and benchmarks. Its contents are lost
/// when the process ends.
pub fn memory_log(machine: &Arc<Machine>) -> LogPort {
    let next_index = Arc::new(Mutex::new(0));
    let last_index = Arc::clone(&next_index);
    let machine = Arc::clone(machine);
    LogPort {
        submit: Box::new(move |command, _limit| {
            let mut index = next_index.lock().unwrap_or_else(PoisonError::into_inner);
            *index += 1;
            let response = machine.apply(*index, &command);
            Box::pin(async move { Ok(response) })
        }),
        confirm: Box::new(move |_limit| {
            let index = *last_index.lock().unwrap_or_else(PoisonError::into_inner);
            Box::pin(async move { Ok(index) })
        }),
        leadership: Box::new(|| Leadership {
            leads: true,
            term: 1,
            term_first_index: Some(0),
            leader: None,
        }),
        transfer_leadership: Box::new(|| Box::pin(async {})),
    }
}
