//! The control role: the replicated log and the services on it.

pub mod operator_api;
