//! The part of the replicated state that every process has a copy of: the table and the members.

use serde::{Deserialize, Serialize};

use crate::domain::members::{Member, Members};
use crate::domain::table::{Row, RowKey, Table};
use crate::model::{InstanceName, TableVersion};

/// The table and the members at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub version: TableVersion,
    pub table: Table,
    pub members: Members,
}

/// One change of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewChange {
    SetRow { key: RowKey, row: Row },
    DeleteRow { key: RowKey },
    SetMember(Member),
    RemoveMember(InstanceName),
}

/// All changes between two versions of the view, applied together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDelta {
    /// The version that the delta applies to.
    pub base: TableVersion,
    pub version: TableVersion,
    pub changes: Vec<ViewChange>,
}

impl View {
    /// Applies a delta. Returns false, without any change, if its base is not this version.
    pub fn apply(&mut self, delta: &ViewDelta) -> bool {
        if delta.base != self.version || delta.version <= self.version {
            return false;
        }
        for change in &delta.changes {
            self.apply_change(delta.version, change);
        }
        self.version = delta.version;
        true
    }

    fn apply_change(&mut self, version: TableVersion, change: &ViewChange) {
        match change {
            ViewChange::SetRow { key, row } => {
                self.table.rows.insert(key.clone(), (version, row.clone()));
            }
            ViewChange::DeleteRow { key } => {
                self.table.rows.remove(key);
            }
            ViewChange::SetMember(member) => {
                self.members
                    .members
                    .insert(member.name.clone(), member.clone());
            }
            ViewChange::RemoveMember(name) => {
                self.members.members.remove(name);
            }
        }
    }
}
