//! The kinds and workspaces of both mixes.

use serde::{Deserialize, Serialize};

use super::workload::{Mix, Workspace};
use crate::rpc::sidecar::Lane;

/// The longest output, 40,000 tokens at 4 ms each, takes 160 s.
const LONG_DEADLINE_MS: u64 = 240_000;
const SMALL_DEADLINE_MS: u64 = 10_000;
const SERVICE_DEADLINE_MS: u64 = 2_000;

/// Requests of each workspace, relative to the others; a few workspaces send most of them.
const TRAFFIC_SHARES: [u32; 10] = [30, 20, 15, 10, 7, 6, 4, 3, 3, 2];
const WORKSPACE_WEIGHTS: [u32; 10] = [5, 4, 3, 2, 2, 1, 1, 1, 1, 1];

/// The log-normal distribution of output lengths.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutputLength {
    pub median_tokens: f64,
    pub sigma: f64,
    pub longest_tokens: f64,
}

/// The model or service that serves a kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    Model { model: String, output: OutputLength },
    Service { service: String, path: String },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    pub name: String,
    pub lane: Lane,
    /// Share of the requests, relative to the other kinds.
    pub share: u32,
    pub target: Target,
    /// Leading prompt tokens that all requests of a workspace and this kind have in common.
    pub prefix_tokens: u32,
    /// Inclusive bounds of the number of prompt tokens after the prefix.
    pub own_prompt_tokens: (u32, u32),
    pub deadline_ms: u64,
    pub repeatable: bool,
    /// Whether requests go to `/v1/chat/completions`; if false, to `/v1/completions`.
    pub chat: bool,
}

impl Kind {
    pub fn is_small(&self) -> bool {
        self.lane == Lane::Small
    }

    pub fn is_model(&self) -> bool {
        matches!(self.target, Target::Model { .. })
    }
}

pub(super) fn kinds(mix: Mix) -> Vec<Kind> {
    match mix {
        Mix::Chalkline => vec![
            long_kind("essay", 15, "tutor", 900.0, 1.0),
            small_kind("hint", 55, "tutor"),
            service_kind("progress_card", 30, "classroom", "/card", true),
        ],
        Mix::Atlas => vec![
            long_kind("report", 15, "advisor", 1_100.0, 1.1),
            small_kind("question", 45, "advisor"),
            service_kind("gate_scan", 20, "depot", "/gate/scan", false),
            service_kind("pressure_alert", 15, "depot", "/pressure/alert", true),
            service_kind("billing_count", 5, "depot", "/billing/count", false),
        ],
    }
}

fn long_kind(name: &str, share: u32, model: &str, median_tokens: f64, sigma: f64) -> Kind {
    Kind {
        name: name.to_owned(),
        lane: Lane::Long,
        share,
        target: Target::Model {
            model: model.to_owned(),
            output: OutputLength {
                median_tokens,
                sigma,
                longest_tokens: 40_000.0,
            },
        },
        prefix_tokens: 256,
        own_prompt_tokens: (200, 1_200),
        deadline_ms: LONG_DEADLINE_MS,
        repeatable: true,
        chat: false,
    }
}

fn small_kind(name: &str, share: u32, model: &str) -> Kind {
    Kind {
        name: name.to_owned(),
        lane: Lane::Small,
        share,
        target: Target::Model {
            model: model.to_owned(),
            output: OutputLength {
                median_tokens: 24.0,
                sigma: 0.6,
                longest_tokens: 512.0,
            },
        },
        prefix_tokens: 64,
        own_prompt_tokens: (10, 80),
        deadline_ms: SMALL_DEADLINE_MS,
        repeatable: true,
        chat: true,
    }
}

fn service_kind(name: &str, share: u32, service: &str, path: &str, repeatable: bool) -> Kind {
    Kind {
        name: name.to_owned(),
        lane: Lane::Small,
        share,
        target: Target::Service {
            service: service.to_owned(),
            path: path.to_owned(),
        },
        prefix_tokens: 0,
        own_prompt_tokens: (0, 0),
        deadline_ms: SERVICE_DEADLINE_MS,
        repeatable,
        chat: false,
    }
}

/// Returns the workspaces of a mix; with `even_traffic` all send equally many requests.
pub(super) fn workspaces(mix: Mix, even_traffic: bool) -> Vec<Workspace> {
    TRAFFIC_SHARES
        .iter()
        .zip(WORKSPACE_WEIGHTS)
        .enumerate()
        .map(|(index, (traffic, weight))| Workspace {
            name: format!("{}-{index}", mix.as_str()),
            weight,
            traffic: if even_traffic { 1 } else { *traffic },
        })
        .collect()
}
