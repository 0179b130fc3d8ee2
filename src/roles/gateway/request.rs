//! Admission of callers' requests: resolves the route, workspace, service and deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};
use xxhash_rust::xxh3::Xxh3;

use super::Gateway;
use super::open_requests::OpenRequest;
use super::response::{Body, Refusal};
use crate::adapters::clock::monotonic_ms;
use crate::domain::document::{Access, EngineSpec, Index, Repeat, Route};
use crate::domain::fleet::Demand;
use crate::domain::quarantine::{Fingerprint, PartId};
use crate::platform::headers;

/// Time after which a caller should retry if the gateway has no document yet, or the route has no
/// service.
const NO_DOCUMENT_RETRY_MS: u64 = 500;
/// How long a request may wait for the first document. A gateway receives it within a second of its
/// start, even after a power loss on all machines.
const FIRST_DOCUMENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A request may wait for the first document for this fraction (one in N) of the caller's deadline.
/// Callers give up on a gateway that takes longer to read a request.
const FIRST_DOCUMENT_DIVISOR: u32 = 3;
/// Time after which a caller should retry if the gateway is stopping. The load balancer routes
/// callers to other gateways at most two seconds after the stop began.
const LEAVING_RETRY_MS: u64 = 600;
/// Time after which a caller should retry if the document cannot be confirmed; another gateway may
/// be able to.
const UNCONFIRMED_RETRY_MS: u64 = 300;
/// Assumed output tokens of requests without a token usage header.
const DEFAULT_OUTPUT_TOKENS: u64 = 200;

/// Highest priority value, which is the least urgent one, that engines accept.
const MAX_PRIORITY_RANK: u32 = 9;

/// An admitted request with its body, ready to be forwarded.
pub(super) struct Job {
    pub(super) id: Arc<str>,
    pub(super) host: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers that are forwarded to every instance.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// Version of the document by which the request was admitted.
    pub(super) document_version: u64,
    /// How long before the admission that document was last confirmed; `None` if it never was.
    pub(super) confirmed_age_ms: Option<u64>,
    /// Properties of the service's engines; `None` if its instances are not engines.
    pub(super) engine: Option<EngineSpec>,
    pub(super) demand: Demand,
    /// The parts of the prompt that other requests may share.
    pub(super) shared_parts: Vec<PartId>,
    /// The caller's estimate of the output tokens, or their upper bound if there is none.
    pub(super) hint_tokens: u64,
    pub(super) priority: u32,
    pub(super) arrived: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(super) deadline: Instant,
    pub(super) open: Arc<OpenRequest>,
}

impl Job {
    /// Returns true for a generation that may outlast the grace period of a planned stop and is
    /// worth a backup copy of its KV cache.
    pub(super) fn is_long(&self) -> bool {
        self.engine.is_some() && self.demand.is_long()
    }

    /// Returns true if the route declares that responses are streams of events.
    pub(super) fn is_stream(&self) -> bool {
        self.route.repeat == Repeat::Stream
    }

    /// Returns true if the request names the weights with which it is to be run. An instance with
    /// other weights refuses it with the same status as one that is not the expected instance.
    pub(super) fn names_weights(&self) -> bool {
        self.headers.contains_key(headers::EXPECTED_WEIGHTS)
    }

    /// Returns the milliseconds left until the deadline.
    pub(super) fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the milliseconds since the request arrived.
    pub(super) fn age_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns a hash that identifies the call across all attempts of its caller, which differ only
    /// in their request id. Identical calls of one workspace have the same hash.
    pub(super) fn call_hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.uri.to_string().as_bytes());
        hash.update(&self.body);
        for name in [
            headers::WORKSPACE,
            headers::PROMPT_PARTS,
            headers::TOKEN_USAGE,
            headers::LENGTH_HINT,
        ] {
            let value = self.headers.get(name);
            // The length separates adjacent values.
            hash.update(&value.map_or(0, HeaderValue::len).to_le_bytes());
            hash.update(value.map_or(&[], HeaderValue::as_bytes));
        }
        hash.digest()
    }

    /// Returns the fingerprint of the request, which is the same whenever its caller sends it again.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let mut hash = Xxh3::new();
        let header = |name| {
            let value = self.headers.get(name);
            value.map_or(&[][..], HeaderValue::as_bytes)
        };
        // Without a body, only its parts tell one prompt from another.
        let prompt = match self.body.is_empty() {
            true => header(headers::PROMPT_PARTS),
            false => &[],
        };
        for part in [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.uri.to_string().as_bytes(),
            header(headers::WORKSPACE),
            prompt,
        ] {
            // The length separates adjacent values.
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        hash.update(&self.body);
        Fingerprint(hash.digest())
    }

    /// Returns the request to send to the instance with this identity.
    pub(super) fn upstream_request(&self, identity: &str) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut sent = self.headers.clone();
        let left_ms = self.left_ms().to_string();
        let priority = self.priority.min(MAX_PRIORITY_RANK).to_string();
        if let (Some(_), Some(value)) = (self.engine, headers::value(&priority)) {
            sent.insert(headers::PRIORITY, value);
        }
        for (name, text) in [
            (headers::DEADLINE, left_ms.as_str()),
            (headers::EXPECTED_INSTANCE, identity),
        ] {
            if let Some(value) = headers::value(text) {
                sent.insert(name, value);
            }
        }
        *request.headers_mut() = sent;
        request
    }
}

