//! Built-in settings and table rows for trying the system out: all roles and the stand-ins in one
//! process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::time::sleep;

use crate::adapters::clock::unix_ms;
use crate::domain::state::{Command, EditId, EditRefusal, Response, RowChange};
use crate::domain::table::{KindRow, ModelRow, Row, RowKey, ServiceRow, Target, WorkspaceRow};
use crate::findings::Findings;
use crate::model::{KindName, ModelName, ServiceName, TableVersion, WorkspaceName};
use crate::roles::subscriber::{SubmitError, Subscriber};
use crate::rpc::sidecar::Lane;
use crate::settings::Settings;

/// Time-out for the edit that creates the first rows; a new cluster has to elect a leader first.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts to create the first rows, and the pause between them. They add up to 10 s, within which
/// the model version of the stand-in engine is reported.
const FIRST_ROWS_ATTEMPTS: u32 = 50;
const FIRST_ROWS_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the settings of one process that runs the control, entry and sidecar roles, and the
/// stand-ins at the addresses `engine` and `service`.
pub fn standalone_settings(
    entry: SocketAddr,
    admin: SocketAddr,
    engine: SocketAddr,
    service: SocketAddr,
    data_folder: &Path,
) -> Result<Settings, Findings> {
    let text = format!(
        "\
[instance]
name = standalone
zone = local
rpc_address = 127.0.0.1:0
admin_address = {admin}
admin_token = standalone

[control]
data_folder = {folder}

[entry]
http_address = {entry}

[sidecar]

[upstream engine-1]
model = tutor
url = http://{engine}
checks_fence = true

[upstream service-1]
service = cards
url = http://{service}

[standin]
engine_address = {engine}
service_address = {service}
",
        folder = data_folder.display(),
    );
    Settings::parse("built-in settings", &text)
}

/// Creates the built-in rows if the table is empty. Retries, since a row that names a model version
/// is refused until a replica has reported that version, which takes a moment after the start.
pub(super) async fn create_first_rows(subscriber: &Subscriber) -> Result<(), SubmitError> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let command = Command::Edit {
            // A repeated edit with the same id would get the first answer again.
            id: EditId(format!("standalone-first-rows-{attempt}")),
            author: "standalone".to_owned(),
            base: TableVersion::default(),
            changes: first_rows(),
            now_ms: unix_ms(),
        };
        match subscriber.submit(&command, EDIT_TIMEOUT).await? {
            Response::Edit(Ok(version)) => {
                tracing::info!(%version, "the table has its first rows");
                return Ok(());
            }
            Response::Edit(Err(EditRefusal::Invalid(findings)))
                if attempt < FIRST_ROWS_ATTEMPTS =>
            {
                tracing::info!(%findings, attempt, "first rows refused; retrying");
                sleep(FIRST_ROWS_RETRY_DELAY).await;
            }
            // A table from an earlier run is kept.
            answer => {
                tracing::info!(
                    ?answer,
                    "first rows not created; keeping the existing table"
                );
                return Ok(());
            }
        }
    }
}

fn first_rows() -> Vec<RowChange> {
    let model = ModelName::from("tutor");
    let service = ServiceName::from("cards");
    let kind = |name: &str, lane, deadline_ms, target| {
        let row = KindRow {
            lane,
            repeatable: true,
            room_slots: None,
            deadline_ms,
            target,
        };
        (RowKey::Kind(None, KindName::from(name)), Row::Kind(row))
    };
    let workspace = WorkspaceRow {
        weight: 10,
        room_slots: None,
        api_key_sha256: None,
        max_tokens: 4_096,
    };
    let rows = [
        (
            RowKey::Workspace(WorkspaceName::from("demo")),
            Row::Workspace(workspace),
        ),
        (
            RowKey::Model(model.clone()),
            Row::Model(ModelRow {
                version: "v1".to_owned(),
                prepare_version: None,
                adapter: None,
            }),
        ),
        (
            RowKey::Service(service.clone()),
            Row::Service(ServiceRow {
                repeatable: true,
                deadline_ms: 5_000,
            }),
        ),
        kind("essay", Lane::Long, 600_000, Target::Model(model.clone())),
        kind("hint", Lane::Small, 60_000, Target::Model(model)),
        kind("card", Lane::Small, 5_000, Target::Service(service)),
    ];
    rows.into_iter()
        .map(|(key, row)| RowChange {
            key,
            row: Some(row),
        })
        .collect()
}
