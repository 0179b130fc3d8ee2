//! HTTP routes of the operators' API.

use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::http::uri::Segments;
use rocket::http::uri::fmt::Path;
use rocket::response::content::RawJson;
use rocket::response::status::Custom;
use rocket::{Catcher, Request, Route, State as Managed, catch, get, post};
use serde::Serialize;

use super::auth::Operator;
use super::json::{
    DrainReply, EditJson, EditReply, ErrorCode, ErrorReply, HistoryEntry, HistoryReply, RowJson,
    TableReply, changes_from_json, fields_to_json,
};
use super::port::OperatorPort;
use crate::adapters::clock::unix_ms;
use crate::domain::members::Phase;
use crate::domain::state::{Command, EditId, EditRefusal, Response, RowChange, State};
use crate::domain::table::{Edit, RowAudit, RowKey};
use crate::model::{InstanceName, InstanceRef, TableVersion};
use crate::roles::control::replica::MAX_COMMAND_BYTES;
use crate::rpc::control::ControlError;
use crate::rpc::encode;

/// Limit on a request body. A whole table of 20,000 workspaces takes about 3 MB as JSON.
pub const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Limit on the number of edits in one history answer.
pub const MAX_HISTORY: usize = 1_000;

const DEFAULT_HISTORY_LIMIT: usize = 50;

type Reply = Custom<RawJson<String>>;

/// Returns the routes; mount them at `/` with [`OperatorPort`] as managed state.
pub fn routes() -> Vec<Route> {
    rocket::routes![
        get_table,
        get_rows,
        post_table,
        get_history,
        get_status,
        post_drain
    ]
}

/// Returns the catchers that answer in JSON; register them at `/v1`.
pub fn catchers() -> Vec<Catcher> {
    rocket::catchers![unauthorized, not_found, other_error]
}

#[get("/v1/table")]
async fn get_table(_operator: Operator, port: &Managed<OperatorPort>) -> Reply {
    match port.read(|state| table_reply(state, |_| true)).await {
        Ok(table) => reply(Status::Ok, &table),
        Err(error) => control_error(error),
    }
}

/// Returns one row, or all rows of a type such as `workspace`.
#[get("/v1/table/<row..>")]
async fn get_rows(
    _operator: Operator,
    row: Segments<'_, Path>,
    port: &Managed<OperatorPort>,
) -> Reply {
    let name = row.collect::<Vec<_>>().join("/");
    let exact = name.parse::<RowKey>().ok();
    let prefix = format!("{name}/");
    let accept = move |key: &RowKey| match &exact {
        Some(exact) => key == exact,
        None => key.to_string().starts_with(&prefix),
    };
    let read = port.read(move |state| table_reply(state, accept)).await;
    match read {
        Ok(table) if table.rows.is_empty() => {
            let body = ErrorReply {
                error: ErrorCode::NotFound,
                message: format!("no row {name:?} in the table at version {}", table.version),
                leader: None,
                version: Some(table.version),
            };
            reply(Status::NotFound, &body)
        }
        Ok(table) => reply(Status::Ok, &table),
        Err(error) => control_error(error),
    }
}

#[post("/v1/table", data = "<body>")]
async fn post_table(_operator: Operator, body: Data<'_>, port: &Managed<OperatorPort>) -> Reply {
    let edit = match read_edit(body).await {
        Ok(edit) => edit,
        Err(reply) => return reply,
    };
    let changes = match changes_from_json(&edit.changes) {
        Ok(changes) => changes,
        Err(findings) => return edit_reply(&EditRefusal::Invalid(findings).into()),
    };
    if edit.dry_run {
        return dry_run(edit, changes, port).await;
    }
    let command = Command::Edit {
        id: EditId(edit.id),
        author: edit.author,
        base: TableVersion(edit.base),
        changes,
        now_ms: unix_ms(),
    };
    let bytes = encode(&command).map_or(usize::MAX, |bytes| bytes.len());
    if bytes > MAX_COMMAND_BYTES {
        let message = format!(
            "the edit takes {bytes} bytes in the log; at most {MAX_COMMAND_BYTES}: split it"
        );
        return error(ErrorCode::TooLarge, message);
    }
    match (port.submit)(command).await {
        Ok(Response::Edit(Ok(version))) => edit_reply(&EditReply::Accepted { version: version.0 }),
        Ok(Response::Edit(Err(refusal))) => edit_reply(&refusal.into()),
        Ok(_) => unexpected_response(),
        Err(error) => control_error(error),
    }
}

