//! The configuration table: workspaces, kinds of requests, models, services and limits.

mod audit;
mod edits;
mod fields;
mod ini;
mod rows;
mod validate;

pub use audit::{Audit, AuditEntry, AuditOutcome, MAX_AUDIT_BYTES, MAX_AUDIT_ENTRIES, RowAudit};
pub use edits::{Edit, EditHistory, Editor, MAX_ANSWER_BYTES, MAX_ANSWERS, MAX_EDITORS, Versions};
pub use fields::{FieldType, Fields, field_type};
pub use ini::{Rows, diff, from_ini, render_diff, to_ini};
pub use rows::{KindRow, LimitRow, ModelRow, Row, RowKey, ServiceRow, Table, Target, WorkspaceRow};
pub use validate::{MAX_CHANGES, MAX_FINDINGS, MAX_ROWS};
