//! Recorded arrivals: who asks for what, and when. The same seed gives the same arrivals.

use std::fmt::Write;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use super::kinds::{Kind, Target, kinds, workspaces};
use crate::roles::standin::api::draw_length;
use crate::roles::standin::tokens::{BLOCK_TOKENS, chat_prompt};

/// Bounds on the output that callers name, with how many in ten name each.
const MAX_TOKENS: [(u32, u32); 3] = [(4_096, 5), (16_384, 3), (40_000, 2)];
/// Bound on the output of small calls.
const SMALL_MAX_TOKENS: u32 = 512;

/// The traffic of one of the first users.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum,
)]
#[serde(rename_all = "snake_case")]
pub enum Mix {
    Chalkline,
    Atlas,
}

impl Mix {
    /// Returns the name used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chalkline => "chalkline",
            Self::Atlas => "atlas",
        }
    }
}

/// A workspace and its part of the traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub name: String,
    pub weight: u32,
    /// Part of the requests, relative to the other workspaces.
    pub traffic: u32,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    pub number: u32,
    pub at_us: u64,
    /// Index into the workload's workspaces.
    pub workspace: usize,
    /// Index into the workload's kinds.
    pub kind: usize,
    pub prompt_tokens: u32,
    /// Leading prompt tokens that all requests of the workspace and kind share.
    pub prefix_tokens: u32,
    pub max_tokens: u32,
    /// The true output length.
    pub target_tokens: u32,
}

impl Arrival {
    /// Returns the number of tokens of a complete answer.
    pub fn output_tokens(&self) -> u32 {
        self.target_tokens.min(self.max_tokens)
    }
}

/// What arrivals are drawn from.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkloadOptions {
    pub mix: Mix,
    pub seed: u64,
    pub requests_per_s: f64,
    pub duration_ms: u64,
    /// Multiplies prompt and output lengths; less than 1 makes short trials.
    pub length_scale: f64,
    /// All workspaces send the same number of requests, so that weights alone decide the shares.
    pub even_traffic: bool,
}

/// Arrivals with the kinds and workspaces that they refer to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workload {
    pub mix: Mix,
    pub seed: u64,
    pub duration_ms: u64,
    pub kinds: Vec<Kind>,
    pub workspaces: Vec<Workspace>,
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Draws arrivals of a Poisson process.
    pub fn draw(options: &WorkloadOptions) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let mut workload = Self {
            mix: options.mix,
            seed: options.seed,
            duration_ms: options.duration_ms,
            kinds: kinds(options.mix),
            workspaces: workspaces(options.mix, options.even_traffic),
            arrivals: Vec::new(),
        };
        let mut elapsed_s = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            elapsed_s -= uniform.ln() / options.requests_per_s.max(1e-6);
            let at_us = seconds_to_us(elapsed_s);
            if at_us >= options.duration_ms * 1_000 {
                return workload;
            }
            let arrival = workload.draw_one(&mut rng, at_us, options.length_scale);
            workload.arrivals.push(arrival);
        }
    }

    /// Returns the prompt of a request: the shared prefix, then its own words.
    pub fn prompt(&self, arrival: &Arrival) -> String {
        let mut prompt = self.prefix(arrival);
        for word in arrival.prefix_tokens..arrival.prompt_tokens {
            // Writing to a string does not fail.
            let _ = write!(prompt, "q{}x{word} ", arrival.number);
        }
        prompt
    }

    /// Returns the shared words at the start of a request's prompt.
    pub fn prefix(&self, arrival: &Arrival) -> String {
        let mut prefix = String::new();
        for word in 0..arrival.prefix_tokens {
            // Writing to a string does not fail.
            let _ = write!(prefix, "p{}k{}x{word} ", arrival.workspace, arrival.kind);
        }
        prefix
    }

    /// Returns the prompt as the engine sees it, which the checker needs.
    pub fn engine_prompt(&self, arrival: &Arrival) -> String {
        let prompt = self.prompt(arrival);
        if self.kinds[arrival.kind].chat {
            chat_prompt([("user", prompt.as_str())])
        } else {
            prompt
        }
    }

    fn draw_one(&self, rng: &mut StdRng, at_us: u64, scale: f64) -> Arrival {
        let traffic = self.workspaces.iter().map(|workspace| workspace.traffic);
        let workspace = draw_index(rng, traffic);
        let kind_index = draw_index(rng, self.kinds.iter().map(|kind| kind.share));
        let kind = &self.kinds[kind_index];
        let number = u32::try_from(self.arrivals.len()).unwrap_or(u32::MAX);
        let mut arrival = Arrival {
            number,
            at_us,
            workspace,
            kind: kind_index,
            prompt_tokens: 0,
            prefix_tokens: 0,
            max_tokens: 0,
            target_tokens: 0,
        };
        if let Target::Model { output, .. } = &kind.target {
            let prefix = scaled(kind.prefix_tokens, scale) / BLOCK_TOKENS * BLOCK_TOKENS;
            let (least, most) = kind.own_prompt_tokens;
            let own = scaled(rng.random_range(least..=most), scale);
            arrival.prefix_tokens = prefix;
            arrival.prompt_tokens = prefix + own.max(1);
            arrival.target_tokens = draw_length(
                rng,
                output.median_tokens * scale,
                output.sigma,
                output.longest_tokens * scale,
            );
            let bound = draw_index(rng, MAX_TOKENS.iter().map(|(_, part)| *part));
            arrival.max_tokens = if kind.is_small() {
                SMALL_MAX_TOKENS
            } else {
                scaled(MAX_TOKENS[bound].0, scale)
            };
        }
        arrival
    }
}

/// Returns an index with a probability in proportion to the parts.
fn draw_index(rng: &mut StdRng, parts: impl Iterator<Item = u32> + Clone) -> usize {
    let total: u32 = parts.clone().sum();
    let mut left = rng.random_range(0..total.max(1));
    for (index, part) in parts.enumerate() {
        if left < part {
            return index;
        }
        left -= part;
    }
    0
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(tokens: u32, scale: f64) -> u32 {
    (f64::from(tokens) * scale).max(1.0) as u32
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn seconds_to_us(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
