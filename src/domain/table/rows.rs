//! The rows of the table.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model::{KindName, ModelName, ServiceName, TableVersion, WorkspaceName};
use crate::rpc::sidecar::Lane;

/// Identifies a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RowKey {
    Workspace(WorkspaceName),
    /// A kind for one workspace, or for all that have no row of their own.
    Kind(Option<WorkspaceName>, KindName),
    Model(ModelName),
    Service(ServiceName),
    Limit(String),
}

impl RowKey {
    /// Returns every name in the key.
    pub(super) fn names(&self) -> Vec<&str> {
        match self {
            Self::Workspace(name) => vec![name.as_str()],
            Self::Kind(None, kind) => vec![kind.as_str()],
            Self::Kind(Some(workspace), kind) => vec![workspace.as_str(), kind.as_str()],
            Self::Model(name) => vec![name.as_str()],
            Self::Service(name) => vec![name.as_str()],
            Self::Limit(name) => vec![name],
        }
    }

    /// Returns the keys of the rows that a row under this key needs.
    pub(super) fn references(&self, row: &Row) -> Vec<Self> {
        match (self, row) {
            (Self::Kind(workspace, _), Row::Kind(row)) => {
                let workspace = workspace.iter().cloned().map(Self::Workspace);
                workspace.chain([row.target.key()]).collect()
            }
            _ => Vec::new(),
        }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(name) => write!(f, "workspace/{name}"),
            Self::Kind(Some(workspace), kind) => write!(f, "kind/{workspace}/{kind}"),
            Self::Kind(None, kind) => write!(f, "kind/*/{kind}"),
            Self::Model(name) => write!(f, "model/{name}"),
            Self::Service(name) => write!(f, "service/{name}"),
            Self::Limit(name) => write!(f, "limit/{name}"),
        }
    }
}

/// A workspace: its share and its room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRow {
    /// Share of produced tokens under contention, relative to other workspaces.
    pub weight: u32,
    /// Generations at once in the whole fleet; none for no limit.
    pub room_slots: Option<u32>,
    /// Lowercase hexadecimal SHA-256 of the API key; none while keys are not used.
    pub api_key_sha256: Option<String>,
    /// Upper bound on the output of one generation.
    pub max_tokens: u32,
}

/// What serves a kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    Model(ModelName),
    Service(ServiceName),
}

impl Target {
    /// Returns the key of the target's row.
    pub fn key(&self) -> RowKey {
        match self {
            Self::Model(name) => RowKey::Model(name.clone()),
            Self::Service(name) => RowKey::Service(name.clone()),
        }
    }
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindRow {
    pub lane: Lane,
    /// False if a call of this kind may run at most once.
    pub repeatable: bool,
    /// Generations of this kind at once in the whole fleet, per workspace; none for no limit.
    pub room_slots: Option<u32>,
    /// Upper bound on the time of one call.
    pub deadline_ms: u64,
    pub target: Target,
}

/// A model and the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRow {
    pub version: String,
    /// A version that replicas load beside the one in force.
    pub prepare_version: Option<String>,
    pub adapter: Option<String>,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRow {
    /// Whether calls of this service may be repeated unless their kind says otherwise.
    pub repeatable: bool,
    pub deadline_ms: u64,
}

/// A limit of the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitRow {
    pub value: u64,
}

/// A row of any type.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Row {
    Workspace(WorkspaceRow),
    Kind(KindRow),
    Model(ModelRow),
    Service(ServiceRow),
    Limit(LimitRow),
}

/// All rows, each with the version at which it was last changed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    pub rows: BTreeMap<RowKey, (TableVersion, Row)>,
}

impl Table {
    /// Returns the row of a workspace.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&WorkspaceRow> {
        match self.rows.get(&RowKey::Workspace(name.clone())) {
            Some((_, Row::Workspace(row))) => Some(row),
            _ => None,
        }
    }

    /// Returns the row of a kind: the workspace's own, else the one for all workspaces.
    pub fn kind(&self, workspace: &WorkspaceName, kind: &KindName) -> Option<&KindRow> {
        let own = RowKey::Kind(Some(workspace.clone()), kind.clone());
        let shared = RowKey::Kind(None, kind.clone());
        match self.rows.get(&own).or_else(|| self.rows.get(&shared)) {
            Some((_, Row::Kind(row))) => Some(row),
            _ => None,
        }
    }

    /// Returns the row of a model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelRow> {
        match self.rows.get(&RowKey::Model(name.clone())) {
            Some((_, Row::Model(row))) => Some(row),
            _ => None,
        }
    }

    /// Returns the row of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRow> {
        match self.rows.get(&RowKey::Service(name.clone())) {
            Some((_, Row::Service(row))) => Some(row),
            _ => None,
        }
    }
}
