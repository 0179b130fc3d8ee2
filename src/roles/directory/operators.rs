//! The operators' HTTP API: publishes a document and returns the newest one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::{DirectoryRole, PutAnswer, PutDocument};
use crate::adapters::web::{self, Page};
use crate::platform::{decode_document, paths};
use crate::roles::control::replica::{MAX_COMMAND_BYTES, SubmitError};
use crate::rpc::{decode, encode};

/// Timeout for committing a document, after which the call is answered with 503. It is shorter than
/// the second after which operators try another instance.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for confirming that the document is the newest.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Upper bound on a document: a command of the log, less 1 KiB for what encoding adds.
const BODY_LIMIT_BYTES: usize = MAX_COMMAND_BYTES - 1024;

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
        match (request.method(), request.uri().path()) {
            (&Method::GET, paths::READ) => self.read(port).await,
            (&Method::POST, paths::PUBLISH) => self.publish(request, port).await,
            _ => web::text(StatusCode::NOT_FOUND, "no such call\n"),
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
        let command = PutDocument {
            version: document.version,
            body: body.to_vec(),
        };
        let answer = match encode(&command) {
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