#[get("/v1/table/history?<row>&<limit>")]
async fn get_history(
    _operator: Operator,
    row: Option<&str>,
    limit: Option<&str>,
    port: &Managed<OperatorPort>,
) -> Reply {
    let limit = match limit.map(str::parse::<usize>) {
        None => DEFAULT_HISTORY_LIMIT,
        Some(Ok(limit)) if (1..=MAX_HISTORY).contains(&limit) => limit,
        Some(_) => {
            let message = format!("limit: must be a number from 1 to {MAX_HISTORY}");
            return error(ErrorCode::Malformed, message);
        }
    };
    let key = match row.map(str::parse::<RowKey>).transpose() {
        Ok(key) => key,
        Err(reason) => return error(ErrorCode::Malformed, format!("row: {reason}")),
    };
    let read = port.read(move |state| {
        let newest = state.edits().audit.newest();
        let entries = newest.filter(|entry| key.as_ref().is_none_or(|key| entry.names(key)));
        HistoryReply {
            entries: entries.take(limit).map(HistoryEntry::from).collect(),
        }
    });
    match read.await {
        Ok(history) => reply(Status::Ok, &history),
        Err(error) => control_error(error),
    }
}

#[get("/v1/status")]
async fn get_status(_operator: Operator, port: &Managed<OperatorPort>) -> Reply {
    reply(Status::Ok, &(port.status)().await)
}

/// Starts draining an instance. Idempotent.
#[post("/v1/drain/<instance>")]
async fn post_drain(_operator: Operator, instance: &str, port: &Managed<OperatorPort>) -> Reply {
    let name = InstanceName::from(instance);
    let read = port.read(move |state| state.view().members.members.get(&name).cloned());
    let member = match read.await {
        Ok(Some(member)) => member,
        Ok(None) => {
            return error(
                ErrorCode::NotFound,
                format!("no instance {instance:?} is registered"),
            );
        }
        Err(error) => return control_error(error),
    };
    let command = Command::SetPhase {
        instance: InstanceRef {
            name: member.name,
            incarnation: member.incarnation,
        },
        phase: Phase::Leaving,
        now_ms: unix_ms(),
    };
    let phase = if member.phase == Phase::Gone {
        "gone"
    } else {
        "leaving"
    };
    match (port.submit)(command).await {
        Ok(_) => reply(
            Status::Ok,
            &DrainReply {
                instance: instance.to_owned(),
                incarnation: member.incarnation.to_string(),
                phase: phase.to_owned(),
            },
        ),
        Err(error) => control_error(error),
    }
}

async fn read_edit(body: Data<'_>) -> Result<EditJson, Reply> {
    let bytes = match body.open(MAX_BODY_BYTES.bytes()).into_bytes().await {
        Ok(bytes) if bytes.is_complete() => bytes.into_inner(),
        Ok(_) => {
            let message = format!("the body has more than {MAX_BODY_BYTES} bytes");
            return Err(error(ErrorCode::TooLarge, message));
        }
        Err(cause) => {
            return Err(error(
                ErrorCode::Malformed,
                format!("the body broke off: {cause}"),
            ));
        }
    };
    // The error message of serde_json contains the field, line and column.
    serde_json::from_slice(&bytes)
        .map_err(|cause| error(ErrorCode::Malformed, format!("body: {cause}")))
}

