//! Which order an engine needs next, and which versions a replica may drop.

use std::collections::BTreeSet;
use std::fmt;

use crate::domain::members::{Phase, Serves, UpstreamInfo};
use crate::domain::state::View;
use crate::model::{InstanceName, ModelName, UpstreamName};

/// The share of a model's replicas that may load for a rollout at once; at least one may.
pub const ROLLOUT_SHARE_PERCENT: usize = 25;

/// One replica of a model. The order of replicas is the same for every process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Replica {
    pub instance: InstanceName,
    pub upstream: UpstreamName,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    pub versions: BTreeSet<String>,
    pub adapter: Option<String>,
    /// How many versions fit beside each other.
    pub max_versions: usize,
    /// Versions with running generations; these are not unloaded yet.
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
    /// Returns the model and what is loaded from the weight store, if anything is.
    pub fn loads(&self) -> Option<(&ModelName, &str)> {
        match self {
            Self::Load { model, version } => Some((model, version)),
            Self::LoadAdapter { model, adapter } => Some((model, adapter)),
            Self::Unload { .. } => None,
        }
    }
}

/// Why a replica may not drop a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropRefusal {
    /// No other replica is sure to keep the version in force.
    LastInForce,
    /// No replica serves the version in force; load it first.
    NoneInForce,
    /// The table has no such model.
    UnknownModel,
}

impl fmt::Display for DropRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LastInForce => "no other replica is sure to keep the version in force",
            Self::NoneInForce => "no replica serves the version in force",
            Self::UnknownModel => "the table has no such model",
        })
    }
}

/// Returns whether a replica may unload a version, or switch away from it to `next`.
///
/// The version in force may be dropped only while a replica that comes earlier in the order of
/// replicas serves it. Two replicas that decide at once, each from an older view, can then not
/// both drop it in reliance on the other.
pub fn may_drop(
    view: &View,
    model: &ModelName,
    replica: &Replica,
    version: &str,
    next: Option<&str>,
) -> Result<(), DropRefusal> {
    let row = view.table.model(model).ok_or(DropRefusal::UnknownModel)?;
    let servers = serving(view, model, &row.version);
    if version == row.version {
        let has_keeper = servers.first().is_some_and(|keeper| keeper < replica);
        return has_keeper.then_some(()).ok_or(DropRefusal::LastInForce);
    }
    if servers.is_empty() && next != Some(row.version.as_str()) {
        return Err(DropRefusal::NoneInForce);
    }
    Ok(())
}

/// Returns the live replicas that have a version loaded.
fn serving(view: &View, model: &ModelName, version: &str) -> BTreeSet<Replica> {
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

/// Returns how many of a model's replicas may be busy with a rollout at once.
pub fn rollout_share(replicas: usize) -> usize {
    (replicas * ROLLOUT_SHARE_PERCENT / 100).max(1)
}

/// Returns the order that brings an engine closer to what the table says, if one is needed and
/// allowed.
pub fn plan(
    view: &View,
    model: &ModelName,
    replica: &Replica,
    engine: &EngineState,
) -> Option<Order> {
    let row = view.table.model(model)?;
    let wanted = wanted(view, model, replica, engine)?;
    let missing = wanted
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
    let may = |version: &&String| may_drop(view, model, replica, version, next).is_ok();
    let mut versions = engine.versions.iter();
    let dropped = versions.find(|version| !wanted.contains(version) && may(version))?;
    Some(Order::Unload {
        model: model.clone(),
        version: dropped.clone(),
    })
}

/// Returns the versions that an engine should have, the most important first.
fn wanted(
    view: &View,
    model: &ModelName,
    replica: &Replica,
    engine: &EngineState,
) -> Option<Vec<String>> {
    let row = view.table.model(model)?;
    let in_force = row.version.clone();
    let prepared = row
        .prepare_version
        .clone()
        .filter(|version| *version != in_force);
    let Some(prepared) = prepared else {
        return Some(vec![in_force]);
    };
    if engine.max_versions > 1 {
        return Some(vec![in_force, prepared]);
    }
    let has_keeper = may_drop(view, model, replica, &in_force, Some(&prepared)).is_ok();
    let gives_way = has_keeper && is_prepared_first(view, model, replica);
    Some(vec![if gives_way { prepared } else { in_force }])
}

/// Returns true if the replica belongs to the share that loads a prepared version in place of the
/// one in force, where engines have no room for both: the last ones in the order of replicas.
fn is_prepared_first(view: &View, model: &ModelName, replica: &Replica) -> bool {
    let replicas = live_replicas(view, model, |_| true);
    let later = replicas.iter().filter(|other| *other > replica).count();
    later < rollout_share(replicas.len())
}
