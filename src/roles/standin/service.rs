//! A plain service that counts how often each keyed call ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rocket::data::ToByteUnit;
use rocket::http::{Method, Status};
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};
use rocket::serde::json::Json;
use rocket::{Data, State, get, post, routes};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Largest body that is read.
const BODY_LIMIT_MIB: u64 = 8;
/// How often a hung service looks whether it still hangs.
const HANG_POLL: Duration = Duration::from_millis(20);

/// The body of `POST /standin/fault` of a service; it replaces the former faults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFault {
    /// Time from accepting a call to running it.
    pub delay_ms: u64,
    /// Time from running a call to answering it.
    pub answer_delay_ms: u64,
    /// Answers with this status without running the call.
    pub fail_status: Option<u16>,
    /// Answers with this status after running the call.
    pub fail_after_run_status: Option<u16>,
    /// Accepts calls but neither runs nor answers them.
    pub hang: bool,
}

/// How often calls ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    pub total: u64,
    pub running: u64,
    pub without_key: u64,
    /// Runs per `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
pub(super) struct ServiceState {
    runs: Mutex<Runs>,
    fault: Mutex<ServiceFault>,
}

impl ServiceState {
    fn fault(&self) -> ServiceFault {
        let fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        fault.clone()
    }

    fn runs(&self) -> std::sync::MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a run and returns its number among those of its key, or of all without a key.
    fn run(&self, key: Option<&str>) -> u64 {
        let mut runs = self.runs();
        runs.total += 1;
        if let Some(key) = key {
            let count = runs.by_key.entry(key.to_owned()).or_default();
            *count += 1;
            return *count;
        }
        runs.without_key += 1;
        runs.without_key
    }
}

/// Returns the routes of a service: a few fixed ones, and every other path.
pub(super) fn service_routes() -> Vec<Route> {
    let mut routes = routes![runs, fault, load, healthz, metrics];
    for method in [Method::Get, Method::Post, Method::Put, Method::Delete] {
        routes.push(Route::ranked(20, method, "/<path..>", Call));
    }
    routes
}

/// Runs a call of any path.
#[derive(Debug, Clone)]
struct Call;

#[rocket::async_trait]
impl Handler for Call {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(state) = request.rocket().state::<Arc<ServiceState>>() else {
            return Outcome::error(Status::InternalServerError);
        };
        let Ok(body) = data.open(BODY_LIMIT_MIB.mebibytes()).into_bytes().await else {
            return Outcome::error(Status::BadRequest);
        };
        match call(state, request, &body).await {
            Ok(answer) => Outcome::from(request, Json(answer)),
            Err(status) => Outcome::error(status),
        }
    }
}

async fn call(state: &ServiceState, request: &Request<'_>, body: &[u8]) -> Result<Value, Status> {
    while state.fault().hang {
        tokio::time::sleep(HANG_POLL).await;
    }
    let fault = state.fault();
    state.runs().running += 1;
    let answer = run(state, &fault, request, body).await;
    state.runs().running -= 1;
    answer
}

async fn run(
    state: &ServiceState,
    fault: &ServiceFault,
    request: &Request<'_>,
    body: &[u8],
) -> Result<Value, Status> {
    pause(fault.delay_ms).await;
    if let Some(status) = fault.fail_status {
        return Err(Status::new(status));
    }
    let key = request.headers().get_one("Idempotency-Key");
    let run = state.run(key);
    pause(fault.answer_delay_ms).await;
    if let Some(status) = fault.fail_after_run_status {
        return Err(Status::new(status));
    }
    Ok(json!({
        "method": request.method().as_str(),
        "path": request.uri().to_string(),
        "key": key,
        "run": run,
        "body": String::from_utf8_lossy(body),
    }))
}

async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

#[get("/standin/runs")]
fn runs(state: &State<Arc<ServiceState>>) -> Json<Runs> {
    Json(state.runs().clone())
}

#[post("/standin/fault", data = "<fault>")]
fn fault(state: &State<Arc<ServiceState>>, fault: Json<ServiceFault>) -> Json<Value> {
    *state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault.into_inner();
    Json(json!({}))
}

#[get("/load")]
fn load(state: &State<Arc<ServiceState>>) -> Json<Value> {
    Json(json!({"running": state.runs().running}))
}

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[get("/metrics")]
fn metrics(state: &State<Arc<ServiceState>>) -> String {
    let runs = state.runs();
    format!(
        "# TYPE calls_total counter\ncalls_total {}\n# TYPE running gauge\nrunning {}\n",
        runs.total, runs.running
    )
}
