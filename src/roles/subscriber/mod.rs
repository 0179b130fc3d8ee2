//! The applied copy of the replicated view that every process keeps.
