//! The table and the types of its rows.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model::{KindName, ModelName, ServiceName, TableVersion, WorkspaceName};
use crate::rpc::sidecar::Lane;

/// Identifies a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RowKey {
    Workspace(WorkspaceName),
    /// A kind of request for one workspace, or with `None` for all workspaces without a row of
    /// their own for this kind.
    Kind(Option<WorkspaceName>, KindName),
    Model(ModelName),
    Service(ServiceName),
    Limit(String),
}

impl RowKey {
    /// Returns all names that the key contains.
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

    /// Returns the keys of the rows that must exist for a row with this key.
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

/// A workspace: its weight, limits and API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRow {
    /// Share of produced tokens under contention, relative to other workspaces.
    pub weight: u32,
    /// Maximum number of concurrent generations in the whole fleet; `None` for no limit.
    pub room_slots: Option<u32>,
    /// Lowercase hexadecimal SHA-256 of the API key; `None` if the workspace uses no key.
    pub api_key_sha256: Option<String>,
    /// Maximum number of output tokens of one generation.
    pub max_tokens: u32,
}

/// The model or service that serves a kind of request.
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
    /// Maximum number of concurrent generations of this kind in the whole fleet, per workspace;
    /// `None` for no limit.
    pub room_slots: Option<u32>,
    /// Maximum duration of one call.
    pub deadline_ms: u64,
    pub target: Target,
}

/// A model and its active version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRow {
    pub version: String,
    /// A version that replicas load in addition to the active one.
    pub prepare_version: Option<String>,
    pub adapter: Option<String>,
}

/// A service that is not a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRow {
    /// Whether calls of this service may run more than once, unless their kind says otherwise.
    pub repeatable: bool,
    pub deadline_ms: u64,
}

/// A limit that applies to the whole fleet.
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

/// All rows, each with the table version that last changed it.
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

    /// Returns the row of a kind for a workspace: its own row if there is one, otherwise the row
    /// for all workspaces.
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
