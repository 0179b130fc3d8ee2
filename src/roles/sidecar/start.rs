//! Admission of new generations, and adoption of generations that a former incarnation started.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::core::{ActiveGeneration, Core, Shard, refusal};
use super::metrics::metrics;
use super::upstream::{Upstream, deadline_ms};
use crate::adapters::clock::monotonic_ms;
use crate::domain::schedule::{Decision, Request};
use crate::domain::stream::{GenerationState, NewStream, PastRecord};
use crate::model::{Refusal, RefusalCode};
use crate::rpc::Stamp;
use crate::rpc::sidecar::{Origin, ReadoptReply, ReadoptRequest, StartReply, StartRequest};

/// Retry hint for a request whose upstream is unhealthy; upstreams are probed more often than that.
const UNHEALTHY_RETRY_MS: u64 = 1_000;

/// Why new work was not admitted.
pub(super) enum NotAdmitted {
    Refused(Refusal),
    /// The requester knows a newer table than this sidecar.
    Behind,
}

impl Core {
    /// Accepts or refuses a generation. A repeated start gets the answer of the first one.
    pub(super) async fn start(self: &Arc<Self>, request: StartRequest) -> StartReply {
        self.subscriber.observe(&request.stamp);
        let stamp = self.subscriber.stamp();
        if request.incarnation != stamp.sender.incarnation {
            return StartReply::WrongIncarnation { stamp };
        }
        let known = self.shard(request.generation).earlier_answer(&request);
        if let Some(answer) = known {
            return self.start_reply(answer);
        }
        let admission = self.check_admission(&request.stamp).await;
        // There is no await from here on, so a call that is dropped can't leave a partly accepted
        // generation.
        match admission {
            Ok(()) => self.accept(request),
            Err(NotAdmitted::Behind) => StartReply::Behind {
                stamp: self.subscriber.stamp(),
            },
            Err(NotAdmitted::Refused(refusal)) => {
                let mut shard = self.shard(request.generation);
                let known = shard.earlier_answer(&request);
                let answer = known.unwrap_or_else(|| shard.refuse(&request, refusal));
                drop(shard);
                self.start_reply(answer)
            }
        }
    }

    fn start_reply(&self, answer: Result<(), Refusal>) -> StartReply {
        let (stamp, load) = (self.subscriber.stamp(), self.load());
        match answer {
            Ok(()) => StartReply::Accepted { stamp, load },
            Err(refusal) => {
                let code = format!("{:?}", refusal.code);
                metrics().refusals.with_label_values(&[&code]).inc();
                StartReply::Refused {
                    stamp,
                    refusal,
                    load,
                }
            }
        }
    }

    /// Fails if this process admits no new work now: it is leaving, or it can't confirm that
    /// its table is current.
    pub(super) async fn check_admission(&self, stamp: &Stamp) -> Result<(), NotAdmitted> {
        let leaving =
            || NotAdmitted::Refused(refusal(RefusalCode::Leaving, "this sidecar is leaving"));
        if self.subscriber.is_leaving() {
            return Err(leaving());
        }
        match self.subscriber.current().await {
            Err(_) if self.subscriber.store().version() < stamp.table_version => {
                Err(NotAdmitted::Behind)
            }
            Err(refusal) => Err(NotAdmitted::Refused(refusal)),
            // The process may have begun to leave during the await.
            Ok(_) if self.subscriber.is_leaving() => Err(leaving()),
            Ok(_) => Ok(()),
        }
    }

    fn accept(self: &Arc<Self>, request: StartRequest) -> StartReply {
        let upstream = self.select_upstream(&request);
        let mut shard = self.shard(request.generation);
        // A repeated start may have been accepted while this one awaited its admission.
        let answer = match (shard.earlier_answer(&request), &upstream) {
            (Some(answer), _) => answer,
            (None, Err(refusal)) => shard.refuse(&request, refusal.clone()),
            (None, Ok(upstream)) => self.queue(&mut shard, upstream, request),
        };
        drop(shard);
        if let (Ok(()), Ok(upstream)) = (&answer, &upstream) {
            self.dispatch(upstream);
        }
        self.start_reply(answer)
    }

    /// Submits a request to the scheduler and, if it is accepted, opens its token log.
    fn queue(
        &self,
        shard: &mut Shard,
        upstream: &Arc<Upstream>,
        request: StartRequest,
    ) -> Result<(), Refusal> {
        let now_ms = monotonic_ms();
        let scheduled = self.scheduler_request(&request);
        if let Decision::Refused(refusal) = upstream.scheduler().submit(now_ms, scheduled) {
            return shard.refuse(&request, refusal);
        }
        let new = NewStream {
            workspace: request.workspace.clone(),
            shown: request.shown,
            sent: false,
            read_to: 0,
            origin: origin(&request, upstream),
        };
        tracing::info!(
            request = %request.request, generation = %request.generation,
            workspace = %request.workspace, upstream = %upstream.settings.name, "accepted"
        );
        // Can't fail: the caller has checked under the same lock that the generation is new.
        let _ = shard.generations.accept(now_ms, request.generation, new);
        let active = ActiveGeneration {
            request: Arc::new(request),
            upstream: Arc::clone(upstream),
            stop: CancellationToken::new(),
        };
        shard.active.insert(active.request.generation, active);
        Ok(())
    }

