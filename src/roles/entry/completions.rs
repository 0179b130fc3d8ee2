//! Requests for generations: whole answers and streams of events.

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
use super::events::{COMMENT, EventId, Shape, error_event};
use super::failure::Failure;
use super::generation::{Generation, Job, Step};
use super::input::{Envelope, header};
use super::metrics::Recorder;
use super::prompt::Prompt;
use super::recovery;
use super::reply::Reply;
use super::terms::generation_terms;
use crate::adapters::clock::unix_ms;
use crate::domain::state::View;
use crate::model::WorkspaceName;
use crate::rpc::sidecar::Api;

/// Output of a generation whose request and workspace name no limit.
const DEFAULT_MAX_TOKENS: u32 = 4_096;
/// Time of silence after which a comment is sent on a stream. A closed connection is only noticed
/// by sending.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// A request for a generation.
pub(super) struct Call<'a> {
    pub entry: &'a Arc<Entry>,
    pub api: Api,
    pub envelope: &'a Envelope,
    pub body: &'a [u8],
    pub arrived: Instant,
}

/// Answers a request for a generation: starts it, or resumes it after the event that the caller
/// has.
pub(super) async fn complete(call: &Call<'_>, recorder: &mut Recorder) -> Result<Reply, Failure> {
    let last_event = call.envelope.last_event.as_deref().map(EventId::from_str);
    let last_event = last_event
        .transpose()
        .map_err(|error| Failure::bad_input(&header("last-event-id"), error))?;
    let job = Arc::new(job(call, last_event.is_some()).await?);
    recorder.set_lane(job.terms.lane);
    let generation = match &last_event {
        Some(id) => recovery::resume(call.entry, Arc::clone(&job), id).await?,
        None => Generation::launch(call.entry, Arc::clone(&job)).await?,
    };
    let shape = Shape {
        api: call.api,
        model: job.model.clone(),
        created_s: unix_ms() / 1_000,
    };
    match job.shown {
        true => Ok(Reply::events(events(generation, shape, recorder.take()))),
        false => whole(generation, &shape).await,
    }
}

async fn job(call: &Call<'_>, resumes: bool) -> Result<Job, Failure> {
    let view = call.entry.subscriber.current().await?;
    let workspace = call.entry.fleet.workspace(&view, call.envelope)?;
    let prompt = Prompt::parse(call.api, call.body)?;
    let (terms, model) = generation_terms(
        &view,
        call.envelope,
        workspace,
        prompt.model.as_deref(),
        call.entry.settings.default_deadline_ms,
    )?;
    let claim = match resumes {
        true => None,
        false => ClaimKey::of(call.envelope, &terms, &[&[api_byte(call.api)], call.body])?,
    };
    Ok(Job {
        request: call.envelope.request,
        max_tokens: max_tokens(&view, &terms.workspace, prompt.max_tokens),
        shown: resumes || prompt.stream,
        priority: call.envelope.priority,
        terms,
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

/// Collects the answer and returns it at once.
async fn whole(mut generation: Generation, shape: &Shape) -> Result<Reply, Failure> {
    let mut text = String::new();
    loop {
        match generation.next().await {
            Step::Tokens { tokens, .. } => text.extend(tokens),
            Step::Replaced => text.clear(),
            Step::Finished { total, reason } => {
                let id = event_id(&generation, total);
                let prompt_tokens = generation.job.prompt.tokens;
                return Ok(Reply::json(shape.whole(&id, &text, &reason, prompt_tokens)));
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

/// Returns the events of a generation. Dropping the stream stops the reading.
fn events(generation: Generation, shape: Shape, recorder: Recorder) -> BoxStream<'static, Vec<u8>> {
    // One element: the caller's connection decides how fast the stream is read.
    let (sender, receiver) = mpsc::channel(1);
    let writing = async move {
        tokio::select! {
            () = write_events(generation, &shape, &sender, recorder) => {}
            // The generation is dropped, which starts the time to resume.
            () = sender.closed() => {}
        }
    };
    tokio::spawn(writing.in_current_span());
    with_comments(receiver)
}

async fn write_events(
    mut generation: Generation,
    shape: &Shape,
    sender: &mpsc::Sender<Vec<u8>>,
    mut recorder: Recorder,
) {
    loop {
        let bytes = match generation.next().await {
            Step::Tokens { offset, tokens } => token_events(&generation, shape, offset, &tokens),
            Step::Replaced => continue,
            Step::Finished { total, reason } => {
                recorder.succeed();
                let end = shape.end(&event_id(&generation, total), &reason);
                // The caller may have gone; the answer is complete in any case.
                let _ = sender.send(end).await;
                return;
            }
            Step::Failed(failure) => {
                recorder.fail(&failure);
                let _ = sender.send(error_event(&failure)).await;
                return;
            }
        };
        if sender.send(bytes).await.is_err() {
            return;
        }
    }
}

fn token_events(generation: &Generation, shape: &Shape, offset: u32, tokens: &[String]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut id = event_id(generation, offset);
    for token in tokens {
        id.offset = id.offset.saturating_add(1);
        bytes.extend(shape.token(&id, token));
    }
    bytes
}

/// Adds comments while there is nothing to send.
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
