//! Starts and re-adoptions: what new work must pass before it is queued.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::core::{Core, Shard, Work, refusal};
use super::metrics::metrics;
use super::upstream::{Upstream, deadline_ms};
use crate::adapters::clock::monotonic_ms;
use crate::domain::schedule::{Decision, Request};
use crate::domain::stream::{Known, NewStream, PastRecord};
use crate::model::{Refusal, RefusalCode};
use crate::rpc::Stamp;
use crate::rpc::sidecar::{Origin, ReadoptReply, ReadoptRequest, StartReply, StartRequest};

/// Retry time of a request whose upstream is unhealthy; it is probed more often than that.
const UNHEALTHY_RETRY_MS: u64 = 1_000;

/// Why new work was not taken.
pub(super) enum NotTaken {
    Refused(Refusal),
    Behind,
}

impl Core {
    /// Accepts or refuses a generation. The answer to a repeat is that of the first start.
    pub(super) async fn start(self: &Arc<Self>, request: StartRequest) -> StartReply {
        self.subscriber.observe(&request.stamp);
        let stamp = self.subscriber.stamp();
        if request.incarnation != stamp.sender.incarnation {
            return StartReply::WrongIncarnation { stamp };
        }
        let known = self.shard(request.generation).known(&request);
        if let Some(answer) = known {
            return self.answer(answer);
        }
        let taken = self.takes_work(&request.stamp).await;
        // Nothing waits from here on: a dropped call can't leave a half-accepted generation.
        match taken {
            Ok(()) => self.accept(request),
            Err(NotTaken::Behind) => StartReply::Behind {
                stamp: self.subscriber.stamp(),
            },
            Err(NotTaken::Refused(refusal)) => {
                let mut shard = self.shard(request.generation);
                let known = shard.known(&request);
                let answer = known.unwrap_or_else(|| shard.refuse(&request, refusal));
                drop(shard);
                self.answer(answer)
            }
        }
    }

    fn answer(&self, answer: Result<(), Refusal>) -> StartReply {
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

    /// Fails if this process takes no new work now.
    pub(super) async fn takes_work(&self, stamp: &Stamp) -> Result<(), NotTaken> {
        let leaving =
            || NotTaken::Refused(refusal(RefusalCode::Leaving, "this sidecar is leaving"));
        if self.subscriber.is_leaving() {
            return Err(leaving());
        }
        match self.subscriber.current().await {
            Err(_) if self.subscriber.store().version() < stamp.table_version => {
                Err(NotTaken::Behind)
            }
            Err(refusal) => Err(NotTaken::Refused(refusal)),
            // The process may have begun to leave during the wait.
            Ok(_) if self.subscriber.is_leaving() => Err(leaving()),
            Ok(_) => Ok(()),
        }
    }

    fn accept(self: &Arc<Self>, request: StartRequest) -> StartReply {
        let upstream = self.choose(&request);
        let mut shard = self.shard(request.generation);
        // A repeat that arrived during the wait may have been accepted already.
        let answer = match (shard.known(&request), &upstream) {
            (Some(answer), _) => answer,
            (None, Err(refusal)) => shard.refuse(&request, refusal.clone()),
            (None, Ok(upstream)) => self.queue(&mut shard, upstream, request),
        };
        drop(shard);
        if let (Ok(()), Ok(upstream)) = (&answer, &upstream) {
            self.drive(upstream);
        }
        self.answer(answer)
    }

    /// Hands a request to the scheduler and, if that takes it, opens its log.
    fn queue(
        &self,
        shard: &mut Shard,
        upstream: &Arc<Upstream>,
        request: StartRequest,
    ) -> Result<(), Refusal> {
        let now_ms = monotonic_ms();
        let scheduled = self.scheduled(&request);
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
        // `known` said that the generation is new, under the same lock.
        let _ = shard.generations.accept(now_ms, request.generation, new);
        let work = Work {
            request: Arc::new(request),
            upstream: Arc::clone(upstream),
            stop: CancellationToken::new(),
        };
        shard.works.insert(work.request.generation, work);
        Ok(())
    }

    /// Returns the upstream that the entry chose, or, if that one is unhealthy, a healthy one of
    /// the same model with the least to do.
    fn choose(&self, request: &StartRequest) -> Result<Arc<Upstream>, Refusal> {
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
            // One request at a time finds out whether it is back.
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

    /// Returns the request as the scheduler sees it.
    fn scheduled(&self, request: &StartRequest) -> Request {
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

    /// Takes a generation of a former incarnation back from its engine.
    pub(super) async fn readopt(self: &Arc<Self>, request: ReadoptRequest) -> ReadoptReply {
        self.subscriber.observe(&request.stamp);
        let stamp = self.subscriber.stamp();
        if request.incarnation != stamp.sender.incarnation {
            return ReadoptReply::WrongIncarnation { stamp };
        }
        match self.begin_readopt(request) {
            Adoption::Known => ReadoptReply::Adopted { stamp },
            Adoption::Lost => ReadoptReply::Lost { stamp },
            Adoption::Asked(found) => match found.await {
                Ok(()) => ReadoptReply::Adopted { stamp },
                Err(_) => ReadoptReply::Lost { stamp },
            },
        }
    }

    /// Opens the log of a generation that its engine may still have, and asks the engine for it.
    fn begin_readopt(self: &Arc<Self>, request: ReadoptRequest) -> Adoption {
        let Some(upstream) = self.upstreams.get(&request.origin.upstream) else {
            return Adoption::Lost;
        };
        let generation = request.start.generation;
        let mut shard = self.shard(generation);
        match shard.generations.known(generation) {
            Known::New => {}
            Known::Stream(_) => return Adoption::Known,
            Known::Past(_) => return Adoption::Lost,
        }
        let now_ms = monotonic_ms();
        let scheduled = self.scheduled(&request.start);
        upstream.scheduler().adopt(now_ms, scheduled);
        let new = NewStream {
            workspace: request.start.workspace.clone(),
            shown: request.start.shown,
            sent: true,
            read_to: request.from_offset,
            origin: request.origin.clone(),
        };
        // It is new, as was seen under the same lock.
        let _ = shard.generations.accept(now_ms, generation, new);
        let work = Work {
            request: Arc::new(request.start),
            upstream: Arc::clone(upstream),
            stop: CancellationToken::new(),
        };
        let (sender, found) = oneshot::channel();
        let name = request.origin.engine_stream;
        tokio::spawn(Arc::clone(self).run_adopted(&work, name, sender));
        shard.works.insert(generation, work);
        Adoption::Asked(found)
    }
}

/// What came of a readopt so far.
enum Adoption {
    /// It is running here.
    Known,
    Lost,
    /// The receiver fails if the engine does not have it.
    Asked(oneshot::Receiver<()>),
}

impl Shard {
    /// Returns the first answer if the generation is known.
    fn known(&self, request: &StartRequest) -> Option<Result<(), Refusal>> {
        match self.generations.known(request.generation) {
            Known::New if self.calls.contains_key(&request.generation) => Some(Ok(())),
            Known::New => None,
            // `Maybe` may have run, so a refusal, which says that it has not, would be wrong. The
            // poll that follows says that the generation is unknown.
            Known::Stream(_) | Known::Past(PastRecord::Ran | PastRecord::Maybe) => Some(Ok(())),
            Known::Past(PastRecord::Refused {
                code,
                retry_after_ms,
            }) => Some(Err(Refusal {
                retry_after_ms,
                ..refusal(code, "this generation was refused or cancelled before")
            })),
        }
    }

    /// Writes a tombstone and returns the refusal.
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
