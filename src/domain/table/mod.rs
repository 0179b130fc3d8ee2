//! The table of weights and limits.

mod rows;

pub use rows::{KindRow, LimitRow, ModelRow, Row, RowKey, ServiceRow, Table, Target, WorkspaceRow};
