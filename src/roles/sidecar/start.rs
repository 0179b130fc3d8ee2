//! Starts, plain calls and re-adoptions: what new work must pass before it runs.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::core::{Core, Upstream};
use crate::adapters::clock::monotonic_ms;
use crate::adapters::upstream::{PlainCall, UpstreamError};
use crate::domain::stream::{Known, NewStream, PastRecord};
use crate::model::{Outcome, Refusal, RefusalCode};
use crate::rpc::Stamp;
use crate::rpc::sidecar::{
    CallReply, CallRequest, Origin, ReadoptReply, ReadoptRequest, StartReply, StartRequest,
};

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
        if let Some(reply) = self.repeated(&request) {
            return reply;
        }
        match self.takes_work(&request.stamp).await {
            // Nothing waits from here on: a dropped call can't leave a half-accepted generation.
            Ok(()) => self.accept(request),
            Err(NotTaken::Behind) => StartReply::Behind {
                stamp: self.subscriber.stamp(),
            },
            Err(NotTaken::Refused(refusal)) => self.refuse(&request, refusal),
        }
    }

    /// Returns the first answer if the generation is known.
    fn repeated(&self, request: &StartRequest) -> Option<StartReply> {
        let known = self
            .shard(request.generation)
            .generations
            .known(request.generation);
        let accepted = || StartReply::Accepted {
            stamp: self.subscriber.stamp(),
            load: self.load(),
        };
        let refused = |code, retry_after_ms| StartReply::Refused {
            stamp: self.subscriber.stamp(),
            refusal: Refusal {
                code,
                message: "this generation was refused or cancelled before".to_owned(),
                retry_after_ms,
            },
            load: self.load(),
        };
        match known {
            Known::New => None,
            // `Maybe` may have run, so `Refused`, which says that it has not, would be wrong. The
            // poll that follows says that the generation is unknown.
            Known::Stream(_) | Known::Past(PastRecord::Ran | PastRecord::Maybe) => Some(accepted()),
            Known::Past(PastRecord::Refused {
                code,
                retry_after_ms,
            }) => Some(refused(code, retry_after_ms)),
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

    pub(super) fn refuse(&self, request: &StartRequest, refusal: Refusal) -> StartReply {
        let mut shard = self.shard(request.generation);
        shard.generations.refuse(
            monotonic_ms(),
            request.generation,
            refusal.code,
            refusal.retry_after_ms,
        );
        drop(shard);
        StartReply::Refused {
            stamp: self.subscriber.stamp(),
            refusal,
            load: self.load(),
        }
    }

    fn accept(self: &Arc<Self>, request: StartRequest) -> StartReply {
        let Some(upstream) = self.upstreams.get(&request.upstream).cloned() else {
            let message = format!("no upstream {} here", request.upstream);
            return self.refuse(&request, refusal(RefusalCode::NoReplica, &message));
        };
        let new = NewStream {
            workspace: request.workspace.clone(),
            shown: request.shown,
            sent: false,
            read_to: 0,
            origin: origin(&request, &upstream),
        };
        let stop = CancellationToken::new();
        let mut shard = self.shard(request.generation);
        let accepted = shard
            .generations
            .accept(monotonic_ms(), request.generation, new);
        if accepted.is_ok() {
            shard.stops.insert(request.generation, stop.clone());
        }
        drop(shard);
        // A repeat that arrived during the wait above was accepted already.
        if accepted.is_ok() {
            tokio::spawn(Arc::clone(self).run(upstream, request, stop));
        }
        StartReply::Accepted {
            stamp: self.subscriber.stamp(),
            load: self.load(),
        }
    }

    /// Takes a generation of the former incarnation back from its engine.
    pub(super) fn readopt(self: &Arc<Self>, request: &ReadoptRequest) -> ReadoptReply {
        self.subscriber.observe(&request.stamp);
        ReadoptReply::Lost {
            stamp: self.subscriber.stamp(),
        }
    }

    /// Passes a plain call through to a service.
    pub(super) async fn call(self: &Arc<Self>, request: CallRequest) -> CallReply {
        self.subscriber.observe(&request.stamp);
        let stamp = self.subscriber.stamp();
        if request.incarnation != stamp.sender.incarnation {
            return CallReply::WrongIncarnation { stamp };
        }
        let refused = |outcome, refusal| CallReply::Refused {
            stamp: self.subscriber.stamp(),
            outcome,
            refusal,
            load: self.load(),
        };
        match self.takes_work(&request.stamp).await {
            Ok(()) => {}
            Err(NotTaken::Behind) => return CallReply::Behind { stamp },
            Err(NotTaken::Refused(refusal)) => return refused(Outcome::NotRun, refusal),
        }
        let Some(upstream) = self.upstreams.get(&request.upstream).cloned() else {
            let message = format!("no upstream {} here", request.upstream);
            return refused(Outcome::NotRun, refusal(RefusalCode::NoReplica, &message));
        };
        let call = PlainCall {
            method: request.method,
            path_and_query: request.path_and_query,
            headers: request.headers,
            body: request.body,
        };
        let limit = Duration::from_millis(request.remaining_ms);
        // The call goes on if the entry goes away.
        let answer = tokio::spawn(async move { upstream.service.call(&call, limit).await }).await;
        let answer = answer.unwrap_or_else(|error| Err(UpstreamError::Broken(error.to_string())));
        match answer {
            Ok(response) => CallReply::Response {
                stamp: self.subscriber.stamp(),
                response,
                load: self.load(),
            },
            Err(error) if error.proves_not_run() => refused(
                Outcome::NotRun,
                refusal(RefusalCode::UpstreamLost, &error.to_string()),
            ),
            Err(error) => refused(
                Outcome::Unknown,
                refusal(RefusalCode::UpstreamLost, &error.to_string()),
            ),
        }
    }
}

pub(super) fn origin(request: &StartRequest, upstream: &Upstream) -> Origin {
    Origin {
        upstream: upstream.settings.name.clone(),
        engine_stream: request.generation.to_string(),
    }
}

pub(super) fn refusal(code: RefusalCode, message: &str) -> Refusal {
    Refusal {
        code,
        message: message.to_owned(),
        retry_after_ms: None,
    }
}
