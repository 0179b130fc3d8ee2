//! The operators' HTTP API: publishes a document and returns the newest one, and evacuates zones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use percent_encoding::percent_decode_str;
use serde_json::json;

use super::evacuation::OrderFailure;
use super::{Command, DirectoryRole, PutAnswer, PutDocument};
use crate::adapters::web::{self, Page};
use crate::domain::evacuation::{Action, ZoneOrder};
use crate::model::ZoneName;
use crate::platform::{decode_document, paths};
use crate::roles::control::replica::{MAX_COMMAND_BYTES, SubmitError};
use crate::rpc::decode;

/// Timeout for committing a command, after which the call is answered with 503. It is shorter than
/// the second after which operators try another instance.
pub(super) const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for confirming that what is read is the newest.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Upper bound on a document: a command of the log, less 1 KiB for what encoding adds.
const BODY_LIMIT_BYTES: usize = MAX_COMMAND_BYTES - 1024;

/// The product's own path for evacuated zones. The platform's paths are in [`paths`].
pub const EVACUATIONS: &str = "/v1/evacuations";

/// A call of the operators' API.
enum Call {
    Read,
    Publish,
    Evacuations,
    Order(ZoneOrder),
}

/// Returns the call that a request makes; `None` if there is no such call.
fn parse_call(method: &Method, path: &str) -> Option<Call> {
    let own_zone = path
        .strip_prefix(EVACUATIONS)
        .and_then(|rest| rest.strip_prefix('/'));
    let start = path.strip_prefix(paths::EVACUATION_START);
    let finish = path.strip_prefix(paths::EVACUATION_FINISH);
    let (zone, action) = match (method, path) {
        (&Method::GET, paths::READ) => return Some(Call::Read),
        (&Method::POST, paths::PUBLISH) => return Some(Call::Publish),
        (&Method::GET, EVACUATIONS) => return Some(Call::Evacuations),
        (&Method::POST, _) if start.is_some() => (start?, Action::Start),
        (&Method::POST, _) => (finish?, Action::Finish),
        (&Method::PUT, _) => (own_zone?, Action::Start),
        (&Method::DELETE, _) => (own_zone?, Action::Finish),
        _ => return None,
    };
    let zone = percent_decode_str(zone).decode_utf8_lossy();
    let zone = ZoneName::from(&*zone);
    Some(Call::Order(ZoneOrder { zone, action }))
}

/// Serves the operators' API on `address`. Fails if the address is in use.
pub async fn serve_operators(
    role: &Arc<DirectoryRole>,
    address: SocketAddr,
) -> std::io::Result<()> {
    let role = Arc::clone(role);
    web::serve(address, move |request| {
        let role = Arc::clone(&role);
        async move { role.answer(request, address.port()).await }
    })
    .await
}

