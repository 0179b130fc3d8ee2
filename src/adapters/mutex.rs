//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after another holder has panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