/// A request that was admitted by its head; the body has not been read yet.
struct Admitted {
    route: Arc<Route>,
    service: Arc<str>,
    document_version: u64,
    confirmed_age_ms: Option<u64>,
    engine: Option<EngineSpec>,
    headers: HeaderMap,
    priority: u32,
    body_limit_bytes: usize,
}

impl Gateway {
    /// Handles one request of a caller.
    pub(super) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let id: Arc<str> = headers::text(request.headers(), &headers::REQUEST_ID)
            .unwrap_or_default()
            .into();
        self.wait_for_first_document(&request).await;
        let admitted = match self.admit(&request) {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(&id, None, &refusal, arrived),
        };
        let route = Arc::clone(&admitted.route);
        let expected_tokens = |route: &str, hint, most| {
            self.with_lengths(|lengths| lengths.expected(route, hint, most))
        };
        let open = self.open_requests.begin(&id, &route.name, arrived);
        let grace_expires = self.grace_expires();
        tokio::pin!(grace_expires);
        let leaving = || Refusal::not_run("leaving", LEAVING_RETRY_MS);
        let reading = tokio::select! {
            job = read(request, admitted, Arc::clone(&id), open, expected_tokens) => job,
            () = &mut grace_expires => Err(leaving()),
        };
        // A request whose body has ended this late in a planned stop may outlast it.
        let reading = reading.and_then(|job| match self.is_closed() {
            true => Err(leaving()),
            false => Ok(job),
        });
        let job = match reading {
            Ok(job) => job,
            Err(refusal) => return self.refuse(&id, Some(&route), &refusal, arrived),
        };
        self.with_budget(&job.service, |budget| budget.request(monotonic_ms()));
        if job.is_long() && *self.stopping.borrow() {
            return self.refuse(&id, Some(&route), &leaving(), arrived);
        }
        let forwarding = async {
            match (job.route.repeat, job.engine) {
                (Repeat::Stream, Some(engine)) => Arc::clone(&self).generate(job, engine).await,
                _ => self.forward_call(job).await,
            }
        };
        let result = tokio::select! {
            result = forwarding => result,
            () = &mut grace_expires => {
                Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "grace_expired"))
            }
        };
        match result {
            Ok(response) => response,
            Err(refusal) => self.refuse(&id, Some(&route), &refusal, arrived),
        }
    }

    /// Waits for the first document, without which no request can be routed.
    ///
    /// After a power loss, entries are up before control has elected a leader. Callers that are
    /// refused in that time would have used up their attempts by the time there is one.
    async fn wait_for_first_document(&self, request: &Request<Incoming>) {
        if self.index.borrow().is_some() {
            return;
        }
        let wanted_ms = headers::number(request.headers(), &headers::DEADLINE);
        let limit = wanted_ms.map_or(FIRST_DOCUMENT_TIMEOUT, |wanted_ms| {
            FIRST_DOCUMENT_TIMEOUT.min(Duration::from_millis(wanted_ms) / FIRST_DOCUMENT_DIVISOR)
        });
        let mut index = self.index.subscribe();
        // If there is still no document, `admit` refuses the request.
        let _ = timeout(limit, index.wait_for(Option::is_some)).await;
    }

    /// Logs and counts a refusal and returns its response.
    fn refuse(
        &self,
        id: &str,
        route: Option<&Arc<Route>>,
        refusal: &Refusal,
        arrived: Instant,
    ) -> Response<Body> {
        let route = route.map_or("", |route| &*route.name);
        let age_ms = u64::try_from(arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.metrics.count_refusal(refusal.code);
        let version = self.index.borrow().as_ref().map(|index| index.version());
        tracing::info!(
            request = id,
            route,
            status = refusal.status.as_u16(),
            code = refusal.code,
            retry_after_ms = refusal.retry_after_ms,
            document = version,
            confirmed_age_ms = self.confirmed_age_ms(),
            age_ms,
            "refused"
        );
        refusal.to_response()
    }

    /// Resolves the route and service of a request and checks the caller's key.
    fn admit(&self, request: &Request<Incoming>) -> Result<Admitted, Refusal> {
        if self.is_closed() {
            return Err(Refusal::not_run("leaving", LEAVING_RETRY_MS));
        }
        let Some(index) = self.index.borrow().clone() else {
            return Err(Refusal::not_run("no_document", NO_DOCUMENT_RETRY_MS));
        };
        let caller = request.headers();
        let host = headers::text(caller, &header::HOST).or_else(|| request.uri().host());
        let path = request.uri().path();
        let is_confirmed = self.is_confirmed();
        let unconfirmed = || Refusal::not_run("document_unconfirmed", UNCONFIRMED_RETRY_MS);
        let route = match host.and_then(|host| index.route(host, path)) {
            Some(route) => route,
            None if is_confirmed => {
                return Err(Refusal::denied(StatusCode::NOT_FOUND, "no_route"));
            }
            // The route may have been added since.
            None => return Err(unconfirmed()),
        };
        let access = index.access(route, headers::key(caller));
        let keyed = !index.document().workspaces.is_empty() && !route.anonymous;
        if (keyed && !is_confirmed) || self.is_unconfirmed_by_control() {
            return Err(unconfirmed());
        }
        let mut passed = headers::passed_on(caller);
        let mut priority = route.priority;
        match access {
            Access::Denied => return Err(Refusal::denied(StatusCode::UNAUTHORIZED, "unknown_key")),
            Access::Anonymous => {}
            Access::Workspace(workspace) => {
                priority = workspace.priority.unwrap_or(priority);
                if let Some(value) = headers::value(workspace.name.as_str()) {
                    passed.insert(headers::WORKSPACE, value);
                }
            }
        }
        let Some(service) = Index::choose_service(route, rand::random()) else {
            return Err(Refusal::not_run("no_service", NO_DOCUMENT_RETRY_MS));
        };
        Ok(Admitted {
            route: Arc::clone(route),
            service: Arc::clone(service),
            document_version: index.version(),
            confirmed_age_ms: self.confirmed_age_ms(),
            engine: index.service(service).and_then(|service| service.engine),
            headers: passed,
            priority,
            body_limit_bytes: index.document().limits.body_bytes,
        })
    }
}

