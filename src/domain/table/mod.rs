//! The table of weights and limits.

mod audit;
mod edits;
mod rows;
mod validate;

pub use audit::{Audit, AuditEntry, AuditOutcome, MAX_AUDIT_BYTES, MAX_AUDIT_ENTRIES, RowAudit};
pub use edits::{Edit, Editor, Edits, MAX_ANSWER_BYTES, MAX_ANSWERS, MAX_EDITORS, Versions};
pub use rows::{KindRow, LimitRow, ModelRow, Row, RowKey, ServiceRow, Table, Target, WorkspaceRow};
pub use validate::{MAX_CHANGES, MAX_FINDINGS, MAX_ROWS};
