//! The RPC service through which entries use the sidecar.

use std::sync::Arc;

use tarpc::context::Context;

use super::core::Core;
use crate::domain::stream::Cancelled;
use crate::rpc::sidecar::{
    CallReply, CallRequest, CancelReply, CancelRequest, PollReply, PollRequest, ProbeReply,
    ProbeRequest, ReadoptReply, ReadoptRequest, Sidecar, StartReply, StartRequest,
};

#[derive(Clone)]
pub(super) struct SidecarService {
    pub(super) core: Arc<Core>,
}

impl Sidecar for SidecarService {
    async fn ping(self, _: Context) {}

    async fn start(self, _: Context, request: StartRequest) -> StartReply {
        self.core.start(request).await
    }

    async fn poll(self, _: Context, request: PollRequest) -> PollReply {
        self.core.poll(request).await
    }

    async fn cancel(self, _: Context, request: CancelRequest) -> CancelReply {
        self.core.subscriber.observe(&request.stamp);
        let stamp = self.core.subscriber.stamp();
        if request.incarnation != stamp.sender.incarnation {
            return CancelReply::WrongIncarnation { stamp };
        }
        let was_read = |unread_ms| self.core.was_read_within(request.generation, unread_ms);
        if request.unread_ms.is_some_and(was_read) {
            return CancelReply::Read { stamp };
        }
        match self.core.cancel(request.generation) {
            Cancelled::NotRun => CancelReply::NotRun { stamp },
            Cancelled::Stop { produced_tokens } => CancelReply::Stopped {
                stamp,
                produced_tokens,
            },
            Cancelled::Ended => CancelReply::Ended { stamp },
        }
    }

    async fn call(self, _: Context, request: CallRequest) -> CallReply {
        self.core.call(request).await
    }

    async fn readopt(self, _: Context, request: ReadoptRequest) -> ReadoptReply {
        self.core.readopt(request).await
    }

    async fn probe(self, _: Context, request: ProbeRequest) -> ProbeReply {
        self.core.subscriber.observe(&request.stamp);
        ProbeReply {
            stamp: self.core.subscriber.stamp(),
            load: self.core.load(),
        }
    }
}