/// Reads the body of a request. The deadline runs from the arrival of the request.
/// `expected_tokens` returns the expected output tokens for a route name, the caller's hint and the
/// upper bound.
async fn read(
    request: Request<Incoming>,
    admitted: Admitted,
    id: Arc<str>,
    open: OpenRequest,
    expected_tokens: impl Fn(&str, u64, u64) -> u64,
) -> Result<Job, Refusal> {
    let (head, body) = request.into_parts();
    let host = headers::text(&head.headers, &header::HOST).or_else(|| head.uri.host());
    let host: Arc<str> = host.unwrap_or_default().to_ascii_lowercase().into();
    let route = admitted.route;
    let arrived = open.arrived();
    let wanted_ms = headers::number(&head.headers, &headers::DEADLINE).unwrap_or(u64::MAX);
    let deadline = arrived + Duration::from_millis(wanted_ms.min(route.timeout_ms));
    let body = Limited::new(body, admitted.body_limit_bytes).collect();
    let body = match timeout_at(deadline, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(Refusal::denied(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
            ));
        }
        Ok(Err(_)) => return Err(Refusal::denied(StatusCode::BAD_REQUEST, "body_unreadable")),
        Err(_) => return Err(Refusal::denied(StatusCode::REQUEST_TIMEOUT, "body_late")),
    };
    let (prompt_tokens, most_output) =
        headers::token_usage(&head.headers).unwrap_or((0, DEFAULT_OUTPUT_TOKENS));
    let hint = headers::number(&head.headers, &headers::LENGTH_HINT);
    let hint_tokens = hint.unwrap_or(most_output).min(most_output);
    let output_tokens = expected_tokens(&route.name, hint_tokens, most_output);
    let gap_target_ms = route.gap_target_ms;
    Ok(Job {
        id,
        host,
        method: head.method,
        uri: path_only(&head.uri),
        headers: admitted.headers,
        body,
        route,
        service: admitted.service,
        document_version: admitted.document_version,
        confirmed_age_ms: admitted.confirmed_age_ms,
        engine: admitted.engine,
        demand: Demand {
            prompt_tokens,
            output_tokens,
            gap_target_ms,
        },
        shared_parts: headers::shared_prompt_parts(&head.headers),
        hint_tokens,
        priority: admitted.priority,
        arrived,
        deadline,
        open: Arc::new(open),
    })
}

/// Strips scheme and authority from a URI in absolute form, as instances expect only path and
/// query.
fn path_only(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) if uri.scheme().is_some() => Uri::from(path.clone()),
        _ => uri.clone(),
    }
}
