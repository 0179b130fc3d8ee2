//! The operators' HTTP API: reading and editing the table, its history, status, and draining.
//!
//! The routes access the replicated log only through [`OperatorPort`], which the daemon registers
//! as Rocket managed state.

mod auth;
mod client;
mod json;
mod operations;
mod port;
mod routes;

pub use client::{Client, ClientError};
pub use json::{
    ChangeJson, DrainReply, EditJson, EditReply, ErrorCode, ErrorReply, HistoryEntry, HistoryReply,
    JsonFields, RowJson, TableReply, changes_from_json, fields_to_json, row_from_json,
};
pub use operations::{Author, EditOutcome, apply, delete_row, drain, history, read_rows, set_row};
pub use port::{OperatorPort, ReadFn, ReadTask, StatusFn, SubmitFn};
pub use routes::{MAX_BODY_BYTES, MAX_HISTORY, catchers, routes};
