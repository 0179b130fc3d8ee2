//! The core of the replicated log.
