//! The engine's HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use rocket::Either::{Left, Right};
use rocket::http::{ContentType, Status};
use rocket::response::stream::ByteStream;
use rocket::serde::json::Json;
use rocket::{Route, State, delete, get, post, routes};
use serde_json::{Value, json};
use tokio::time::timeout;

use super::api::CompletionBody;
use super::fault::EngineFault;
use super::orders::Order;
use super::sequence::{EndReason, SequenceRequest};
use super::shared::{NewStream, ReaderGuard, Shared, Stream, store_ms};
use super::tokens::{count_tokens, prefix_hashes};

/// A comment is sent on a silent stream this often, so that a closed connection is noticed.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Tokens written at once when a reader is behind; it bounds the memory of a resumed stream.
const TOKENS_AT_ONCE: u32 = 256;
/// How often a hung engine looks whether it still hangs.
const HANG_POLL: Duration = Duration::from_millis(20);

type Failure = (Status, Json<Value>);
type Answer = rocket::Either<Sse, Json<Value>>;
type Sse = (
    ContentType,
    ByteStream<futures::stream::BoxStream<'static, String>>,
);

/// Returns the routes of an engine.
pub(super) fn engine_routes() -> Vec<Route> {
    routes![
        completions,
        chat_completions,
        resume,
        cancel,
        pause,
        unpause,
        models,
        load,
        cache_events,
        orders,
        metrics,
        healthz,
        fault
    ]
}

