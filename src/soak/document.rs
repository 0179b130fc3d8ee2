//! What the documents of a run are made of.

use super::operator::{Catalog, OperatorSettings};
use super::processes::{Layout, control_name};
use super::recorder::Recorder;
use super::upstreams::{MEMORY_TOKENS, SLOTS, TOKENS_PER_EVENT};
use crate::domain::document::EngineSpec;

pub(super) const PLAIN_SERVICES: [&str; 2] = ["sums", "words"];
pub(super) const ENGINE_SERVICE: &str = "essays";
const HOST: &str = "soak.example";
const TIMEOUT_MS: u64 = 20_000;
/// Mean time between two documents of one operator.
const PUBLISH_INTERVAL_MS: u64 = 1_000;
/// One in so many documents has about this size, in bytes.
const LARGE_DOCUMENTS: (u32, usize) = (20, 400_000);

pub(super) fn catalog() -> Catalog {
    Catalog {
        host: HOST.into(),
        plain: PLAIN_SERVICES.map(Into::into).to_vec(),
        engines: vec![ENGINE_SERVICE.into()],
        engine: EngineSpec {
            slots: SLOTS,
            memory_tokens: MEMORY_TOKENS,
            bytes_per_token: 163_840,
            link_mbps: 24_000,
            tokens_per_event: TOKENS_PER_EVENT,
            moves: true,
            backups: true,
        },
        timeout_ms: TIMEOUT_MS,
    }
}

pub(super) fn operator_settings(
    layout: &Layout,
    recorder: &Recorder,
    seed: u64,
) -> OperatorSettings {
    let controls = 0..layout.controls;
    OperatorSettings {
        controls: controls
            .map(|n| (control_name(n).into(), layout.operator_address(n)))
            .collect(),
        started_at: recorder.started_at(),
        seed,
        interval_ms: PUBLISH_INTERVAL_MS,
        large: Some(LARGE_DOCUMENTS),
    }
}
