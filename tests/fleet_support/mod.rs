//! Fixtures: a fleet of engines as the hub and entries see it.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

pub mod limits;

use std::net::SocketAddr;
use std::sync::Arc;

use lilacspindle::domain::document::EngineSpec;
use lilacspindle::domain::fleet::{
    Demand, EngineQuery, InstanceUpdate, Listed, ListedState, Report, View,
};
use lilacspindle::model::ZoneName;

pub const ENGINE: EngineSpec = EngineSpec {
    slots: 24,
    memory_tokens: 34_000,
    bytes_per_token: 163_840,
    link_mbps: 24_000,
    tokens_per_event: 4,
    moves: true,
    backups: true,
};
pub const LONG: Demand = Demand {
    prompt_tokens: 3_000,
    output_tokens: 1_000,
    gap_target_ms: None,
};

pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8_000))
}

pub fn listed(number: u8, zone: &str) -> Listed {
    Listed {
        identity: format!("i-{number}").into(),
        service: "model".into(),
        address: address(number),
        zone: ZoneName::from(zone),
        slots: 24,
        state: ListedState::Ready,
        cold_remaining_ms: 0,
        born_ms: None,
    }
}

pub fn report(used_tokens: u64, leaves_in_ms: Option<u64>) -> Report {
    Report {
        queued: 0,
        running: 1,
        used_tokens,
        total_tokens: 34_000,
        leaves_in_ms,
        draining: false,
        born_ms: None,
    }
}

pub fn instance_update(
    number: u8,
    report: Option<Report>,
    committed_tokens: u64,
) -> InstanceUpdate {
    InstanceUpdate {
        identity: format!("i-{number}").into(),
        report: report.map(|report| (report, 100)),
        running: 1,
        committed_tokens,
        ..InstanceUpdate::default()
    }
}

pub fn view(instances: u8) -> View {
    let mut view = View::new(ZoneName::from("a"));
    view.apply_platform_list((1..=instances).map(|n| listed(n, "a")).collect(), 0, 0);
    view
}

pub fn query(excluded: &[Arc<str>]) -> EngineQuery<'_> {
    EngineQuery {
        service: "model",
        demand: LONG,
        engine: ENGINE,
        excluded,
        read_within_ms: None,
        now_ms: 1_000,
        random: 7,
    }
}

pub fn engine(view: &View, excluded: &[Arc<str>]) -> Option<Arc<str>> {
    Some(view.choose_engine(&query(excluded))?.identity)
}
