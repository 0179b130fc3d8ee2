//! Service stand-in, which accepts calls to any path and counts the runs of each idempotency key.

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

const BODY_LIMIT_MIB: u64 = 8;
/// Interval at which suspended calls check whether the service still hangs.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Body of `POST /standin/fault` of a service. It replaces all earlier faults; absent fields get
/// their defaults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFault {
    /// Delay between accepting a call and running it.
    pub delay_ms: u64,
    /// Delay between running a call and answering it.
    pub answer_delay_ms: u64,
    /// Answers with this status without running the call.
    pub fail_status: Option<u16>,
    /// Answers with this status after running the call.
    pub fail_after_run_status: Option<u16>,
    /// Accepts calls, but neither runs nor answers them.
    pub hang: bool,
}

/// Number of calls that ran; failed calls count if the failure came after the run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    pub total: u64,
    /// Calls in progress, without those that `hang` holds back.
    pub running: u64,
    pub without_key: u64,
    /// Runs per `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
pub(super) struct ServiceState {
    run_counts: Mutex<RunCounts>,
    fault: Mutex<ServiceFault>,
}

impl ServiceState {
    fn fault(&self) -> ServiceFault {
        let fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        fault.clone()
    }

    fn run_counts(&self) -> std::sync::MutexGuard<'_, RunCounts> {
        self.run_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a run and returns its number among the runs with the same key, or without a key.
    fn count_run(&self, key: Option<&str>) -> u64 {
        let mut runs = self.run_counts();
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

/// Returns the fixed routes and, ranked below them, a route for every other path.
pub(super) fn service_routes() -> Vec<Route> {
    let mut routes = routes![runs, fault, load, healthz, metrics];
    for method in [Method::Get, Method::Post, Method::Put, Method::Delete] {
        routes.push(Route::ranked(20, method, "/<path..>", CallHandler));
    }
    routes
}

/// Handles calls to any path.
#[derive(Debug, Clone)]
struct CallHandler;

#[rocket::async_trait]
impl Handler for CallHandler {
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
        tokio::time::sleep(HANG_POLL_INTERVAL).await;
    }
    let fault = state.fault();
    state.run_counts().running += 1;
    let answer = run(state, &fault, request, body).await;
    state.run_counts().running -= 1;
    answer
}

async fn run(
    state: &ServiceState,
    fault: &ServiceFault,
    request: &Request<'_>,
    body: &[u8],
) -> Result<Value, Status> {
    sleep_ms(fault.delay_ms).await;
    if let Some(status) = fault.fail_status {
        return Err(Status::new(status));
    }
    let key = request.headers().get_one("Idempotency-Key");
    let run = state.count_run(key);
    sleep_ms(fault.answer_delay_ms).await;
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

async fn sleep_ms(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

#[get("/standin/runs")]
fn runs(state: &State<Arc<ServiceState>>) -> Json<RunCounts> {
    Json(state.run_counts().clone())
}

#[post("/standin/fault", data = "<fault>")]
fn fault(state: &State<Arc<ServiceState>>, fault: Json<ServiceFault>) -> Json<Value> {
    *state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault.into_inner();
    Json(json!({}))
}

#[get("/load")]
fn load(state: &State<Arc<ServiceState>>) -> Json<Value> {
    Json(json!({"running": state.run_counts().running}))
}

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[get("/metrics")]
fn metrics(state: &State<Arc<ServiceState>>) -> String {
    let runs = state.run_counts();
    format!(
        "# TYPE calls_total counter\ncalls_total {}\n# TYPE running gauge\nrunning {}\n",
        runs.total, runs.running
    )
}