async fn dry_run(edit: EditJson, changes: Vec<RowChange>, port: &OperatorPort) -> Reply {
    let read = port.read(move |state| (state.view().version, check_edit(&edit, &changes, state)));
    match read.await {
        Ok((version, Ok(rows))) => edit_reply(&EditReply::WouldBeAccepted {
            version: version.0,
            rows: rows.iter().map(|row| row.key.to_string()).collect(),
        }),
        Ok((_, Err(refusal))) => edit_reply(&refusal.into()),
        Err(error) => control_error(error),
    }
}

fn check_edit(
    edit: &EditJson,
    changes: &[RowChange],
    state: &State,
) -> Result<Vec<RowAudit>, EditRefusal> {
    let edit = Edit {
        id: &EditId(edit.id.clone()),
        author: &edit.author,
        base: TableVersion(edit.base),
        changes,
    };
    let view = state.view();
    state
        .edits()
        .check(edit, &view.table, &view.members, view.version)
}

fn table_reply(state: &State, accept: impl Fn(&RowKey) -> bool) -> TableReply {
    let view = state.view();
    let rows = view.table.rows.iter().filter(|(key, _)| accept(key));
    TableReply {
        version: view.version.0,
        rows: rows
            .map(|(key, (version, row))| RowJson {
                row: key.to_string(),
                version: version.0,
                fields: fields_to_json(row),
            })
            .collect(),
    }
}

fn edit_reply(answer: &EditReply) -> Reply {
    let status = match answer {
        EditReply::Accepted { .. } | EditReply::WouldBeAccepted { .. } => Status::Ok,
        EditReply::Invalid { .. } => Status::UnprocessableEntity,
        EditReply::Conflict { .. } => Status::Conflict,
    };
    reply(status, answer)
}

fn control_error(cause: ControlError) -> Reply {
    match cause {
        ControlError::NotLeader { leader } => {
            let body = ErrorReply {
                error: ErrorCode::NotLeader,
                message: "another control instance leads".to_owned(),
                leader: leader.map(|address| address.to_string()),
                version: None,
            };
            reply(Status::MisdirectedRequest, &body)
        }
        ControlError::Undecided => error(
            ErrorCode::Undecided,
            "the command may or may not take effect; resend it with the same id",
        ),
        ControlError::Stopped => error(
            ErrorCode::Unavailable,
            "the control role has stopped or cannot confirm its state; ask another instance",
        ),
        ControlError::Invalid { reason } => error(ErrorCode::Malformed, reason),
    }
}

fn unexpected_response() -> Reply {
    error(
        ErrorCode::Internal,
        "the log answered with another type of response",
    )
}

fn error(code: ErrorCode, message: impl Into<String>) -> Reply {
    let status = match code {
        ErrorCode::Malformed => Status::BadRequest,
        ErrorCode::TooLarge => Status::PayloadTooLarge,
        ErrorCode::Unauthorized => Status::Unauthorized,
        ErrorCode::NotFound => Status::NotFound,
        ErrorCode::NotLeader => Status::MisdirectedRequest,
        ErrorCode::Undecided | ErrorCode::Unavailable => Status::ServiceUnavailable,
        ErrorCode::Internal => Status::InternalServerError,
    };
    let body = ErrorReply {
        error: code,
        message: message.into(),
        leader: None,
        version: None,
    };
    reply(status, &body)
}

fn reply(status: Status, body: &impl Serialize) -> Reply {
    match serde_json::to_string(body) {
        Ok(text) => Custom(status, RawJson(text)),
        Err(_) => Custom(Status::InternalServerError, RawJson("{}".to_owned())),
    }
}

#[catch(401)]
fn unauthorized() -> Reply {
    error(
        ErrorCode::Unauthorized,
        "send the header Authorization: Bearer <admin_token>",
    )
}

#[catch(404)]
fn not_found(request: &Request) -> Reply {
    error(
        ErrorCode::NotFound,
        format!("no such path: {}", request.uri().path()),
    )
}

#[catch(default)]
fn other_error(status: Status, _request: &Request) -> Reply {
    let body = ErrorReply {
        error: ErrorCode::Internal,
        message: status.to_string(),
        leader: None,
        version: None,
    };
    reply(status, &body)
}
