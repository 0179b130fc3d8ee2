//! Plain calls to services. The sidecar sends a call to the service at most once.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::timeout;

use super::core::{Core, Shard, refusal};
use super::metrics::metrics;
use super::start::NotAdmitted;
use super::upstream::Upstream;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::upstream::PlainCall;
use crate::domain::stream::{Cancelled, GenerationState, PastRecord, STREAM_KEPT_MS};
use crate::model::{GenerationId, Outcome, Refusal, RefusalCode};
use crate::rpc::sidecar::{CallReply, CallRequest, ServiceResponse};

type CallResult = Result<ServiceResponse, (Outcome, Refusal)>;

/// A plain call, kept from its arrival until `STREAM_KEPT_MS` after its answer.
pub(super) struct CallRecord {
    answer: watch::Receiver<Option<CallResult>>,
    /// True from the moment the call is sent: from then on the service may have run it.
    sent: bool,
    answered_at_ms: Option<u64>,
}

impl Core {
    /// Forwards a plain call to its service. A repeated call gets the answer of the first one.
    pub(super) async fn call(self: &Arc<Self>, request: CallRequest) -> CallReply {
        self.subscriber.observe(&request.stamp);
        let stamp = self.subscriber.stamp();
        if request.incarnation != stamp.sender.incarnation {
            return CallReply::WrongIncarnation { stamp };
        }
        let known = self
            .shard(request.generation)
            .recorded_answer(request.generation);
        let answer = match known {
            Some(answer) => answer,
            None => match self.check_admission(&request.stamp).await {
                Ok(()) => self.start_call(request),
                Err(NotAdmitted::Behind) => return CallReply::Behind { stamp },
                Err(NotAdmitted::Refused(refusal)) => self
                    .shard(request.generation)
                    .refuse_call(request.generation, refusal),
            },
        };
        self.call_reply(wait_for_answer(answer).await)
    }

    fn call_reply(&self, answer: CallResult) -> CallReply {
        let (stamp, load) = (self.subscriber.stamp(), self.load());
        match answer {
            Ok(response) => CallReply::Response {
                stamp,
                response,
                load,
            },
            Err((outcome, refusal)) => {
                let code = format!("{:?}", refusal.code);
                metrics().refusals.with_label_values(&[&code]).inc();
                CallReply::Refused {
                    stamp,
                    outcome,
                    refusal,
                    load,
                }
            }
        }
    }

    /// Registers a call and runs it in its own task, so that it continues if the entry disconnects.
    fn start_call(self: &Arc<Self>, request: CallRequest) -> watch::Receiver<Option<CallResult>> {
        let generation = request.generation;
        let mut shard = self.shard(generation);
        if let Some(answer) = shard.recorded_answer(generation) {
            return answer;
        }
        let Some(upstream) = self.upstreams.get(&request.upstream).cloned() else {
            let message = format!("no upstream {} here", request.upstream);
            return shard.refuse_call(generation, refusal(RefusalCode::NoReplica, &message));
        };
        let wait_ms = upstream.call_wait_ms();
        if wait_ms > request.remaining_ms {
            let message = format!("the queue takes {wait_ms} ms");
            let refusal = Refusal {
                retry_after_ms: Some(wait_ms - request.remaining_ms),
                ..refusal(RefusalCode::Overload, &message)
            };
            return shard.refuse_call(generation, refusal);
        }
        tracing::info!(
            request = %request.request, %generation, workspace = %request.workspace,
            upstream = %request.upstream, "call accepted"
        );
        let (sender, answer) = watch::channel(None);
        shard.calls.insert(
            generation,
            CallRecord {
                answer: answer.clone(),
                sent: false,
                answered_at_ms: None,
            },
        );
        drop(shard);
        let core = Arc::clone(self);
        tokio::spawn(async move {
            let answer = core.run_call(&upstream, request).await;
            let mut shard = core.shard(generation);
            if let Some(entry) = shard.calls.get_mut(&generation) {
                entry.answered_at_ms = Some(monotonic_ms());
            }
            sender.send_replace(Some(answer));
        });
        answer
    }

