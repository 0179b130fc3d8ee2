//! The table rows that tests start with.

use lilacspindle::domain::state::RowChange;
use lilacspindle::domain::table::{
    KindRow, ModelRow, Row, RowKey, ServiceRow, Target, WorkspaceRow,
};
use lilacspindle::model::{KindName, ModelName, ServiceName, WorkspaceName};
use lilacspindle::rpc::sidecar::Lane;

/// Returns the table rows that tests start with.
pub fn rows() -> Vec<RowChange> {
    let model = || Target::Model(ModelName::from("tutor"));
    let service = || Target::Service(ServiceName::from("cards"));
    let rows = [
        (
            RowKey::Workspace(WorkspaceName::from("demo")),
            workspace_row(None),
        ),
        (
            RowKey::Model(ModelName::from("tutor")),
            Row::Model(ModelRow {
                version: "v1".to_owned(),
                prepare_version: None,
                adapter: None,
            }),
        ),
        (
            RowKey::Service(ServiceName::from("cards")),
            Row::Service(ServiceRow {
                repeatable: true,
                deadline_ms: 10_000,
            }),
        ),
        kind("essay", Lane::Long, true, model()),
        kind("hint", Lane::Small, true, model()),
        kind("card", Lane::Small, true, service()),
        kind("scan", Lane::Small, false, service()),
    ];
    rows.into_iter()
        .map(|(key, row)| RowChange {
            key,
            row: Some(row),
        })
        .collect()
}

/// Returns a workspace row with the given number of slots.
pub fn workspace_row(room_slots: Option<u32>) -> Row {
    Row::Workspace(WorkspaceRow {
        weight: 10,
        room_slots,
        api_key_sha256: None,
        max_tokens: 4_096,
    })
}

fn kind(name: &str, lane: Lane, repeatable: bool, target: Target) -> (RowKey, Row) {
    let row = KindRow {
        lane,
        repeatable,
        room_slots: None,
        deadline_ms: 60_000,
        target,
    };
    (RowKey::Kind(None, KindName::from(name)), Row::Kind(row))
}
