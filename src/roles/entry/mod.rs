//! The entry role: HTTP towards callers.
