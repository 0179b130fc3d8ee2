//! Arrivals of requests, drawn at random. The same seed gives the same arrivals.

use std::fmt::Write;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use super::kinds::{Kind, Target, kinds, workspaces};
use crate::roles::standin::api::draw_length;
use crate::roles::standin::tokens::{BLOCK_TOKENS, chat_prompt};

/// Values of `max_tokens` for long kinds, each with its share of the requests in tenths.
const LONG_MAX_TOKENS: [(u32, u32); 3] = [(4_096, 5), (16_384, 3), (40_000, 2)];
/// Value of `max_tokens` for small kinds.
const SMALL_MAX_TOKENS: u32 = 512;

/// The mix of requests of one of the first users.
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

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub name: String,
    pub weight: u32,
    /// Share of the requests, relative to the other workspaces.
    pub traffic: u32,
}

/// One request and the time at which it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    pub number: u32,
    pub at_us: u64,
    /// Index into `Workload::workspaces`.
    pub workspace: usize,
    /// Index into `Workload::kinds`.
    pub kind: usize,
    pub prompt_tokens: u32,
    /// Leading prompt tokens that all requests of the workspace and kind share.
    pub prefix_tokens: u32,
    pub max_tokens: u32,
    /// Output length at which the engine ends the answer by itself.
    pub target_tokens: u32,
}

impl Arrival {
    /// Returns the number of tokens of a complete answer.
    pub fn output_tokens(&self) -> u32 {
        self.target_tokens.min(self.max_tokens)
    }
}

/// Parameters of the arrivals.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkloadOptions {
    pub mix: Mix,
    pub seed: u64,
    pub requests_per_s: f64,
    pub duration_ms: u64,
    /// Factor for prompt and output lengths; below 1 it shortens a run.
    pub length_scale: f64,
    /// Gives all workspaces an equal share of the requests, so that weights alone decide how tokens
    /// are shared.
    pub even_traffic: bool,
}

/// Arrivals, and the kinds and workspaces that they refer to.
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
    /// Returns arrivals drawn from a Poisson process.
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
            let arrival = workload.draw_arrival(&mut rng, at_us, options.length_scale);
            workload.arrivals.push(arrival);
        }
    }

    /// Returns the prompt of a request: the shared prefix, then words that are unique to it.
    pub fn prompt(&self, arrival: &Arrival) -> String {
        let mut prompt = self.prefix(arrival);
        for word in arrival.prefix_tokens..arrival.prompt_tokens {
            // Writing to a string does not fail.
            let _ = write!(prompt, "q{}x{word} ", arrival.number);
        }
        prompt
    }

    /// Returns the start of the prompt, which all requests of the workspace and kind share.
    pub fn prefix(&self, arrival: &Arrival) -> String {
        let mut prefix = String::new();
        for word in 0..arrival.prefix_tokens {
            // Writing to a string does not fail.
            let _ = write!(prefix, "p{}k{}x{word} ", arrival.workspace, arrival.kind);
        }
        prefix
    }

    /// Returns the prompt as the engine receives it. The expected tokens depend on it.
    pub fn engine_prompt(&self, arrival: &Arrival) -> String {
        let prompt = self.prompt(arrival);
        if self.kinds[arrival.kind].chat {
            chat_prompt([("user", prompt.as_str())])
        } else {
            prompt
        }
    }

    fn draw_arrival(&self, rng: &mut StdRng, at_us: u64, scale: f64) -> Arrival {
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
            let prefix_tokens =
                scale_tokens(kind.prefix_tokens, scale) / BLOCK_TOKENS * BLOCK_TOKENS;
            let (min, max) = kind.own_prompt_tokens;
            let own_tokens = scale_tokens(rng.random_range(min..=max), scale);
            arrival.prefix_tokens = prefix_tokens;
            arrival.prompt_tokens = prefix_tokens + own_tokens.max(1);
            arrival.target_tokens = draw_length(
                rng,
                output.median_tokens * scale,
                output.sigma,
                output.longest_tokens * scale,
            );
            let choice = draw_index(rng, LONG_MAX_TOKENS.iter().map(|(_, share)| *share));
            arrival.max_tokens = if kind.is_small() {
                SMALL_MAX_TOKENS
            } else {
                scale_tokens(LONG_MAX_TOKENS[choice].0, scale)
            };
        }
        arrival
    }
}

/// Returns a random index; the probability of each is proportional to its weight.
fn draw_index(rng: &mut StdRng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let total: u32 = weights.clone().sum();
    let mut remaining = rng.random_range(0..total.max(1));
    for (index, weight) in weights.enumerate() {
        if remaining < weight {
            return index;
        }
        remaining -= weight;
    }
    0
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale_tokens(tokens: u32, scale: f64) -> u32 {
    (f64::from(tokens) * scale).max(1.0) as u32
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn seconds_to_us(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
