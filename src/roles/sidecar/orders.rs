//! Load orders to engines, each with the fencing number of this incarnation's registration.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;

use super::core::Core;
use super::upstream::Upstream;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::upstream::{Order, OrderAnswer};
use crate::model::{Fence, ModelName, UpstreamName};
use crate::roles::subscriber::Subscriber;
use crate::rpc::control::{PermitReply, PermitRequest};

/// Timeout of a load order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a permit request.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// An order is sent again if the engine has not reported the version as loaded after this time.
const ORDER_RETRY_MS: u64 = 60_000;

/// A load of a model version for which a permit is requested or released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionLoad {
    pub fence: Fence,
    pub upstream: UpstreamName,
    pub model: ModelName,
    pub version: String,
    /// True if the upstream has no version loaded, so that it can't serve until this load is done.
    pub recovery: bool,
}

type RequestPermit = Box<dyn Fn(VersionLoad) -> BoxFuture<'static, bool> + Send + Sync>;
type ReleasePermit = Box<dyn Fn(VersionLoad) -> BoxFuture<'static, ()> + Send + Sync>;

/// Source of the permits that loads from the weight store need.
pub struct Permits {
    /// Requests or renews a permit. Returns true if the load may start or continue. Called before
    /// the order and, as a renewal, until the version is loaded.
    pub request: RequestPermit,
    /// Releases the permit. Called once the load is over.
    pub release: ReleasePermit,
}

impl Permits {
    /// Returns a source that requests permits from the control leader.
    pub fn of_control(subscriber: &Arc<Subscriber>) -> Self {
        let (for_request, for_release) = (Arc::clone(subscriber), Arc::clone(subscriber));
        let held = Arc::new(Mutex::new(BTreeSet::new()));
        let held_until_release = Arc::clone(&held);
        Self {
            request: Box::new(move |load| {
                let (subscriber, held) = (Arc::clone(&for_request), Arc::clone(&held));
                Box::pin(async move {
                    let holds = lock(&held).contains(&load.upstream);
                    let request = permit_request(&subscriber, &load, holds, false);
                    let answer = subscriber.calls().permit(&request, PERMIT_TIMEOUT).await;
                    let granted = matches!(answer, Ok(PermitReply::Granted { .. }));
                    match granted {
                        true => lock(&held).insert(load.upstream),
                        false => lock(&held).remove(&load.upstream),
                    };
                    granted
                })
            }),
            release: Box::new(move |load| {
                let (subscriber, held) =
                    (Arc::clone(&for_release), Arc::clone(&held_until_release));
                Box::pin(async move {
                    lock(&held).remove(&load.upstream);
                    let request = permit_request(&subscriber, &load, false, true);
                    // If the request is lost, the permit expires with its lease.
                    let _ = subscriber.calls().permit(&request, PERMIT_TIMEOUT).await;
                })
            }),
        }
    }

    /// Returns a source that grants every permit.
    pub fn unlimited() -> Self {
        Self {
            request: Box::new(|_| Box::pin(async { true })),
            release: Box::new(|_| Box::pin(async {})),
        }
    }
}

fn lock(held: &Mutex<BTreeSet<UpstreamName>>) -> MutexGuard<'_, BTreeSet<UpstreamName>> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

fn permit_request(
    subscriber: &Subscriber,
    load: &VersionLoad,
    held: bool,
    done: bool,
) -> PermitRequest {
    PermitRequest {
        stamp: subscriber.stamp(),
        fence: load.fence,
        upstream: load.upstream.clone(),
        model: load.model.clone(),
        version: load.version.clone(),
        recovery: load.recovery,
        held,
        done,
    }
}

/// The order that was sent to an upstream but is not yet confirmed by its loaded versions, with the
/// time at which it was sent, in milliseconds of the monotonic clock.
#[derive(Default)]
pub(super) struct PendingOrder(Option<(VersionLoad, u64)>);

impl Core {
    /// Orders the engine to load a version that the table asks for and that is not in `loaded`, the
    /// versions that the engine has just reported. `loaded` also shows whether an order without an
    /// answer took effect.
    pub(super) async fn order_load(
        &self,
        upstream: &Arc<Upstream>,
        loaded: &[String],
        pending: &mut PendingOrder,
    ) {
        if let Some((load, _)) = pending
            .0
            .take_if(|(load, _)| loaded.contains(&load.version))
        {
            tracing::info!(upstream = %load.upstream, version = load.version, "version loaded");
            (self.permits.release)(load).await;
        }
        match &pending.0 {
            Some((load, sent_at_ms)) if monotonic_ms() < sent_at_ms + ORDER_RETRY_MS => {
                (self.permits.request)(load.clone()).await;
                return;
            }
            _ => pending.0 = None,
        }
        let Some(load) = self.next_load(upstream, loaded) else {
            return;
        };
        if !(self.permits.request)(load.clone()).await {
            return;
        }
        // Requesting the permit takes time, and the registration may have been replaced meanwhile.
        // Engines that don't check the fencing number rely on the sidecar for this check.
        if self.subscriber.current().await.is_err() || self.fence() != Some(load.fence) {
            return;
        }
        let order = Order {
            fence: load.fence,
            action: "load".to_owned(),
            model: load.model.to_string(),
            version: load.version.clone(),
        };
        let answer = upstream.engine.order(&order, ORDER_TIMEOUT).await;
        tracing::info!(
            upstream = %load.upstream, version = load.version, ?answer, "load order sent"
        );
        match answer {
            Ok(OrderAnswer::Fenced | OrderAnswer::Refused(_)) => {
                (self.permits.release)(load).await;
            }
            // After an error the engine may still be loading; its next report of versions decides.
            Ok(OrderAnswer::Done) | Err(_) => pending.0 = Some((load, monotonic_ms())),
        }
    }

    /// Returns the next version to load: the current one of the model's row first, then its
    /// `prepare_version`. Returns `None` if both are loaded, if the table has no row for the model,
    /// or if this incarnation is not registered.
    fn next_load(&self, upstream: &Upstream, loaded: &[String]) -> Option<VersionLoad> {
        let fence = self.fence()?;
        let model = upstream.model()?;
        let view = self.subscriber.view();
        let row = view.table.model(model)?;
        let versions = [Some(&row.version), row.prepare_version.as_ref()];
        let version = versions
            .into_iter()
            .flatten()
            .find(|version| !loaded.contains(version))?;
        Some(VersionLoad {
            fence,
            upstream: upstream.settings.name.clone(),
            model: model.clone(),
            version: version.clone(),
            recovery: loaded.is_empty(),
        })
    }

    /// Returns the fencing number of this incarnation, or `None` before it is registered.
    fn fence(&self) -> Option<Fence> {
        let me = self.subscriber.me();
        let view = self.subscriber.view();
        let member = view.members.members.get(&me.name)?;
        (member.incarnation == me.incarnation).then_some(member.fence)
    }
}
