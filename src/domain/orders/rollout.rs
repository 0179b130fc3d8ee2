//! Plans rollouts: which order an engine needs next, and which versions a replica may unload.
//!
//! The active version of a model is the one that its table row names.

use std::collections::BTreeSet;
use std::fmt;

use crate::domain::members::{Phase, Serves, UpstreamInfo};
use crate::domain::state::View;
use crate::model::{InstanceName, ModelName, UpstreamName};

/// The maximum share of a model's replicas that load for a rollout at once; at least one may.
pub const MAX_ROLLOUT_PERCENT: usize = 25;

/// A replica of a model. The ordering of replicas is the same in every process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Replica {
    pub instance: InstanceName,
    pub upstream: UpstreamName,
}

/// The state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// The loaded versions.
    pub versions: BTreeSet<String>,
    pub adapter: Option<String>,
    /// How many versions fit into the engine's memory at once.
    pub max_versions: usize,
    /// Versions with running generations; these must not be unloaded yet.
    pub busy: BTreeSet<String>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    Load { model: ModelName, version: String },
    Unload { model: ModelName, version: String },
    LoadAdapter { model: ModelName, adapter: String },
}

impl Order {
    /// Returns the model, and the version or adapter that the order loads from the weight store;
    /// `None` if it loads nothing.
    pub fn loads(&self) -> Option<(&ModelName, &str)> {
        match self {
            Self::Load { model, version } => Some((model, version)),
            Self::LoadAdapter { model, adapter } => Some((model, adapter)),
            Self::Unload { .. } => None,
        }
    }
}

/// Why a replica may not unload a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnloadRefusal {
    /// No other replica is guaranteed to keep the active version.
    LastActiveReplica,
    /// No replica serves the active version; it must be loaded first.
    NoActiveReplica,
    /// The table has no such model.
    UnknownModel,
}

impl fmt::Display for UnloadRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LastActiveReplica => "no other replica is guaranteed to keep the active version",
            Self::NoActiveReplica => "no replica serves the active version",
            Self::UnknownModel => "the table has no such model",
        })
    }
}

/// Returns whether a replica may unload a version, or replace it by `next`.
///
/// The active version may be unloaded only while a replica that sorts before this one serves it.
/// Otherwise two replicas that decide at the same time, each from an outdated view, could both
/// unload it in reliance on the other.
pub fn may_unload(
    view: &View,
    model: &ModelName,
    replica: &Replica,
    version: &str,
    next: Option<&str>,
) -> Result<(), UnloadRefusal> {
    let row = view.table.model(model).ok_or(UnloadRefusal::UnknownModel)?;
    let servers = replicas_serving(view, model, &row.version);
    if version == row.version {
        let earlier_replica_serves = servers.first().is_some_and(|first| first < replica);
        return earlier_replica_serves
            .then_some(())
            .ok_or(UnloadRefusal::LastActiveReplica);
    }
    if servers.is_empty() && next != Some(row.version.as_str()) {
        return Err(UnloadRefusal::NoActiveReplica);
    }
    Ok(())
}

/// Returns the live replicas that have a version loaded.
fn replicas_serving(view: &View, model: &ModelName, version: &str) -> BTreeSet<Replica> {
    let is_loaded = |upstream: &UpstreamInfo| upstream.versions.iter().any(|v| v == version);
    live_replicas(view, model, is_loaded)
}

fn live_replicas(
    view: &View,
    model: &ModelName,
    accept: impl Fn(&UpstreamInfo) -> bool,
) -> BTreeSet<Replica> {
    let serves = Serves::Model(model.clone());
    let live = view
        .members
        .members
        .values()
        .filter(|member| member.phase == Phase::Live);
    let upstreams = live.flat_map(|member| {
        let named = member.upstreams.iter();
        named.map(move |upstream| (member.name.clone(), upstream))
    });
    upstreams
        .filter(|(_, upstream)| upstream.serves == serves && accept(upstream))
        .map(|(instance, upstream)| Replica {
            instance,
            upstream: upstream.name.clone(),
        })
        .collect()
}

/// Returns how many of a model's replicas may load for a rollout at once.
pub fn max_concurrent_rollouts(replicas: usize) -> usize {
    (replicas * MAX_ROLLOUT_PERCENT / 100).max(1)
}

/// Returns the next order that brings an engine in line with the table; `None` if no order is
/// needed or allowed.
pub fn plan(
    view: &View,
    model: &ModelName,
    replica: &Replica,
    engine: &EngineState,
) -> Option<Order> {
    let row = view.table.model(model)?;
    let wanted_versions = wanted_versions(view, model, replica, engine)?;
    let missing = wanted_versions
        .iter()
        .find(|version| !engine.versions.contains(*version));
    if let Some(version) = missing
        && engine.versions.len() < engine.max_versions.max(1)
    {
        return Some(Order::Load {
            model: model.clone(),
            version: version.clone(),
        });
    }
    if engine.versions.contains(&row.version)
        && let Some(adapter) = row.adapter.as_ref()
        && engine.adapter.as_ref() != Some(adapter)
    {
        return Some(Order::LoadAdapter {
            model: model.clone(),
            adapter: adapter.clone(),
        });
    }
    let next = missing.map(String::as_str);
    let is_allowed = |version: &&String| may_unload(view, model, replica, version, next).is_ok();
    let mut versions = engine.versions.iter();
    let unloaded =
        versions.find(|version| !wanted_versions.contains(version) && is_allowed(version))?;
    Some(Order::Unload {
        model: model.clone(),
        version: unloaded.clone(),
    })
}

/// Returns the versions that an engine should have loaded, in order of priority; `None` if the
/// table has no such model.
fn wanted_versions(
    view: &View,
    model: &ModelName,
    replica: &Replica,
    engine: &EngineState,
) -> Option<Vec<String>> {
    let row = view.table.model(model)?;
    let active = row.version.clone();
    let prepared = row
        .prepare_version
        .clone()
        .filter(|version| *version != active);
    let Some(prepared) = prepared else {
        return Some(vec![active]);
    };
    if engine.max_versions > 1 {
        return Some(vec![active, prepared]);
    }
    let earlier_replica_serves = may_unload(view, model, replica, &active, Some(&prepared)).is_ok();
    let switches_first = earlier_replica_serves && loads_prepared_first(view, model, replica);
    Some(vec![if switches_first { prepared } else { active }])
}

/// Returns true if the replica is among those that replace the active version by the prepared one
/// before the others. This applies to engines that cannot hold both versions; the replicas that
/// sort last go first.
fn loads_prepared_first(view: &View, model: &ModelName, replica: &Replica) -> bool {
    let replicas = live_replicas(view, model, |_| true);
    let later = replicas.iter().filter(|other| *other > replica).count();
    later < max_concurrent_rollouts(replicas.len())
}
