//! Table and instance operations of the command line, on top of the API client.

use rocket::http::RawStr;

use super::client::{Client, ClientError};
use super::json::{
    ChangeJson, DrainReply, EditJson, EditReply, ErrorCode, ErrorReply, HistoryReply, TableReply,
};
use crate::domain::state::RowChange;
use crate::domain::table::{Fields, Row, RowKey, Rows, diff};
use crate::findings::Findings;

/// HTTP statuses of rejected edits (409 conflict, 422 invalid); their bodies are an [`EditReply`].
const EDIT_REFUSALS: [u16; 2] = [409, 422];

/// Who makes an edit, the edit's id, and whether it is a dry run.
#[derive(Debug, Clone)]
pub struct Author {
    pub name: String,
    pub edit_id: String,
    pub dry_run: bool,
}

/// The outcome of an edit.
#[derive(Debug, Clone)]
pub enum EditOutcome {
    /// The table already has the requested contents; nothing was sent.
    NoChange { version: u64 },
    Answered {
        /// The rows before the edit.
        before: Rows,
        changes: Vec<RowChange>,
        reply: EditReply,
    },
    /// The input is invalid; nothing was sent.
    Malformed(Findings),
}

/// Reads rows of the table. `row` names one row or a type such as `workspace`; `None` reads all.
pub async fn read_rows(client: &Client, row: Option<&str>) -> Result<TableReply, ClientError> {
    match row {
        Some(row) => client.get(&format!("/v1/table/{}", encode_path(row))).await,
        None => client.get("/v1/table").await,
    }
}

/// Sets fields of a row and keeps its other fields. An empty value removes an optional field.
pub async fn set_row(
    client: &Client,
    author: &Author,
    key: &RowKey,
    assignments: &[(String, String)],
) -> Result<EditOutcome, ClientError> {
    let (version, before) = read_row(client, key).await?;
    let mut fields = Fields::new();
    for (name, value) in before.get(key).map(Row::fields).unwrap_or_default() {
        fields.insert(name.to_owned(), value);
    }
    for (name, value) in assignments {
        // A kind targets either a model or a service, so setting one removes the other.
        match name.as_str() {
            "model" => fields.remove("service"),
            "service" => fields.remove("model"),
            _ => None,
        };
        fields.insert(name.clone(), value.clone());
    }
    let mut findings = Findings::default();
    let place = |name: &str| format!("{key} {name}");
    let Some(row) = Row::parse(key, &fields, &place, &mut findings) else {
        return Ok(EditOutcome::Malformed(findings));
    };
    let after = Rows::from([(key.clone(), row)]);
    submit_edit(client, author, version, before, &after).await
}

/// Deletes a row.
pub async fn delete_row(
    client: &Client,
    author: &Author,
    key: &RowKey,
) -> Result<EditOutcome, ClientError> {
    let (version, before) = read_row(client, key).await?;
    submit_edit(client, author, version, before, &Rows::new()).await
}

/// Replaces the table's contents with the given rows in one edit.
pub async fn apply(
    client: &Client,
    author: &Author,
    rows: &Rows,
) -> Result<EditOutcome, ClientError> {
    let table = read_rows(client, None).await?;
    match table.rows() {
        Ok(before) => submit_edit(client, author, table.version, before, rows).await,
        Err(findings) => Ok(EditOutcome::Malformed(findings)),
    }
}

/// Returns up to `limit` edits, newest first, optionally only those of one row.
pub async fn history(
    client: &Client,
    row: Option<&str>,
    limit: usize,
) -> Result<HistoryReply, ClientError> {
    let row = row.map(|row| format!("&row={}", RawStr::new(row).percent_encode()));
    let row = row.unwrap_or_default();
    client
        .get(&format!("/v1/table/history?limit={limit}{row}"))
        .await
}

/// Starts draining an instance, so that it leaves the fleet.
pub async fn drain(client: &Client, instance: &str) -> Result<DrainReply, ClientError> {
    let path = format!("/v1/drain/{}", encode_path(instance));
    client.post(&path, None::<&()>, &[]).await
}

/// Returns the table version and the row, or no rows if it does not exist.
async fn read_row(client: &Client, key: &RowKey) -> Result<(u64, Rows), ClientError> {
    match read_rows(client, Some(&key.to_string())).await {
        Ok(table) => Ok((table.version, table.rows().unwrap_or_default())),
        Err(ClientError::Refused(ErrorReply {
            error: ErrorCode::NotFound,
            version: Some(version),
            ..
        })) => Ok((version, Rows::new())),
        Err(error) => Err(error),
    }
}

async fn submit_edit(
    client: &Client,
    author: &Author,
    base: u64,
    before: Rows,
    after: &Rows,
) -> Result<EditOutcome, ClientError> {
    let changes = diff(&before, after);
    if changes.is_empty() {
        return Ok(EditOutcome::NoChange { version: base });
    }
    let body = EditJson {
        id: author.edit_id.clone(),
        author: author.name.clone(),
        base,
        dry_run: author.dry_run,
        changes: changes.iter().map(ChangeJson::from).collect(),
    };
    let reply = client
        .post("/v1/table", Some(&body), &EDIT_REFUSALS)
        .await?;
    Ok(EditOutcome::Answered {
        before,
        changes,
        reply,
    })
}

/// Percent-encodes each segment of a path.
fn encode_path(path: &str) -> String {
    let segments = path
        .split('/')
        .map(|segment| RawStr::new(segment).percent_encode());
    segments
        .map(|segment| segment.to_string())
        .collect::<Vec<_>>()
        .join("/")
}
