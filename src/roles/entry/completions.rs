//! Completion requests, answered as one JSON object or as a stream of server-sent events.

use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::{self, BoxStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::Instrument;

use super::claim::ClaimKey;
use super::core::Entry;
use super::events::{COMMENT, EventId, ResponseFormat, error_event};
use super::failure::Failure;
use super::generation::{Generation, Job, Step};
use super::input::{RequestHeaders, header};
use super::metrics::OutcomeRecorder;
use super::params::generation_params;
use super::prompt::Prompt;
use super::recovery;
use super::reply::Reply;
use crate::adapters::clock::unix_ms;
use crate::domain::state::View;
use crate::model::WorkspaceName;
use crate::rpc::sidecar::Api;

/// Output limit in tokens if neither the request nor the workspace sets one.
const DEFAULT_MAX_TOKENS: u32 = 4_096;
/// Interval after which a comment is sent on a silent stream. A closed connection is noticed only
/// when something is sent.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// A completion request as it was received.
pub(super) struct CompletionCall<'a> {
    pub entry: &'a Arc<Entry>,
    pub api: Api,
    pub request_headers: &'a RequestHeaders,
    pub body: &'a [u8],
    pub arrived: Instant,
}

/// Answers a completion request: starts a generation, or resumes one after the event named in
/// `Last-Event-ID`.
pub(super) async fn complete(
    call: &CompletionCall<'_>,
    recorder: &mut OutcomeRecorder,
) -> Result<Reply, Failure> {
    let last_event = call
        .request_headers
        .last_event
        .as_deref()
        .map(EventId::from_str);
    let last_event = last_event
        .transpose()
        .map_err(|error| Failure::bad_input(&header("last-event-id"), error))?;
    let job = Arc::new(job(call, last_event.is_some()).await?);
    recorder.set_lane(job.params.lane);
    let generation = match &last_event {
        Some(id) => recovery::resume(call.entry, Arc::clone(&job), id).await?,
        None => Generation::launch(call.entry, Arc::clone(&job)).await?,
    };
    let format = ResponseFormat {
        api: call.api,
        model: job.model.clone(),
        created_s: unix_ms() / 1_000,
    };
    match job.shown {
        true => Ok(Reply::events(events(generation, format, recorder.take()))),
        false => collect_answer(generation, &format).await,
    }
}

async fn job(call: &CompletionCall<'_>, resumes: bool) -> Result<Job, Failure> {
    let view = call.entry.subscriber.current().await?;
    let workspace = call.entry.fleet.workspace(&view, call.request_headers)?;
    let prompt = Prompt::parse(call.api, call.body)?;
    let (params, model) = generation_params(
        &view,
        call.request_headers,
        workspace,
        prompt.model.as_deref(),
        call.entry.settings.default_deadline_ms,
    )?;
    let claim = match resumes {
        true => None,
        false => ClaimKey::of(
            call.request_headers,
            &params,
            &[&[api_byte(call.api)], call.body],
        )?,
    };
    Ok(Job {
        request: call.request_headers.request,
        max_tokens: max_tokens(&view, &params.workspace, prompt.max_tokens),
        shown: resumes || prompt.stream,
        priority: call.request_headers.priority,
        params,
        prompt,
        model,
        claim,
        arrived: call.arrived,
    })
}

fn api_byte(api: Api) -> u8 {
    match api {
        Api::Completions => 0,
        Api::ChatCompletions => 1,
    }
}

fn max_tokens(view: &View, workspace: &WorkspaceName, asked: Option<u32>) -> u32 {
    let limit = view
        .table
        .workspace(workspace)
        .map_or(DEFAULT_MAX_TOKENS, |row| row.max_tokens);
    asked.map_or(limit, |asked| asked.min(limit))
}

/// Reads the generation to its end and returns the answer as one JSON object.
async fn collect_answer(
    mut generation: Generation,
    format: &ResponseFormat,
) -> Result<Reply, Failure> {
    let mut text = String::new();
    loop {
        match generation.next().await {
            Step::Tokens { tokens, .. } => text.extend(tokens),
            Step::Replaced => text.clear(),
            Step::Finished { total, reason } => {
                let id = event_id(&generation, total);
                let prompt_tokens = generation.job.prompt.tokens;
                return Ok(Reply::json(format.complete_answer(
                    &id,
                    &text,
                    &reason,
                    prompt_tokens,
                )));
            }
            Step::Failed(failure) => return Err(failure),
        }
    }
}

fn event_id(generation: &Generation, offset: u32) -> EventId {
    EventId {
        sidecar: generation.attempt.peer.instance.clone(),
        entry: generation.entry.subscriber.me().clone(),
        generation: generation.attempt.generation,
        offset,
    }
}

/// Returns a generation as server-sent events. Dropping the stream stops reading the generation.
fn events(
    generation: Generation,
    format: ResponseFormat,
    recorder: OutcomeRecorder,
) -> BoxStream<'static, Vec<u8>> {
    // A capacity of one, so that the stream is read only as fast as the caller's connection takes
    // it.
    let (sender, receiver) = mpsc::channel(1);
    let writing = async move {
        tokio::select! {
            () = write_events(generation, &format, &sender, recorder) => {}
            // The caller disconnected. The generation is dropped, which starts the time within
            // which the caller may resume.
            () = sender.closed() => {}
        }
    };
    tokio::spawn(writing.in_current_span());
    with_comments(receiver)
}

async fn write_events(
    mut generation: Generation,
    format: &ResponseFormat,
    sender: &mpsc::Sender<Vec<u8>>,
    mut recorder: OutcomeRecorder,
) {
    let mut untaken = Vec::new();
    loop {
        match generation.next().await {
            Step::Tokens { offset, tokens } => {
                untaken.extend(token_events(&generation, format, offset, &tokens));
            }
            Step::Replaced => continue,
            Step::Finished { total, reason } => {
                recorder.succeed();
                untaken.extend(format.end(&event_id(&generation, total), &reason));
                // The caller may have disconnected; the answer is complete in any case.
                let _ = sender.send(untaken).await;
                return;
            }
            Step::Failed(failure) => {
                recorder.fail(&failure);
                untaken.extend(error_event(&failure));
                let _ = sender.send(untaken).await;
                return;
            }
        }
        let remaining = Duration::from_millis(generation.job.params.remaining_ms());
        match timeout(remaining, sender.reserve()).await {
            Ok(Ok(room)) => room.send(std::mem::take(&mut untaken)),
            Ok(Err(_)) => return,
            // The caller takes nothing until the deadline, at which the next step ends the generation.
            Err(_) => {}
        }
    }
}

fn token_events(
    generation: &Generation,
    format: &ResponseFormat,
    offset: u32,
    tokens: &[String],
) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut id = event_id(generation, offset);
    for token in tokens {
        id.offset = id.offset.saturating_add(1);
        bytes.extend(format.token(&id, token));
    }
    bytes
}

/// Adds a comment to the stream whenever it was silent for `COMMENT_INTERVAL`.
fn with_comments(receiver: mpsc::Receiver<Vec<u8>>) -> BoxStream<'static, Vec<u8>> {
    stream::unfold(receiver, |mut receiver| async move {
        match timeout(COMMENT_INTERVAL, receiver.recv()).await {
            Ok(Some(bytes)) => Some((bytes, receiver)),
            Ok(None) => None,
            Err(_) => Some((COMMENT.to_vec(), receiver)),
        }
    })
    .boxed()
}
