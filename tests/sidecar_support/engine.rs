//! A fake engine over HTTP. The body of each request is a script that says how the engine behaves.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lilacspindle::adapters::http::{self, Server};
use rocket::http::{ContentType, Status};
use rocket::response::stream::ByteStream;
use rocket::serde::json::Json;
use rocket::{State, delete, get, post, routes};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Scripted behaviour of a generation.
#[derive(Debug, Clone, Deserialize)]
pub struct Script {
    #[serde(default)]
    stream_id: String,
    #[serde(default)]
    model: String,
    tokens: u32,
    #[serde(default)]
    step_ms: u64,
    /// The first connection closes after this many tokens.
    break_after: Option<u32>,
    /// The first connection goes silent after this many tokens.
    silent_after: Option<u32>,
    /// Every resume of the generation is answered with 404.
    #[serde(default)]
    forget: bool,
    /// Every resume of the generation is answered with 503.
    #[serde(default)]
    refuse_resume: bool,
}

struct Run {
    script: Script,
    began: Instant,
    cancelled: bool,
}

#[derive(Default)]
pub struct EngineState {
    runs: Mutex<BTreeMap<String, Run>>,
    /// Stream ids of the generations that were started, in order, including repeats.
    pub started: Mutex<Vec<String>>,
    pub cancelled: Mutex<Vec<String>>,
    pub orders: Mutex<Vec<Value>>,
    pub versions: Mutex<Vec<String>>,
    /// Number of plain calls that ran.
    pub calls: Mutex<u32>,
}

pub struct FakeEngine {
    pub server: Server,
    pub state: Arc<EngineState>,
}

pub async fn fake_engine() -> FakeEngine {
    let state = Arc::new(EngineState::default());
    state.versions.lock().unwrap().push("v1".to_owned());
    let managed = Arc::clone(&state);
    let server = http::start(([127, 0, 0, 1], 0).into(), 1_000_000, |rocket| {
        let routes = routes![completions, resume, cancel, models, load, orders, echo, cut];
        rocket.manage(managed).mount("/", routes)
    });
    FakeEngine {
        server: server.await.unwrap(),
        state,
    }
}

type Sse = (
    ContentType,
    ByteStream<futures::stream::BoxStream<'static, String>>,
);

#[post("/v1/completions", data = "<script>")]
fn completions(state: &State<Arc<EngineState>>, script: Json<Script>) -> Result<Sse, Status> {
    let script = script.into_inner();
    if script.model != "tutor@v1" {
        return Err(Status::NotFound);
    }
    let id = script.stream_id.clone();
    state.started.lock().unwrap().push(id.clone());
    let run = Run {
        script: script.clone(),
        began: Instant::now(),
        cancelled: false,
    };
    state.runs.lock().unwrap().insert(id.clone(), run);
    Ok(stream(
        Arc::clone(state),
        id,
        0,
        script.break_after,
        script.silent_after,
    ))
}

#[get("/v1/streams/<id>?<from>")]
fn resume(state: &State<Arc<EngineState>>, id: &str, from: u32) -> Result<Sse, Status> {
    let runs = state.runs.lock().unwrap();
    match runs.get(id) {
        Some(run) if run.script.refuse_resume => Err(Status::ServiceUnavailable),
        Some(run) if !run.cancelled && !run.script.forget => {
            Ok(stream(Arc::clone(state), id.to_owned(), from, None, None))
        }
        _ => Err(Status::NotFound),
    }
}

fn stream(
    state: Arc<EngineState>,
    id: String,
    from: u32,
    break_after: Option<u32>,
    silent_after: Option<u32>,
) -> Sse {
    let events = futures::stream::unfold(Some(from), move |offset| {
        let (state, id) = (Arc::clone(&state), id.clone());
        async move {
            let offset = offset?;
            loop {
                if silent_after.is_some_and(|after| offset >= after) {
                    std::future::pending::<()>().await;
                }
                if break_after.is_some_and(|after| offset >= after) {
                    return None;
                }
                match produced(&state, &id) {
                    None => return None,
                    Some((produced, _)) if produced > offset => {
                        let chunk = json!({"choices": [{"text": format!("t{offset} ")}]});
                        return Some((format!("data: {chunk}\n\n"), Some(offset + 1)));
                    }
                    Some((_, true)) => {
                        let chunk = json!({"choices": [{"text": "", "finish_reason": "stop"}]});
                        return Some((format!("data: {chunk}\n\ndata: [DONE]\n\n"), None));
                    }
                    Some(_) => sleep(Duration::from_millis(1)).await,
                }
            }
        }
    });
    (ContentType::EventStream, ByteStream(Box::pin(events)))
}

/// Returns the number of tokens produced so far and whether these are all, or `None` if the
/// generation is unknown or cancelled.
fn produced(state: &EngineState, id: &str) -> Option<(u32, bool)> {
    let runs = state.runs.lock().unwrap();
    let run = runs.get(id).filter(|run| !run.cancelled)?;
    let elapsed_ms = u64::try_from(run.began.elapsed().as_millis()).unwrap();
    let steps = elapsed_ms.checked_div(run.script.step_ms);
    let produced = steps.map_or(run.script.tokens, |steps| {
        run.script.tokens.min(u32::try_from(steps).unwrap())
    });
    Some((produced, produced == run.script.tokens))
}

#[delete("/v1/streams/<id>")]
fn cancel(state: &State<Arc<EngineState>>, id: &str) -> Status {
    state.cancelled.lock().unwrap().push(id.to_owned());
    match state.runs.lock().unwrap().get_mut(id) {
        Some(run) => {
            run.cancelled = true;
            Status::Ok
        }
        None => Status::NotFound,
    }
}

#[get("/v1/models")]
fn models(state: &State<Arc<EngineState>>) -> Json<Value> {
    let versions = state.versions.lock().unwrap();
    let item = |version: &String| json!({"id": "tutor", "version": version, "ready": true});
    Json(json!({"data": versions.iter().map(item).collect::<Vec<_>>()}))
}

#[get("/load")]
fn load() -> Json<Value> {
    Json(json!({}))
}

#[post("/orders", data = "<order>")]
fn orders(state: &State<Arc<EngineState>>, order: Json<Value>) -> Status {
    let version = order["version"].as_str().unwrap_or_default().to_owned();
    state.orders.lock().unwrap().push(order.into_inner());
    state.versions.lock().unwrap().push(version);
    Status::Ok
}

#[post("/echo", data = "<body>")]
fn echo(state: &State<Arc<EngineState>>, body: String) -> String {
    *state.calls.lock().unwrap() += 1;
    body
}

/// Runs the call, but answers only after the caller's deadline.
#[post("/cut", data = "<body>")]
async fn cut(state: &State<Arc<EngineState>>, body: String) -> String {
    *state.calls.lock().unwrap() += 1;
    sleep(Duration::from_secs(3)).await;
    body
}
