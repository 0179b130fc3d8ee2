//! What the table says of a request: workspace, kind, lane, deadline and target.

use crate::adapters::clock::monotonic_ms;
use crate::domain::state::View;
use crate::domain::table::{KindRow, Target};
use crate::model::{KindName, ModelName, ServiceName, WorkspaceName};
use crate::rpc::sidecar::Lane;

use super::failure::Failure;
use super::input::{Envelope, header};

/// The kind of requests that name none, if it has a row.
const DEFAULT_KIND: &str = "default";

/// The conditions that a request runs under.
#[derive(Debug, Clone)]
pub(super) struct Terms {
    pub workspace: WorkspaceName,
    pub kind: KindName,
    pub lane: Lane,
    pub repeatable: bool,
    /// True if the row of the workspace or of the kind limits its room.
    pub limited_room: bool,
    /// A monotonic time.
    pub deadline_at_ms: u64,
}

impl Terms {
    /// Returns the time left.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(monotonic_ms())
    }
}

/// Returns the terms of a generation and its model.
pub(super) fn generation_terms(
    view: &View,
    envelope: &Envelope,
    workspace: WorkspaceName,
    model: Option<&str>,
    default_deadline_ms: u64,
) -> Result<(Terms, ModelName), Failure> {
    let row = kind_row(view, envelope, &workspace)?;
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
    let terms = terms(
        view,
        envelope,
        workspace,
        row,
        Lane::Long,
        true,
        default_deadline_ms,
    );
    Ok((terms, model))
}

/// Returns the terms of a plain call.
pub(super) fn call_terms(
    view: &View,
    envelope: &Envelope,
    workspace: WorkspaceName,
    service: &ServiceName,
) -> Result<Terms, Failure> {
    let Some(service_row) = view.table.service(service) else {
        return Err(Failure::not_found(format!(
            "no service {:?}",
            service.as_str()
        )));
    };
    let row = match &envelope.kind {
        Some(_) => kind_row(view, envelope, &workspace)?,
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
    Ok(terms(
        view,
        envelope,
        workspace,
        row,
        Lane::Small,
        service_row.repeatable,
        service_row.deadline_ms,
    ))
}

fn terms(
    view: &View,
    envelope: &Envelope,
    workspace: WorkspaceName,
    row: Option<(KindName, &KindRow)>,
    lane: Lane,
    repeatable: bool,
    deadline_ms: u64,
) -> Terms {
    let row_deadline_ms = row.as_ref().map_or(deadline_ms, |(_, row)| row.deadline_ms);
    let row_deadline_at_ms = monotonic_ms().saturating_add(row_deadline_ms);
    let workspace_room = view
        .table
        .workspace(&workspace)
        .is_some_and(|row| row.room_slots.is_some());
    let kind_room = row
        .as_ref()
        .is_some_and(|(_, row)| row.room_slots.is_some());
    Terms {
        lane: row.as_ref().map_or(lane, |(_, row)| row.lane),
        repeatable: row.as_ref().map_or(repeatable, |(_, row)| row.repeatable),
        kind: row.map_or_else(|| KindName::from(DEFAULT_KIND), |(kind, _)| kind),
        limited_room: workspace_room || kind_room,
        deadline_at_ms: envelope
            .deadline_at_ms
            .map_or(row_deadline_at_ms, |at_ms| at_ms.min(row_deadline_at_ms)),
        workspace,
    }
}

/// Returns the row of the kind that the caller names, else of the default kind if it has one.
fn kind_row<'a>(
    view: &'a View,
    envelope: &Envelope,
    workspace: &WorkspaceName,
) -> Result<Option<(KindName, &'a KindRow)>, Failure> {
    let name = KindName::from(envelope.kind.as_deref().unwrap_or(DEFAULT_KIND));
    match view.table.kind(workspace, &name) {
        Some(row) => Ok(Some((name, row))),
        None if envelope.kind.is_some() => {
            Err(Failure::not_found(format!("no kind {:?}", name.as_str())))
        }
        None => Ok(None),
    }
}
