//! The parameters of a request according to the table: workspace, kind, lane, deadline and target.

use crate::adapters::clock::monotonic_ms;
use crate::domain::state::View;
use crate::domain::table::{KindRow, Target};
use crate::model::{KindName, ModelName, ServiceName, WorkspaceName};
use crate::rpc::sidecar::Lane;

use super::failure::Failure;
use super::input::{RequestHeaders, header};

/// The kind of requests without a `lilac-kind` header. It need not have a row.
const DEFAULT_KIND: &str = "default";

/// The parameters that a request runs with.
#[derive(Debug, Clone)]
pub(super) struct RequestParams {
    pub workspace: WorkspaceName,
    pub kind: KindName,
    pub lane: Lane,
    pub repeatable: bool,
    /// True if the row of the workspace or of the kind limits the number of slots.
    pub needs_slot: bool,
    /// A monotonic time.
    pub deadline_at_ms: u64,
}

impl RequestParams {
    /// Returns the time left until the deadline; 0 once it has passed.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(monotonic_ms())
    }
}

/// Returns the parameters and the model of a completion request.
pub(super) fn generation_params(
    view: &View,
    request_headers: &RequestHeaders,
    workspace: WorkspaceName,
    model: Option<&str>,
    default_deadline_ms: u64,
) -> Result<(RequestParams, ModelName), Failure> {
    let row = kind_row(view, request_headers, &workspace)?;
    let model = match row.as_ref().map(|(_, row)| &row.target) {
        Some(Target::Model(model)) => model.clone(),
        Some(Target::Service(service)) => {
            return Err(Failure::bad_input(
                &header("lilac-kind"),
                format!("this kind is served by service {service}; use /svc/{service}/"),
            ));
        }
        None => model
            .map(ModelName::from)
            .ok_or_else(|| Failure::bad_input("body field model", "is missing"))?,
    };
    if view.table.model(&model).is_none() {
        return Err(Failure::not_found(format!("no model {:?}", model.as_str())));
    }
    let params = params(
        view,
        request_headers,
        workspace,
        row,
        Lane::Long,
        true,
        default_deadline_ms,
    );
    Ok((params, model))
}

/// Returns the parameters of a service call.
pub(super) fn service_call_params(
    view: &View,
    request_headers: &RequestHeaders,
    workspace: WorkspaceName,
    service: &ServiceName,
) -> Result<RequestParams, Failure> {
    let Some(service_row) = view.table.service(service) else {
        return Err(Failure::not_found(format!(
            "no service {:?}",
            service.as_str()
        )));
    };
    let row = match &request_headers.kind {
        Some(_) => kind_row(view, request_headers, &workspace)?,
        None => None,
    };
    if let Some((kind, row)) = &row
        && row.target != Target::Service(service.clone())
    {
        return Err(Failure::bad_input(
            &header("lilac-kind"),
            format!("kind {kind} is not served by service {service}"),
        ));
    }
    Ok(params(
        view,
        request_headers,
        workspace,
        row,
        Lane::Small,
        service_row.repeatable,
        service_row.deadline_ms,
    ))
}

fn params(
    view: &View,
    request_headers: &RequestHeaders,
    workspace: WorkspaceName,
    row: Option<(KindName, &KindRow)>,
    lane: Lane,
    repeatable: bool,
    deadline_ms: u64,
) -> RequestParams {
    let row_deadline_ms = row.as_ref().map_or(deadline_ms, |(_, row)| row.deadline_ms);
    let row_deadline_at_ms = monotonic_ms().saturating_add(row_deadline_ms);
    let workspace_room = view
        .table
        .workspace(&workspace)
        .is_some_and(|row| row.room_slots.is_some());
    let kind_room = row
        .as_ref()
        .is_some_and(|(_, row)| row.room_slots.is_some());
    RequestParams {
        lane: row.as_ref().map_or(lane, |(_, row)| row.lane),
        repeatable: row.as_ref().map_or(repeatable, |(_, row)| row.repeatable),
        kind: row.map_or_else(|| KindName::from(DEFAULT_KIND), |(kind, _)| kind),
        needs_slot: workspace_room || kind_room,
        deadline_at_ms: request_headers
            .deadline_at_ms
            .map_or(row_deadline_at_ms, |at_ms| at_ms.min(row_deadline_at_ms)),
        workspace,
    }
}

/// Returns the row of the kind that the caller names, or else that of the default kind if it
/// exists. Fails if the named kind has no row.
fn kind_row<'a>(
    view: &'a View,
    request_headers: &RequestHeaders,
    workspace: &WorkspaceName,
) -> Result<Option<(KindName, &'a KindRow)>, Failure> {
    let name = KindName::from(request_headers.kind.as_deref().unwrap_or(DEFAULT_KIND));
    match view.table.kind(workspace, &name) {
        Some(row) => Ok(Some((name, row))),
        None if request_headers.kind.is_some() => {
            Err(Failure::not_found(format!("no kind {:?}", name.as_str())))
        }
        None => Ok(None),
    }
}
