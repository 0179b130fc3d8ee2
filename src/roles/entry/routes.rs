//! The HTTP routes for callers.

use std::sync::Arc;
use std::time::Instant;

use rocket::catcher::{self, Catcher};
use rocket::data::ToByteUnit;
use rocket::http::{Method, Status};
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use serde_json::json;
use tracing::Instrument;

use super::completions::{CompletionCall, complete};
use super::core::Entry;
use super::failure::Failure;
use super::input::{RequestHeaders, request_id};
use super::metrics::OutcomeRecorder;
use super::reply::Reply;
use super::service_calls::{ServiceCall, call, is_forwarded};
use crate::domain::table::RowKey;
use crate::model::{RefusalCode, ServiceName};
use crate::rpc::sidecar::Api;

const SERVICE_PREFIX: &str = "/svc/";
const SERVICE_METHODS: [Method; 5] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Delete,
    Method::Patch,
];

#[derive(Clone, Copy)]
enum Endpoint {
    Generation(Api),
    Service,
    Models,
}

#[derive(Clone)]
struct EndpointHandler {
    entry: Arc<Entry>,
    endpoint: Endpoint,
}

/// Returns the routes of an entry.
pub(super) fn routes(entry: &Arc<Entry>) -> Vec<Route> {
    let route = |method, path: &str, endpoint| {
        let entry = Arc::clone(entry);
        Route::new(method, path, EndpointHandler { entry, endpoint })
    };
    let mut routes = vec![
        route(
            Method::Post,
            "/v1/chat/completions",
            Endpoint::Generation(Api::ChatCompletions),
        ),
        route(
            Method::Post,
            "/v1/completions",
            Endpoint::Generation(Api::Completions),
        ),
        route(Method::Get, "/v1/models", Endpoint::Models),
    ];
    routes.extend(
        SERVICE_METHODS.map(|method| route(method, "/svc/<service>/<path..>", Endpoint::Service)),
    );
    routes
}

/// Returns the catcher of requests that match no route or that Rocket rejects.
pub(super) fn catchers() -> Vec<Catcher> {
    vec![Catcher::new(None, catch)]
}

fn catch<'r>(status: Status, request: &'r Request<'_>) -> catcher::BoxFuture<'r> {
    let failure = match status.code {
        404 => Failure::not_found(format!(
            "no route for {} {}",
            request.method(),
            request.uri()
        )),
        code => Failure::bad_input("request", status.reason_lossy()).with_status(code),
    };
    Box::pin(async move {
        let reply = failure.reply();
        let open_requests = super::metrics::OpenRequests::default();
        let open_request = open_requests.track(request_id(request.headers()));
        Ok(reply.into_response(open_request))
    })
}

#[rocket::async_trait]
impl Handler for EndpointHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let open_request = self
            .entry
            .open_requests
            .track(request_id(request.headers()));
        let mut recorder = OutcomeRecorder::new();
        let span = tracing::info_span!("request", id = %open_request.request());
        let answer = self.answer(request, data, &mut recorder).instrument(span);
        let reply = match answer.await {
            Ok(reply) => {
                recorder.succeed();
                reply
            }
            Err(failure) => {
                recorder.fail(&failure);
                tracing::info!(request = %open_request.request(), status = failure.status,
                    outcome = %failure.outcome, code = ?failure.refusal.code,
                    message = failure.refusal.message, "request failed");
                failure.reply()
            }
        };
        Outcome::Success(reply.into_response(open_request))
    }
}

impl EndpointHandler {
    async fn answer(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
        recorder: &mut OutcomeRecorder,
    ) -> Result<Reply, Failure> {
        let arrived = Instant::now();
        if self.entry.subscriber.is_leaving() {
            return Err(Failure::not_run(
                RefusalCode::Leaving,
                "this entry is leaving; ask another one",
            ));
        }
        let request_headers =
            RequestHeaders::read(request.headers(), request_id(request.headers()))?;
        let body = self.read_body(data).await?;
        match self.endpoint {
            Endpoint::Generation(api) => {
                let call = CompletionCall {
                    entry: &self.entry,
                    api,
                    request_headers: &request_headers,
                    body: &body,
                    arrived,
                };
                complete(&call, recorder).await
            }
            Endpoint::Service => {
                let service_call = service_call(request, body)?;
                call(&self.entry, &request_headers, service_call, recorder).await
            }
            Endpoint::Models => self.models(&request_headers).await,
        }
    }

    async fn read_body(&self, data: Data<'_>) -> Result<Vec<u8>, Failure> {
        let limit = self.entry.settings.body_limit_bytes;
        match data.open(limit.bytes()).into_bytes().await {
            Ok(body) if body.is_complete() => Ok(body.into_inner()),
            Ok(_) => {
                let message = format!("is longer than {limit} bytes");
                Err(Failure::bad_input("body", message).with_status(413))
            }
            Err(error) => Err(Failure::bad_input(
                "body",
                format!("cannot be read: {error}"),
            )),
        }
    }

    async fn models(&self, request_headers: &RequestHeaders) -> Result<Reply, Failure> {
        let view = self.entry.subscriber.current().await?;
        self.entry.fleet.workspace(&view, request_headers)?;
        let names = view.table.rows.keys().filter_map(|key| match key {
            RowKey::Model(name) => Some(name),
            _ => None,
        });
        let models: Vec<_> = names
            .map(|name| json!({"id": name.as_str(), "object": "model", "owned_by": "lilacspindle"}))
            .collect();
        Ok(Reply::json(
            json!({"object": "list", "data": models}).to_string(),
        ))
    }
}

/// Builds a service call from a request and its body.
fn service_call(request: &Request<'_>, body: Vec<u8>) -> Result<ServiceCall, Failure> {
    let uri = request.uri();
    let path = uri.path().as_str();
    let rest = path.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if path.split('/').any(is_dot_segment) {
        return Err(Failure::bad_input("path", "has a segment of dots"));
    }
    let is_form = request
        .content_type()
        .is_some_and(|content_type| content_type.is_form());
    if is_form && body.starts_with(b"_method=") {
        // Rocket has used the field to override the method of the request.
        return Err(Failure::bad_input("body field _method", "is not supported"));
    }
    let query = uri.query().map(|query| format!("?{}", query.as_str()));
    let headers = request.headers().iter();
    Ok(ServiceCall {
        service: ServiceName::from(service),
        method: request.method().as_str().to_owned(),
        path_and_query: format!("/{path}{}", query.unwrap_or_default()),
        headers: headers
            .filter(|header| is_forwarded(header.name.as_str()))
            .map(|header| (header.name.to_string(), header.value.into_owned()))
            .collect(),
        body,
    })
}

/// Returns whether a path segment is `.` or `..`, also percent-encoded. A service that resolves
/// such segments would serve a path outside of the one that was checked.
fn is_dot_segment(segment: &str) -> bool {
    let segment = segment.to_ascii_lowercase().replace("%2e", ".");
    segment == "." || segment == ".."
}