#[post("/v1/completions", data = "<body>")]
async fn completions(
    shared: &State<Arc<Shared>>,
    body: Json<CompletionBody>,
) -> Result<Answer, Failure> {
    generate(shared, body.into_inner(), false).await
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat_completions(
    shared: &State<Arc<Shared>>,
    body: Json<CompletionBody>,
) -> Result<Answer, Failure> {
    generate(shared, body.into_inner(), true).await
}

async fn generate(
    shared: &Arc<Shared>,
    body: CompletionBody,
    chat: bool,
) -> Result<Answer, Failure> {
    while_hung(shared).await;
    let stream = submit(shared, &body, chat)?;
    let guard = ReaderGuard::new(shared.clone(), stream);
    if body.stream {
        return Ok(Left(sse(guard, 0)));
    }
    whole(guard).await.map(Right)
}

fn submit(shared: &Arc<Shared>, body: &CompletionBody, chat: bool) -> Result<Arc<Stream>, Failure> {
    let Some(prompt) = body.prompt_text() else {
        let message = "a prompt or messages are needed";
        return Err(failure(Status::BadRequest, message));
    };
    let version = {
        let state = shared.lock();
        if state.faults.refuse {
            return Err(failure(Status::ServiceUnavailable, "no new generations"));
        }
        let version = state.models.version(store_ms(), &body.model);
        version.map(str::to_owned)
    };
    let Some(version) = version else {
        let message = format!("model {} is not loaded", body.model);
        return Err(failure(Status::NotFound, &message));
    };
    let request = SequenceRequest {
        priority: body.priority.min(9),
        prompt_tokens: count_tokens(&prompt).max(1),
        max_tokens: body.max_tokens(),
        target_tokens: body.target_tokens(shared.options.engine.seed, &prompt),
        prefix: prefix_hashes(&prompt),
    };
    let name = body
        .stream_id
        .clone()
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let new = NewStream {
        name,
        model: body.model.clone(),
        version,
        prompt,
        chat,
        request,
    };
    shared.submit(new).map_err(|too_large| {
        let message = format!(
            "the prompt has {} tokens and the engine memory for {}",
            too_large.prompt_tokens, too_large.capacity_tokens
        );
        failure(Status::BadRequest, &message)
    })
}

/// Waits for the end of a generation and returns the whole answer.
async fn whole(guard: ReaderGuard) -> Result<Json<Value>, Failure> {
    let mut progress = guard.stream.subscribe();
    let last = match progress.wait_for(|progress| progress.end.is_some()).await {
        Ok(progress) => *progress,
        Err(_) => return Err(failure(Status::InternalServerError, "the engine stopped")),
    };
    while_hung(guard.shared()).await;
    match last.end {
        Some(reason @ (EndReason::Stop | EndReason::Length)) => {
            Ok(Json(guard.stream.whole(last.produced, reason.as_str())))
        }
        Some(EndReason::Cancelled) => Err(failure(Status::Gone, "the generation was cancelled")),
        _ => Err(failure(
            Status::InternalServerError,
            "the generation was lost",
        )),
    }
}

/// Returns the tokens from an offset as server-sent events, up to the end of the generation.
fn sse(guard: ReaderGuard, from: u32) -> Sse {
    let progress = guard.stream.subscribe();
    let state = Some((guard, progress, from));
    let events = futures::stream::unfold(state, |state| async move {
        let (guard, mut progress, offset) = state?;
        loop {
            let now = *progress.borrow_and_update();
            if guard.shared().lock().faults.hang {
                tokio::time::sleep(HANG_POLL).await;
                continue;
            }
            if offset < now.produced {
                let end = now.produced.min(offset + TOKENS_AT_ONCE);
                let events = (offset..end)
                    .map(|offset| guard.stream.token_event(offset))
                    .collect::<String>();
                return Some((events, Some((guard, progress, end))));
            }
            match now.end {
                Some(reason @ (EndReason::Stop | EndReason::Length)) => {
                    let events = guard.stream.end_events(now.produced, reason.as_str());
                    return Some((events, None));
                }
                // Without its end, the stream can't be taken for a complete answer.
                Some(EndReason::Cancelled | EndReason::Crashed) => return None,
                None => {}
            }
            if timeout(COMMENT_INTERVAL, progress.changed()).await.is_err() {
                return Some((": waiting\n\n".to_owned(), Some((guard, progress, offset))));
            }
        }
    });
    let stream: futures::stream::BoxStream<'static, String> = Box::pin(events);
    (ContentType::EventStream, ByteStream(stream))
}

#[get("/v1/streams/<id>?<from>")]
async fn resume(shared: &State<Arc<Shared>>, id: &str, from: Option<u32>) -> Result<Sse, Failure> {
    while_hung(shared).await;
    let stream = find(shared, id)?;
    match stream.progress().end {
        Some(EndReason::Cancelled | EndReason::Crashed) => Err(failure(
            Status::Gone,
            "the generation was lost or cancelled",
        )),
        _ => Ok(sse(
            ReaderGuard::new(shared.inner().clone(), stream),
            from.unwrap_or(0),
        )),
    }
}

#[delete("/v1/streams/<id>")]
async fn cancel(shared: &State<Arc<Shared>>, id: &str) -> Result<Json<Value>, Failure> {
    while_hung(shared).await;
    let stream = find(shared, id)?;
    let stopped = shared.stop(&stream, EndReason::Cancelled);
    let produced = stream.progress().produced;
    Ok(Json(json!({"cancelled": stopped, "produced": produced})))
}

#[post("/v1/streams/<id>/pause")]
fn pause(shared: &State<Arc<Shared>>, id: &str) -> Result<Json<Value>, Failure> {
    let stream = find(shared, id)?;
    let paused = shared.lock().engine.pause(stream.id);
    Ok(Json(json!({"paused": paused})))
}

#[post("/v1/streams/<id>/continue")]
fn unpause(shared: &State<Arc<Shared>>, id: &str) -> Result<Json<Value>, Failure> {
    let stream = find(shared, id)?;
    let now_us = shared.now_us();
    let continued = shared.lock().engine.unpause(now_us, stream.id);
    shared.notify();
    Ok(Json(json!({"continued": continued})))
}

#[get("/v1/models")]
async fn models(shared: &State<Arc<Shared>>) -> Json<Value> {
    while_hung(shared).await;
    let now_ms = store_ms();
    let state = shared.lock();
    let data: Vec<Value> = state
        .models
        .list(now_ms)
        .into_iter()
        .map(|entry| {
            json!({"id": entry.model, "object": "model", "version": entry.version,
                   "ready": entry.ready})
        })
        .collect();
    Json(
        json!({"object": "list", "data": data, "fence": state.models.fence(),
                "role": state.models.role()}),
    )
}

#[get("/load")]
async fn load(shared: &State<Arc<Shared>>) -> Json<Value> {
    while_hung(shared).await;
    let state = shared.lock();
    Json(json!(state.engine.reported_load(shared.now_us())))
}

#[get("/cache_events?<after>")]
async fn cache_events(shared: &State<Arc<Shared>>, after: Option<u64>) -> Json<Value> {
    while_hung(shared).await;
    let state = shared.lock();
    let events = state
        .engine
        .cache_events(after.unwrap_or(0), shared.now_us());
    Json(json!({"events": events}))
}

#[post("/orders", data = "<order>")]
async fn orders(shared: &State<Arc<Shared>>, order: Json<Order>) -> Result<Json<Value>, Failure> {
    while_hung(shared).await;
    let mut state = shared.lock();
    match state.models.order(store_ms(), &order) {
        Ok(()) => Ok(Json(json!({"fence": state.models.fence()}))),
        Err(old) => Err((
            Status::Conflict,
            Json(
                json!({"error": {"code": "old_fence", "message": "the fencing number is old"},
                        "fence": old.current}),
            ),
        )),
    }
}

#[get("/metrics")]
fn metrics(shared: &State<Arc<Shared>>) -> String {
    super::metrics::render(&shared.lock().engine)
}

#[get("/healthz")]
async fn healthz(shared: &State<Arc<Shared>>) -> &'static str {
    while_hung(shared).await;
    "ok\n"
}

#[post("/standin/fault", data = "<fault>")]
fn fault(shared: &State<Arc<Shared>>, fault: Json<EngineFault>) -> Json<Value> {
    shared.inject(fault.into_inner());
    Json(json!({}))
}

/// Returns once the engine does not hang.
async fn while_hung(shared: &Shared) {
    while shared.lock().faults.hang {
        tokio::time::sleep(HANG_POLL).await;
    }
}

fn find(shared: &Arc<Shared>, id: &str) -> Result<Arc<Stream>, Failure> {
    let found = shared.lock().streams.get(id).cloned();
    found.ok_or_else(|| failure(Status::NotFound, "no such stream"))
}

fn failure(status: Status, message: &str) -> Failure {
    (
        status,
        Json(json!({"error": {"code": status.code, "message": message}})),
    )
}
