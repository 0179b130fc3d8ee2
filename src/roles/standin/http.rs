//! HTTP routes of the engine stand-in.

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
use super::shared::{EngineServer, NewStream, ReaderGuard, Stream, weight_store_now_ms};
use super::tokens::{count_tokens, prefix_hashes};

/// Interval of comments on a stream without new tokens; the failed write of one reveals a closed
/// connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound on the tokens of one write, which limits the memory of a resumed stream.
const MAX_TOKENS_PER_WRITE: u32 = 256;
/// Interval at which suspended requests check whether the engine still hangs.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

type ErrorResponse = (Status, Json<Value>);
type CompletionResponse = rocket::Either<EventStream, Json<Value>>;
type EventStream = (
    ContentType,
    ByteStream<futures::stream::BoxStream<'static, String>>,
);

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
    server: &State<Arc<EngineServer>>,
    body: Json<CompletionBody>,
) -> Result<CompletionResponse, ErrorResponse> {
    generate(server, body.into_inner(), false).await
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat_completions(
    server: &State<Arc<EngineServer>>,
    body: Json<CompletionBody>,
) -> Result<CompletionResponse, ErrorResponse> {
    generate(server, body.into_inner(), true).await
}

async fn generate(
    server: &Arc<EngineServer>,
    body: CompletionBody,
    chat: bool,
) -> Result<CompletionResponse, ErrorResponse> {
    wait_while_hung(server).await;
    let stream = submit(server, &body, chat)?;
    let guard = ReaderGuard::new(server.clone(), stream);
    if body.stream {
        return Ok(Left(event_stream(guard, 0)));
    }
    wait_for_completion(guard).await.map(Right)
}

fn submit(
    server: &Arc<EngineServer>,
    body: &CompletionBody,
    chat: bool,
) -> Result<Arc<Stream>, ErrorResponse> {
    let Some(prompt) = body.prompt_text() else {
        let message = "the body has neither a prompt nor messages";
        return Err(error_response(Status::BadRequest, message));
    };
    let version = {
        let state = server.lock();
        if state.faults.refuse {
            return Err(error_response(
                Status::ServiceUnavailable,
                "new generations are refused by an injected fault",
            ));
        }
        let version = state
            .models
            .ready_version(weight_store_now_ms(), &body.model);
        version.map(str::to_owned)
    };
    let Some(version) = version else {
        let message = format!("model {} is not loaded or not ready", body.model);
        return Err(error_response(Status::NotFound, &message));
    };
    let request = SequenceRequest {
        priority: body.priority.min(9),
        prompt_tokens: count_tokens(&prompt).max(1),
        max_tokens: body.max_tokens(),
        target_tokens: body.target_tokens(server.options.engine.seed, &prompt),
        block_hashes: prefix_hashes(&prompt),
    };
    let name = body
        .stream_id
        .clone()
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let new_stream = NewStream {
        name,
        model: body.model.clone(),
        version,
        prompt,
        chat,
        request,
    };
    server.submit(new_stream).map_err(|too_large| {
        let message = format!(
            "the prompt of {} tokens and one output token exceed the engine memory of {} tokens",
            too_large.prompt_tokens, too_large.capacity_tokens
        );
        error_response(Status::BadRequest, &message)
    })
}

/// Waits for the end of a generation and returns its complete output.
async fn wait_for_completion(guard: ReaderGuard) -> Result<Json<Value>, ErrorResponse> {
    let mut progress = guard.stream.subscribe();
    let final_progress = match progress.wait_for(|progress| progress.end.is_some()).await {
        Ok(progress) => *progress,
        Err(_) => {
            return Err(error_response(
                Status::InternalServerError,
                "the engine stopped before the generation ended",
            ));
        }
    };
    wait_while_hung(guard.server()).await;
    match final_progress.end {
        Some(reason @ (EndReason::Stop | EndReason::Length)) => Ok(Json(
            guard
                .stream
                .completion(final_progress.produced, reason.as_str()),
        )),
        Some(EndReason::Cancelled) => {
            Err(error_response(Status::Gone, "the generation was cancelled"))
        }
        _ => Err(error_response(
            Status::InternalServerError,
            "the generation was dropped by an injected fault",
        )),
    }
}

/// Returns the tokens from offset `from` to the end of the generation as server-sent events.
fn event_stream(guard: ReaderGuard, from: u32) -> EventStream {
    let progress = guard.stream.subscribe();
    let state = Some((guard, progress, from));
    let events = futures::stream::unfold(state, |state| async move {
        let (guard, mut progress, offset) = state?;
        loop {
            let current = *progress.borrow_and_update();
            if guard.server().lock().faults.hang {
                tokio::time::sleep(HANG_POLL_INTERVAL).await;
                continue;
            }
            if offset < current.produced {
                let end = current.produced.min(offset + MAX_TOKENS_PER_WRITE);
                let events = (offset..end)
                    .map(|offset| guard.stream.token_event(offset))
                    .collect::<String>();
                return Some((events, Some((guard, progress, end))));
            }
            match current.end {
                Some(reason @ (EndReason::Stop | EndReason::Length)) => {
                    let events = guard.stream.end_events(current.produced, reason.as_str());
                    return Some((events, None));
                }
                // Without `[DONE]`, clients cannot take the stream for a complete output.
                Some(EndReason::Cancelled | EndReason::Crashed) => return None,
                None => {}
            }
            if timeout(KEEP_ALIVE_INTERVAL, progress.changed())
                .await
                .is_err()
            {
                return Some((": waiting\n\n".to_owned(), Some((guard, progress, offset))));
            }
        }
    });
    let stream: futures::stream::BoxStream<'static, String> = Box::pin(events);
    (ContentType::EventStream, ByteStream(stream))
}

#[get("/v1/streams/<id>?<from>")]
async fn resume(
    server: &State<Arc<EngineServer>>,
    id: &str,
    from: Option<u32>,
) -> Result<EventStream, ErrorResponse> {
    wait_while_hung(server).await;
    let stream = find_stream(server, id)?;
    match stream.progress().end {
        Some(EndReason::Cancelled | EndReason::Crashed) => Err(error_response(
            Status::Gone,
            "the generation was cancelled or dropped by an injected fault",
        )),
        _ => Ok(event_stream(
            ReaderGuard::new(server.inner().clone(), stream),
            from.unwrap_or(0),
        )),
    }
}

#[delete("/v1/streams/<id>")]
async fn cancel(server: &State<Arc<EngineServer>>, id: &str) -> Result<Json<Value>, ErrorResponse> {
    wait_while_hung(server).await;
    let stream = find_stream(server, id)?;
    let stopped = server.stop(&stream, EndReason::Cancelled);
    let produced = stream.progress().produced;
    Ok(Json(json!({"cancelled": stopped, "produced": produced})))
}

#[post("/v1/streams/<id>/pause")]
fn pause(server: &State<Arc<EngineServer>>, id: &str) -> Result<Json<Value>, ErrorResponse> {
    let stream = find_stream(server, id)?;
    let paused = server.lock().engine.pause(stream.id);
    Ok(Json(json!({"paused": paused})))
}

#[post("/v1/streams/<id>/continue")]
fn unpause(server: &State<Arc<EngineServer>>, id: &str) -> Result<Json<Value>, ErrorResponse> {
    let stream = find_stream(server, id)?;
    let now_us = server.now_us();
    let continued = server.lock().engine.unpause(now_us, stream.id);
    server.notify();
    Ok(Json(json!({"continued": continued})))
}

#[get("/v1/models")]
async fn models(server: &State<Arc<EngineServer>>) -> Json<Value> {
    wait_while_hung(server).await;
    let now_ms = weight_store_now_ms();
    let state = server.lock();
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
async fn load(server: &State<Arc<EngineServer>>) -> Json<Value> {
    wait_while_hung(server).await;
    let state = server.lock();
    Json(json!(state.engine.reported_load(server.now_us())))
}

#[get("/cache_events?<after>")]
async fn cache_events(server: &State<Arc<EngineServer>>, after: Option<u64>) -> Json<Value> {
    wait_while_hung(server).await;
    let state = server.lock();
    let events = state
        .engine
        .cache_events(after.unwrap_or(0), server.now_us());
    Json(json!({"events": events}))
}

#[post("/orders", data = "<order>")]
async fn orders(
    server: &State<Arc<EngineServer>>,
    order: Json<Order>,
) -> Result<Json<Value>, ErrorResponse> {
    wait_while_hung(server).await;
    let mut state = server.lock();
    match state.models.apply(weight_store_now_ms(), &order) {
        Ok(()) => Ok(Json(json!({"fence": state.models.fence()}))),
        Err(old) => Err((
            Status::Conflict,
            Json(json!({"error": {"code": "old_fence",
                                  "message": "the fencing number is lower than an earlier one"},
                        "fence": old.current})),
        )),
    }
}

#[get("/metrics")]
fn metrics(server: &State<Arc<EngineServer>>) -> String {
    super::metrics::render(&server.lock().engine)
}

#[get("/healthz")]
async fn healthz(server: &State<Arc<EngineServer>>) -> &'static str {
    wait_while_hung(server).await;
    "ok\n"
}

#[post("/standin/fault", data = "<fault>")]
fn fault(server: &State<Arc<EngineServer>>, fault: Json<EngineFault>) -> Json<Value> {
    server.inject(fault.into_inner());
    Json(json!({}))
}

/// Returns as soon as the engine does not hang.
async fn wait_while_hung(server: &EngineServer) {
    while server.lock().faults.hang {
        tokio::time::sleep(HANG_POLL_INTERVAL).await;
    }
}

fn find_stream(server: &Arc<EngineServer>, id: &str) -> Result<Arc<Stream>, ErrorResponse> {
    let found = server.lock().streams.get(id).cloned();
    found.ok_or_else(|| {
        let message = format!("stream {id} does not exist or has expired");
        error_response(Status::NotFound, &message)
    })
}

fn error_response(status: Status, message: &str) -> ErrorResponse {
    (
        status,
        Json(json!({"error": {"code": status.code, "message": message}})),
    )
}