    async fn run_call(&self, upstream: &Upstream, request: CallRequest) -> CallResult {
        let limit = Duration::from_millis(request.remaining_ms);
        let started = Instant::now();
        let queued = CountGuard::new(&upstream.calls_queued);
        let no_slot = || refusal(RefusalCode::DeadlineExceeded, "no slot was free in time");
        let Ok(Ok(_slot)) = timeout(limit, upstream.slots.acquire()).await else {
            return Err((Outcome::NotRun, no_slot()));
        };
        drop(queued);
        let _running = CountGuard::new(&upstream.calls_running);
        if !self
            .shard(request.generation)
            .mark_call_sent(request.generation)
        {
            let cancelled = refusal(RefusalCode::Cancelled, "the call was cancelled");
            return Err((Outcome::NotRun, cancelled));
        }
        let client = match request.repeatable {
            true => &upstream.service,
            false => &upstream.service_unpooled,
        };
        let call = PlainCall {
            method: request.method,
            path_and_query: request.path_and_query,
            headers: request.headers,
            body: request.body,
        };
        let sent = Instant::now();
        let result = client
            .call(&call, limit.saturating_sub(started.elapsed()))
            .await;
        match result {
            Ok(response) => {
                upstream.record_success();
                upstream.record_call_time(sent.elapsed().as_secs_f64() * 1_000.0);
                Ok(response)
            }
            Err(error) => {
                upstream.record_failure(&error);
                tracing::warn!(
                    request = %request.request, upstream = %upstream.settings.name, %error,
                    "call failed"
                );
                let outcome = match error.proves_not_run() {
                    true => Outcome::NotRun,
                    false => Outcome::Unknown,
                };
                let refusal = refusal(RefusalCode::UpstreamLost, &error.to_string());
                Err((outcome, refusal))
            }
        }
    }
}

impl Shard {
    /// Returns the answer of a call that arrived before, or `None` if the generation is new. A call
    /// whose answer is no longer kept gets a refusal.
    fn recorded_answer(
        &self,
        generation: GenerationId,
    ) -> Option<watch::Receiver<Option<CallResult>>> {
        if let Some(entry) = self.calls.get(&generation) {
            return Some(entry.answer.clone());
        }
        let (outcome, code) = match self.generations.state(generation) {
            GenerationState::New => return None,
            GenerationState::Past(PastRecord::Refused { code, .. }) => (Outcome::NotRun, code),
            GenerationState::Past(_) | GenerationState::Stream(_) => {
                (Outcome::Unknown, RefusalCode::UpstreamLost)
            }
        };
        let message = "this call was made before; its answer is not kept";
        Some(resolved(Err((outcome, refusal(code, message)))))
    }

    fn refuse_call(
        &mut self,
        generation: GenerationId,
        refusal: Refusal,
    ) -> watch::Receiver<Option<CallResult>> {
        let (code, retry_after_ms) = (refusal.code, refusal.retry_after_ms);
        self.generations
            .refuse(monotonic_ms(), generation, code, retry_after_ms);
        resolved(Err((Outcome::NotRun, refusal)))
    }

    /// Marks a call as sent, just before it is. Returns false if the call was cancelled.
    fn mark_call_sent(&mut self, generation: GenerationId) -> bool {
        match self.calls.get_mut(&generation) {
            Some(entry) => {
                entry.sent = true;
                true
            }
            None => false,
        }
    }

    /// Cancels a call. Returns `None` if no such call is kept. A call that was already sent is not
    /// interrupted.
    pub(super) fn cancel_call(
        &mut self,
        now_ms: u64,
        generation: GenerationId,
    ) -> Option<Cancelled> {
        let entry = self.calls.get(&generation)?;
        match (entry.answered_at_ms, entry.sent) {
            (None, false) => {
                self.calls.remove(&generation);
                self.generations
                    .refuse(now_ms, generation, RefusalCode::Cancelled, None);
                Some(Cancelled::NotRun)
            }
            (None, true) => Some(Cancelled::Stop { produced_tokens: 0 }),
            (Some(_), _) => Some(Cancelled::Ended),
        }
    }

    /// Drops answers older than `STREAM_KEPT_MS`, but keeps a record that the calls were made.
    pub(super) fn expire_calls(&mut self, now_ms: u64) {
        let expired = |entry: &CallRecord| {
            let answered_at_ms = entry.answered_at_ms;
            answered_at_ms.is_some_and(|at_ms| at_ms + STREAM_KEPT_MS <= now_ms)
        };
        let entries = self.calls.iter();
        let expired: Vec<_> = entries
            .filter(|(_, entry)| expired(entry))
            .map(|(generation, _)| *generation)
            .collect();
        for generation in expired {
            self.calls.remove(&generation);
            self.generations.note_ran(now_ms, generation);
        }
    }

    /// Returns the number of calls without an answer.
    pub(super) fn open_calls(&self) -> usize {
        let open = |entry: &&CallRecord| entry.answered_at_ms.is_none();
        self.calls.values().filter(open).count()
    }
}

fn resolved(answer: CallResult) -> watch::Receiver<Option<CallResult>> {
    watch::channel(Some(answer)).1
}

async fn wait_for_answer(mut answer: watch::Receiver<Option<CallResult>>) -> CallResult {
    let found = match answer.wait_for(Option::is_some).await {
        Ok(found) => found.clone(),
        Err(_) => None,
    };
    // The sender is dropped without an answer only when the process stops.
    found.unwrap_or_else(|| {
        let lost = refusal(RefusalCode::UpstreamLost, "the sidecar is stopping");
        Err((Outcome::Unknown, lost))
    })
}

/// Adds one to a counter for as long as the guard lives.
struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
