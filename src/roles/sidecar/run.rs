//! Runs one generation at its engine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::core::{Core, Upstream};
use super::start::{origin, refusal};
use crate::adapters::upstream::{EngineRequest, StreamEvent, TokenStream, UpstreamError};
use crate::model::{GenerationId, Outcome, RefusalCode};
use crate::rpc::sidecar::{End, StartRequest};

/// Time in which an engine accepts a generation or sends something.
const READ_LIMIT: Duration = Duration::from_secs(10);

impl Core {
    /// Runs a generation to its end, or until it is stopped.
    pub(super) async fn run(
        self: Arc<Self>,
        upstream: Arc<Upstream>,
        request: StartRequest,
        stop: CancellationToken,
    ) {
        let generation = request.generation;
        let run = {
            let mut shard = self.shard(generation);
            shard
                .generations
                .send(generation, origin(&request, &upstream))
        };
        let Some(run) = run else {
            return;
        };
        upstream.running.fetch_add(1, Ordering::Relaxed);
        let stopped = tokio::select! {
            end = self.stream(&upstream, &request, run) => {
                self.finish(generation, end);
                false
            }
            () = stop.cancelled() => true,
        };
        if stopped && let Err(error) = upstream.engine.cancel(&generation.to_string()).await {
            tracing::warn!(%generation, %error, "the engine did not confirm the cancel");
        }
        upstream.running.fetch_sub(1, Ordering::Relaxed);
    }

    async fn stream(&self, upstream: &Upstream, request: &StartRequest, run: u32) -> End {
        let engine_request = EngineRequest {
            stream: request.generation,
            api: request.api,
            model: request.model.clone(),
            version: request.version.clone(),
            body: request.body.clone(),
            max_tokens: request.max_tokens,
            priority: request.priority,
        };
        let mut tokens = match upstream.engine.start(&engine_request, READ_LIMIT).await {
            Ok(tokens) => tokens,
            Err(error) => return self.failed(request.generation, &error),
        };
        match self.read_tokens(request.generation, run, &mut tokens).await {
            Ok(reason) => End::Finished { reason },
            Err(error) => self.failed(request.generation, &error),
        }
    }

    async fn read_tokens(
        &self,
        generation: GenerationId,
        run: u32,
        tokens: &mut TokenStream,
    ) -> Result<String, UpstreamError> {
        let mut offset = 0;
        loop {
            let mut next = Some(tokens.next(READ_LIMIT).await?);
            let mut shard = self.shard(generation);
            while let Some(event) = next {
                match event {
                    StreamEvent::Token(token) => {
                        // Fails if the generation was cancelled; the run is being stopped then.
                        let _ = shard.generations.append(generation, run, offset, token);
                        offset += 1;
                    }
                    StreamEvent::Finish(reason) => return Ok(reason),
                }
                next = tokens.ready();
            }
            shard.wake(generation);
        }
    }

    fn failed(&self, generation: GenerationId, error: &UpstreamError) -> End {
        let given = self.shard(generation).generations.progress(generation);
        let outcome = match given {
            Some((_, given)) if given > 0 => Outcome::Interrupted,
            _ if error.proves_not_run() => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        End::Failed {
            outcome,
            refusal: refusal(RefusalCode::UpstreamLost, &error.to_string()),
        }
    }
}