impl DirectoryRole {
    async fn answer(&self, request: Request<Incoming>, port: u16) -> Page {
        let path = request.uri().path().to_owned();
        match parse_call(request.method(), &path) {
            Some(Call::Read) => self.read(port).await,
            Some(Call::Publish) => self.publish(request, port).await,
            Some(Call::Evacuations) => self.list_evacuations(port).await,
            Some(Call::Order(order)) => self.order(order, port, &path).await,
            None => web::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    /// Returns the evacuated zones, and the zones that orders may name as far as this instance knows.
    async fn list_evacuations(&self, port: u16) -> Page {
        let Some(replica) = self.replica() else {
            return self.answer_without_log(port, EVACUATIONS);
        };
        if let Err(error) = replica.confirm(READ_TIMEOUT).await {
            return unavailable(&format!("cannot confirm the evacuated zones: {error}"));
        }
        let evacuations = self.machine.evacuations();
        json(Bytes::from(
            json!({
                "revision": evacuations.revision(),
                "evacuated": evacuations.zones(),
                "known": self.known_zones(),
            })
            .to_string(),
        ))
    }

    /// Starts or finishes the evacuation of a zone. An order that is in force already is
    /// acknowledged, since operators repeat orders whose answer was lost.
    async fn order(&self, order: ZoneOrder, port: u16, path: &str) -> Page {
        let Some(replica) = self.replica() else {
            return self.answer_without_log(port, path);
        };
        let (zone, action) = (order.zone.clone(), order.action.label());
        match self.commit_order(&replica, order).await {
            Ok(answer) => {
                tracing::info!(
                    zone = &*zone.0,
                    action,
                    revision = answer.revision,
                    changed = answer.changed,
                    "order for a zone acknowledged"
                );
                json(Bytes::from(
                    json!({
                        "zone": zone,
                        "revision": answer.revision,
                        "changed": answer.changed,
                    })
                    .to_string(),
                ))
            }
            Err(OrderFailure::UnknownZone(unknown)) => {
                tracing::warn!(action, %unknown, "order for a zone rejected");
                web::text(StatusCode::BAD_REQUEST, &format!("{unknown}\n"))
            }
            Err(OrderFailure::NoZonesKnown) => {
                unavailable("the list of instances, which names the zones, was not read yet")
            }
            Err(OrderFailure::NotSubmitted(SubmitError::NotLeader {
                leader: Some(leader),
            })) => redirect(SocketAddr::new(leader.ip(), port), path),
            Err(OrderFailure::NotSubmitted(error)) => {
                tracing::warn!(zone = &*zone.0, action, %error, "order for a zone not acknowledged");
                unavailable(&format!("not acknowledged: {error}"))
            }
            Err(OrderFailure::Malformed(error)) => {
                tracing::error!(zone = &*zone.0, action, %error, "cannot encode or decode an order");
                unavailable(&format!("not acknowledged: {error}"))
            }
        }
    }

    async fn read(&self, port: u16) -> Page {
        let Some(replica) = self.replica() else {
            return self.answer_without_log(port, paths::READ);
        };
        if let Err(error) = replica.confirm(READ_TIMEOUT).await {
            return unavailable(&format!("cannot confirm the newest document: {error}"));
        }
        match self.machine.published() {
            Some(published) => json(Bytes::copy_from_slice(&published.body)),
            None => unavailable("no document was published yet"),
        }
    }

    async fn publish(&self, request: Request<Incoming>, port: u16) -> Page {
        let body = match Limited::new(request.into_body(), BODY_LIMIT_BYTES)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                let reason = format!("the document cannot be read: {error}\n");
                return web::text(StatusCode::BAD_REQUEST, &reason);
            }
        };
        let document = match decode_document(&body) {
            Ok(document) => document,
            Err(findings) => {
                tracing::warn!(%findings, "published document is invalid");
                return web::text(StatusCode::BAD_REQUEST, &format!("{findings}\n"));
            }
        };
        let Some(replica) = self.replica() else {
            return self.answer_without_log(port, paths::PUBLISH);
        };
        let command = Command::Put(PutDocument {
            version: document.version,
            body: body.to_vec(),
        });
        let answer = match command.encode() {
            Ok(command) => replica.submit(command, COMMIT_TIMEOUT).await,
            Err(error) => return unavailable(&format!("cannot encode the document: {error}")),
        };
        match answer {
            Ok(answer) => {
                let answer = decode::<PutAnswer>(&answer).ok();
                let in_force = answer.map(|answer| answer.version);
                tracing::info!(
                    version = document.version,
                    in_force,
                    "publication of a document acknowledged"
                );
                json(Bytes::from_static(b"{}"))
            }
            Err(SubmitError::NotLeader {
                leader: Some(leader),
            }) => redirect(SocketAddr::new(leader.ip(), port), paths::PUBLISH),
            Err(error) => {
                tracing::warn!(version = document.version, %error,
                    "publication of a document not acknowledged");
                unavailable(&format!("not acknowledged: {error}"))
            }
        }
    }

    /// Answers a call while this instance has no open log: without a data folder, it redirects the
    /// operator to the leader.
    fn answer_without_log(&self, port: u16, path: &str) -> Page {
        match (&self.observer, self.other_leader()) {
            (Some(_), Some(leader)) => redirect(SocketAddr::new(leader.ip(), port), path),
            (Some(_), None) => unavailable("this instance keeps no log and knows no leader"),
            (None, _) => unavailable("the replicated log is closed"),
        }
    }
}

fn json(body: Bytes) -> Page {
    let mut page = Response::new(Full::new(body));
    let kind = header::HeaderValue::from_static("application/json");
    page.headers_mut().insert(header::CONTENT_TYPE, kind);
    page
}

fn redirect(to: SocketAddr, path: &str) -> Page {
    let location = format!("http://{to}{path}");
    let mut page = web::text(StatusCode::TEMPORARY_REDIRECT, "another instance leads\n");
    if let Ok(location) = header::HeaderValue::from_str(&location) {
        page.headers_mut().insert(header::LOCATION, location);
    }
    page
}

fn unavailable(reason: &str) -> Page {
    web::text(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n"))
}