    /// Returns the upstream that the entry chose or, if it is unhealthy, the healthy upstream of
    /// the same model and version with the smallest backlog.
    fn select_upstream(&self, request: &StartRequest) -> Result<Arc<Upstream>, Refusal> {
        let serves = |upstream: &&Arc<Upstream>| upstream.model() == Some(&request.model);
        let named = self.upstreams.get(&request.upstream).filter(serves);
        if let Some(upstream) = named.filter(|upstream| upstream.healthy()) {
            return Ok(Arc::clone(upstream));
        }
        let others = self.upstreams.values().filter(serves);
        let healthy =
            others.filter(|other| other.healthy() && other.versions().contains(&request.version));
        let other = healthy.min_by_key(|other| other.scheduler().load().backlog_tokens);
        match (other, named) {
            (Some(other), _) => Ok(Arc::clone(other)),
            // An unhealthy upstream gets one request at a time, to find out if it has recovered.
            (None, Some(named)) if named.scheduler().load().running == 0 => Ok(Arc::clone(named)),
            (None, Some(named)) => Err(Refusal {
                retry_after_ms: Some(UNHEALTHY_RETRY_MS),
                ..refusal(
                    RefusalCode::NoReplica,
                    &format!("upstream {} does not answer", named.settings.name),
                )
            }),
            (None, None) => Err(refusal(
                RefusalCode::NoReplica,
                &format!("no upstream {} of {} here", request.upstream, request.model),
            )),
        }
    }

    /// Converts a start request into a request to the scheduler.
    fn scheduler_request(&self, request: &StartRequest) -> Request {
        let view = self.subscriber.view();
        let row = view.table.workspace(&request.workspace);
        Request {
            id: request.generation,
            workspace: request.workspace.clone(),
            kind: request.kind.clone(),
            lane: request.lane,
            weight: row.map_or(1, |row| row.weight),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens.max(1),
            priority: request.priority,
            deadline_ms: deadline_ms(request.remaining_ms),
            served_elsewhere_tokens: request.served_elsewhere_tokens,
        }
    }

    /// Adopts a generation that a former incarnation started, if its engine still has it.
    pub(super) async fn readopt(self: &Arc<Self>, request: ReadoptRequest) -> ReadoptReply {
        self.subscriber.observe(&request.stamp);
        let stamp = self.subscriber.stamp();
        if request.incarnation != stamp.sender.incarnation {
            return ReadoptReply::WrongIncarnation { stamp };
        }
        match self.start_adoption(request) {
            Adoption::AlreadyHeld => ReadoptReply::Adopted { stamp },
            Adoption::Lost => ReadoptReply::Lost { stamp },
            Adoption::Pending(found) => match found.await {
                Ok(()) => ReadoptReply::Adopted { stamp },
                Err(_) => ReadoptReply::Lost { stamp },
            },
        }
    }

    /// Opens the token log of a generation that its engine may still have, and starts to read it
    /// from the engine.
    fn start_adoption(self: &Arc<Self>, request: ReadoptRequest) -> Adoption {
        let Some(upstream) = self.upstreams.get(&request.origin.upstream) else {
            return Adoption::Lost;
        };
        let generation = request.start.generation;
        let mut shard = self.shard(generation);
        match shard.generations.state(generation) {
            GenerationState::New => {}
            GenerationState::Stream(_) => return Adoption::AlreadyHeld,
            GenerationState::Past(_) => return Adoption::Lost,
        }
        let now_ms = monotonic_ms();
        let scheduled = self.scheduler_request(&request.start);
        upstream.scheduler().adopt(now_ms, scheduled);
        let new = NewStream {
            workspace: request.start.workspace.clone(),
            shown: request.start.shown,
            sent: true,
            read_to: request.from_offset,
            origin: request.origin.clone(),
        };
        // Can't fail: it was found to be new under the same lock.
        let _ = shard.generations.accept(now_ms, generation, new);
        let active = ActiveGeneration {
            request: Arc::new(request.start),
            upstream: Arc::clone(upstream),
            stop: CancellationToken::new(),
        };
        let (sender, found) = oneshot::channel();
        let name = request.origin.engine_stream;
        tokio::spawn(Arc::clone(self).run_adopted(&active, name, sender));
        shard.active.insert(generation, active);
        Adoption::Pending(found)
    }
}

/// State of an adoption after its first step.
enum Adoption {
    /// This incarnation already has the generation.
    AlreadyHeld,
    Lost,
    /// The engine was asked; the receiver fails if the engine does not have the generation.
    Pending(oneshot::Receiver<()>),
}

impl Shard {
    /// Returns the answer of an earlier start, or `None` if the generation is new.
    fn earlier_answer(&self, request: &StartRequest) -> Option<Result<(), Refusal>> {
        match self.generations.state(request.generation) {
            GenerationState::New if self.calls.contains_key(&request.generation) => Some(Ok(())),
            GenerationState::New => None,
            // A refusal says that the generation did not run, but with `Maybe` it may have. The
            // poll that follows reports it as unknown.
            GenerationState::Stream(_)
            | GenerationState::Past(PastRecord::Ran | PastRecord::Maybe) => Some(Ok(())),
            GenerationState::Past(PastRecord::Refused {
                code,
                retry_after_ms,
            }) => Some(Err(Refusal {
                retry_after_ms,
                ..refusal(code, "this generation was refused or cancelled before")
            })),
        }
    }

    /// Records the refusal, so that a repeated start gets it too, and returns it.
    fn refuse(&mut self, request: &StartRequest, refusal: Refusal) -> Result<(), Refusal> {
        let (code, retry_after_ms) = (refusal.code, refusal.retry_after_ms);
        self.generations
            .refuse(monotonic_ms(), request.generation, code, retry_after_ms);
        Err(refusal)
    }
}

fn origin(request: &StartRequest, upstream: &Upstream) -> Origin {
    Origin {
        upstream: upstream.settings.name.clone(),
        engine_stream: request.generation.to_string(),
    }
}
