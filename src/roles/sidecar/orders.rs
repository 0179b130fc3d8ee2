//! Orders to engines, fenced by the registration of this incarnation.

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

/// Time for the answer to an order.
const ORDER_LIMIT: Duration = Duration::from_secs(5);
/// Time for the answer to a question for a permit.
const PERMIT_LIMIT: Duration = Duration::from_secs(2);
/// An order whose effect is not seen for this long is given again.
const ORDER_AGAIN_MS: u64 = 60_000;

/// A load for which permission is asked or given back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    pub fence: Fence,
    pub upstream: UpstreamName,
    pub model: ModelName,
    pub version: String,
    /// True if the upstream has no version at all, so that it serves nothing until it has loaded.
    pub recovery: bool,
}

type Ask = Box<dyn Fn(Load) -> BoxFuture<'static, bool> + Send + Sync>;
type GiveBack = Box<dyn Fn(Load) -> BoxFuture<'static, ()> + Send + Sync>;

/// Permission to load from the weight store.
pub struct Permits {
    /// Returns true if the load may begin or go on. Asked before the order and, as a renewal,
    /// until the version is loaded.
    pub ask: Ask,
    /// Called once the load is over.
    pub give_back: GiveBack,
}

impl Permits {
    /// Returns permits that the control leader grants.
    pub fn of_control(subscriber: &Arc<Subscriber>) -> Self {
        let (asker, giver) = (Arc::clone(subscriber), Arc::clone(subscriber));
        let held = Arc::new(Mutex::new(BTreeSet::new()));
        let held_until_done = Arc::clone(&held);
        Self {
            ask: Box::new(move |load| {
                let (subscriber, held) = (Arc::clone(&asker), Arc::clone(&held));
                Box::pin(async move {
                    let holds = lock(&held).contains(&load.upstream);
                    let request = permit_request(&subscriber, &load, holds, false);
                    let answer = subscriber.calls().permit(&request, PERMIT_LIMIT).await;
                    let granted = matches!(answer, Ok(PermitReply::Granted { .. }));
                    match granted {
                        true => lock(&held).insert(load.upstream),
                        false => lock(&held).remove(&load.upstream),
                    };
                    granted
                })
            }),
            give_back: Box::new(move |load| {
                let (subscriber, held) = (Arc::clone(&giver), Arc::clone(&held_until_done));
                Box::pin(async move {
                    lock(&held).remove(&load.upstream);
                    let request = permit_request(&subscriber, &load, false, true);
                    // Without an answer the permit ends with its lease.
                    let _ = subscriber.calls().permit(&request, PERMIT_LIMIT).await;
                })
            }),
        }
    }

    /// Returns permits that are always granted.
    pub fn unlimited() -> Self {
        Self {
            ask: Box::new(|_| Box::pin(async { true })),
            give_back: Box::new(|_| Box::pin(async {})),
        }
    }
}

fn lock(held: &Mutex<BTreeSet<UpstreamName>>) -> MutexGuard<'_, BTreeSet<UpstreamName>> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

fn permit_request(subscriber: &Subscriber, load: &Load, held: bool, done: bool) -> PermitRequest {
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

/// The order that an upstream has been given and whose effect is not seen yet.
#[derive(Default)]
pub(super) struct InFlight(Option<(Load, u64)>);

impl Core {
    /// Orders a version that the table wants and the engine does not have. `loaded` was just read
    /// from the engine, which also resolves the doubt after an order without an answer.
    pub(super) async fn order(
        &self,
        upstream: &Arc<Upstream>,
        loaded: &[String],
        in_flight: &mut InFlight,
    ) {
        if let Some((load, _)) = in_flight
            .0
            .take_if(|(load, _)| loaded.contains(&load.version))
        {
            tracing::info!(upstream = %load.upstream, version = load.version, "version loaded");
            (self.permits.give_back)(load).await;
        }
        match &in_flight.0 {
            Some((load, at_ms)) if monotonic_ms() < at_ms + ORDER_AGAIN_MS => {
                (self.permits.ask)(load.clone()).await;
                return;
            }
            _ => in_flight.0 = None,
        }
        let Some(load) = self.wanted(upstream, loaded) else {
            return;
        };
        if !(self.permits.ask)(load.clone()).await {
            return;
        }
        // The permit may have taken a while. An engine that does not check the number relies on
        // this sidecar not to act on a registration that was replaced.
        if self.subscriber.current().await.is_err() || self.fence() != Some(load.fence) {
            return;
        }
        let order = Order {
            fence: load.fence,
            action: "load".to_owned(),
            model: load.model.to_string(),
            version: load.version.clone(),
        };
        let answer = upstream.engine.order(&order, ORDER_LIMIT).await;
        tracing::info!(upstream = %load.upstream, version = load.version, ?answer, "load ordered");
        match answer {
            Ok(OrderAnswer::Fenced | OrderAnswer::Refused(_)) => {
                (self.permits.give_back)(load).await;
            }
            // Without an answer it may be loading; what the engine reports decides.
            Ok(OrderAnswer::Done) | Err(_) => in_flight.0 = Some((load, monotonic_ms())),
        }
    }

    /// Returns the load that is due: the version in force first, then the one to prepare.
    fn wanted(&self, upstream: &Upstream, loaded: &[String]) -> Option<Load> {
        let fence = self.fence()?;
        let model = upstream.model()?;
        let view = self.subscriber.view();
        let row = view.table.model(model)?;
        let versions = [Some(&row.version), row.prepare_version.as_ref()];
        let version = versions
            .into_iter()
            .flatten()
            .find(|version| !loaded.contains(version))?;
        Some(Load {
            fence,
            upstream: upstream.settings.name.clone(),
            model: model.clone(),
            version: version.clone(),
            recovery: loaded.is_empty(),
        })
    }

    /// Returns the fencing number of this incarnation; none before it is registered.
    fn fence(&self) -> Option<Fence> {
        let me = self.subscriber.me();
        let view = self.subscriber.view();
        let member = view.members.members.get(&me.name)?;
        (member.incarnation == me.incarnation).then_some(member.fence)
    }
}
