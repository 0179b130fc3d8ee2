//! The kinds and workspaces of both mixes.

use serde::{Deserialize, Serialize};

use super::workload::{Mix, Workspace};
use crate::rpc::sidecar::Lane;

/// Time for a long generation. A tail of 40,000 tokens at 4 ms each takes 160 s.
const LONG_DEADLINE_MS: u64 = 240_000;
const SHORT_DEADLINE_MS: u64 = 10_000;
const SERVICE_DEADLINE_MS: u64 = 2_000;

/// Part of the requests of each workspace; a few are large.
const TRAFFIC: [u32; 10] = [30, 20, 15, 10, 7, 6, 4, 3, 3, 2];
const WEIGHTS: [u32; 10] = [5, 4, 3, 2, 2, 1, 1, 1, 1, 1];

/// How long outputs are: log-normal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutputLength {
    pub median_tokens: f64,
    pub sigma: f64,
    pub longest_tokens: f64,
}

/// What serves a kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    Model { model: String, output: OutputLength },
    Service { service: String, path: String },
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    pub name: String,
    pub lane: Lane,
    /// Part of the requests, relative to the other kinds.
    pub share: u32,
    pub target: Target,
    /// Prompt tokens shared by all requests of a workspace.
    pub prefix_tokens: u32,
    /// Bounds of the other prompt tokens.
    pub own_prompt_tokens: (u32, u32),
    pub deadline_ms: u64,
    pub repeatable: bool,
    /// True to ask as a chat, false as a prompt.
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

/// Returns the kinds of a mix.
pub(super) fn kinds(mix: Mix) -> Vec<Kind> {
    match mix {
        Mix::Chalkline => vec![
            long("essay", 15, "tutor", 900.0, 1.0),
            short("hint", 55, "tutor"),
            service("progress_card", 30, "classroom", "/card", true),
        ],
        Mix::Atlas => vec![
            long("report", 15, "advisor", 1_100.0, 1.1),
            short("question", 45, "advisor"),
            service("gate_scan", 20, "depot", "/gate/scan", false),
            service("pressure_alert", 15, "depot", "/pressure/alert", true),
            service("billing_count", 5, "depot", "/billing/count", false),
        ],
    }
}

fn long(name: &str, share: u32, model: &str, median_tokens: f64, sigma: f64) -> Kind {
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

fn short(name: &str, share: u32, model: &str) -> Kind {
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
        deadline_ms: SHORT_DEADLINE_MS,
        repeatable: true,
        chat: true,
    }
}

fn service(name: &str, share: u32, service: &str, path: &str, repeatable: bool) -> Kind {
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

/// Returns the workspaces of a mix.
pub(super) fn workspaces(mix: Mix, even_traffic: bool) -> Vec<Workspace> {
    TRAFFIC
        .iter()
        .zip(WEIGHTS)
        .enumerate()
        .map(|(index, (traffic, weight))| Workspace {
            name: format!("{}-{index}", mix.as_str()),
            weight,
            traffic: if even_traffic { 1 } else { *traffic },
        })
        .collect()
}
