//! Requests for generations: whole answers and streams of events.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::{self, BoxStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::claim::ClaimKey;
use super::core::Entry;
use super::events::{COMMENT, EventId, Shape, error_event};
use super::failure::Failure;
use super::generation::{Generation, Job, Step};
use super::input::Envelope;
use super::metrics::{Recorder, metrics};
use super::prompt::Prompt;
use super::reply::Reply;
use super::terms::generation_terms;
use crate::adapters::clock::unix_ms;
use crate::domain::state::View;
use crate::rpc::sidecar::Api;

/// Output of a generation whose request and workspace name no limit.
const DEFAULT_MAX_TOKENS: u32 = 4_096;
/// Time of silence after which a comment is sent on a stream. A closed connection is only noticed
/// by sending.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Answers a request for a generation.
pub(super) async fn complete(
    entry: &Arc<Entry>,
    api: Api,
    envelope: &Envelope,
    body: &[u8],
    arrived: Instant,
    recorder: &mut Recorder,
) -> Result<Reply, Failure> {
    let view = entry.subscriber.current().await?;
    let workspace = entry.fleet.workspace(&view, envelope)?;
    let prompt = Prompt::parse(api, body)?;
    let (terms, model) = generation_terms(
        &view,
        envelope,
        workspace,
        prompt.model.as_deref(),
        entry.settings.default_deadline_ms,
    )?;
    recorder.set_lane(terms.lane);
    let claim = ClaimKey::of(envelope, &terms, &[&[api_byte(api)], body])?;
    let job = Arc::new(Job {
        request: envelope.request,
        max_tokens: max_tokens(&view, &terms.workspace, prompt.max_tokens),
        shown: prompt.stream,
        priority: envelope.priority,
        terms,
        prompt,
        model,
        claim,
        arrived,
    });
    let generation = Generation::launch(entry, Arc::clone(&job)).await?;
    let shape = Shape {
        api,
        model: job.model.clone(),
        created_s: unix_ms() / 1_000,
    };
    match job.shown {
        true => Ok(Reply::events(events(generation, shape, recorder.take()))),
        false => whole(generation, &shape).await,
    }
}

fn api_byte(api: Api) -> u8 {
    match api {
        Api::Completions => 0,
        Api::ChatCompletions => 1,
    }
}

fn max_tokens(view: &View, workspace: &crate::model::WorkspaceName, asked: Option<u32>) -> u32 {
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
        generation: generation.attempt.generation,
        offset,
    }
}

/// Returns the events of a generation. Dropping the stream stops the reading.
fn events(generation: Generation, shape: Shape, recorder: Recorder) -> BoxStream<'static, Vec<u8>> {
    // One element: the caller's connection decides how fast the stream is read.
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        tokio::select! {
            () = write_events(generation, &shape, &sender, recorder) => {}
            // The generation is dropped, which starts the time to resume.
            () = sender.closed() => {}
        }
    });
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

/// Continues a stream after an event that the caller has, whichever entry sent it.
pub(super) async fn resume(
    entry: &Arc<Entry>,
    api: Api,
    envelope: &Envelope,
    last_event: &str,
    body: &[u8],
    arrived: Instant,
    recorder: &mut Recorder,
) -> Result<Reply, Failure> {
    let _ = (arrived, metrics());
    let id: EventId = last_event
        .parse()
        .map_err(|error: &str| Failure::bad_input(&super::input::header("last-event-id"), error))?;
    let _ = (entry, api, envelope, body, recorder, id);
    Err(Failure::not_found("resuming is not available yet"))
}
