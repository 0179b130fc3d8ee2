//! The command line of the load tool.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::{Args, Subcommand};

use super::added::{AddedOptions, added_latency};
use super::client::Targets;
use super::load::{BenchError, Place, PolicyRun, compare};
use super::plot::write_plots;
use super::recorder::Recorder;
use super::report::Report;
use super::sim::{Comparison, NamedPolicy, ablations, adaptive, baselines};
use super::workload::{Mix, Workload, WorkloadOptions};
use crate::roles::standin::EngineConfig;

/// Drives load and reports what callers saw.
#[derive(Debug, Clone, Args)]
pub struct Options {
    #[command(subcommand)]
    pub command: Command,
}

/// What the load tool does.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Drives recorded arrivals against running processes.
    Load(LoadOptions),
    /// Measures what entry and sidecar add to small calls, direct and through in turns.
    AddedLatency(AddedLatencyOptions),
    /// Drives the same arrivals against several policies in one run.
    Compare(CompareOptions),
    /// Compares policies in simulated time, without processes.
    Simulate(SimulateOptions),
}

/// Recorded arrivals.
#[derive(Debug, Clone, Args)]
pub struct ArrivalOptions {
    #[arg(long, value_enum, default_value = "chalkline")]
    pub mix: Mix,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Requests per second, service calls included.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Part of capacity that the rate stands for, for the report.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Multiplies prompt and output lengths.
    #[arg(long, default_value_t = 1.0)]
    pub length_scale: f64,
    /// All workspaces send the same number of requests.
    #[arg(long)]
    pub even_traffic: bool,
    /// Replays the arrivals of this file.
    #[arg(long)]
    pub arrivals: Option<PathBuf>,
    /// Writes the arrivals to this file.
    #[arg(long)]
    pub save_arrivals: Option<PathBuf>,
}

/// Where results go besides standard output.
#[derive(Debug, Clone, Default, Args)]
pub struct OutputOptions {
    /// Writes the report to this file as JSON.
    #[arg(long)]
    pub json_file: Option<PathBuf>,
    /// Writes plots into this folder.
    #[arg(long)]
    pub svg_folder: Option<PathBuf>,
}

/// Options of `load`.
#[derive(Debug, Clone, Args)]
pub struct LoadOptions {
    #[command(flatten)]
    pub arrivals: ArrivalOptions,
    /// Base URLs of entries, or of engines to be asked directly.
    #[arg(long = "url", value_delimiter = ',', required = true)]
    pub urls: Vec<String>,
    /// Base URLs of services to be asked directly.
    #[arg(long = "service-url", value_delimiter = ',')]
    pub service_urls: Vec<String>,
    /// Base URLs of engines whose metrics are read.
    #[arg(long = "engine-url", value_delimiter = ',')]
    pub engine_urls: Vec<String>,
    /// Model versions that may answer.
    #[arg(long = "model-version", value_delimiter = ',', default_value = "v1")]
    pub versions: Vec<String>,
    #[command(flatten)]
    pub output: OutputOptions,
}

/// Options of `compare`.
#[derive(Debug, Clone, Args)]
pub struct CompareOptions {
    #[command(flatten)]
    pub arrivals: ArrivalOptions,
    /// A policy as NAME=URL,URL; given once per policy.
    #[arg(long = "policy", required = true)]
    pub policies: Vec<String>,
    /// Engines of a policy as NAME=URL,URL, whose metrics are read.
    #[arg(long = "engines")]
    pub engines: Vec<String>,
    /// Services of a policy to be asked directly, as NAME=URL,URL.
    #[arg(long = "services")]
    pub services: Vec<String>,
    #[arg(long = "model-version", value_delimiter = ',', default_value = "v1")]
    pub versions: Vec<String>,
    #[command(flatten)]
    pub output: OutputOptions,
}

/// Options of `added-latency`.
#[derive(Debug, Clone, Args)]
pub struct AddedLatencyOptions {
    #[arg(long)]
    pub direct_engine: String,
    #[arg(long)]
    pub direct_service: String,
    /// Base URL of an entry.
    #[arg(long)]
    pub through: String,
    #[arg(long, default_value = "tutor")]
    pub model: String,
    #[arg(long, default_value = "classroom")]
    pub service: String,
    #[arg(long, default_value = "chalkline-0")]
    pub workspace: String,
    #[arg(long, default_value = "progress_card")]
    pub service_kind: String,
    #[arg(long, default_value = "hint")]
    pub model_kind: String,
    #[arg(long, default_value_t = 2_000)]
    pub count: u32,
    #[command(flatten)]
    pub output: OutputOptions,
}

/// Options of `simulate`.
#[derive(Debug, Clone, Args)]
pub struct SimulateOptions {
    #[arg(
        long,
        value_enum,
        value_delimiter = ',',
        default_value = "chalkline,atlas"
    )]
    pub mixes: Vec<Mix>,
    #[arg(long, value_delimiter = ',', default_value = "0.7,1.0,1.3")]
    pub loads: Vec<f64>,
    /// Number of seeds, from 1.
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
    #[arg(long, default_value_t = 4)]
    pub engines: usize,
    #[arg(long, default_value_t = 100_000)]
    pub capacity_tokens: u64,
    #[arg(long, default_value_t = 64)]
    pub max_batch: u32,
    #[arg(long, default_value_t = 4)]
    pub step_ms: u64,
    #[arg(long, default_value_t = 240)]
    pub seconds: u64,
    #[arg(long, default_value_t = 1.0)]
    pub length_scale: f64,
    #[arg(long)]
    pub even_traffic: bool,
    /// Kills one engine and slows another threefold halfway.
    #[arg(long)]
    pub failure: bool,
    /// Runs variants of the project's own policy as well, each with one mechanism off.
    #[arg(long)]
    pub ablations: bool,
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
    #[command(flatten)]
    pub output: OutputOptions,
}

/// Runs the load tool; simulations compare the baselines and the project's own policy.
pub fn run(options: &Options) -> Result<Report, BenchError> {
    run_with(options, Vec::new())
}

/// Runs the load tool; simulations compare the baselines, the project's own policy and `policies`.
pub fn run_with(options: &Options, policies: Vec<NamedPolicy>) -> Result<Report, BenchError> {
    let (report, output) = match &options.command {
        Command::Load(load) => (run_load(load)?, &load.output),
        Command::Compare(compare) => (run_compare(compare)?, &compare.output),
        Command::AddedLatency(added) => (run_added(added)?, &added.output),
        Command::Simulate(simulate) => (run_simulate(simulate, policies), &simulate.output),
    };
    write_output(&report, output)?;
    Ok(report)
}

fn run_load(options: &LoadOptions) -> Result<Report, BenchError> {
    let workload = Arc::new(workload(&options.arrivals)?);
    let policy = PolicyRun {
        name: "load".to_owned(),
        place: Place::Running(Targets {
            urls: options.urls.clone(),
            service_urls: options.service_urls.clone(),
            engine_urls: options.engine_urls.clone(),
            versions: options.versions.clone(),
        }),
    };
    let runs = runtime()?.block_on(compare(vec![policy], &workload, options.arrivals.load))?;
    Ok(Report::Runs(runs))
}

fn run_compare(options: &CompareOptions) -> Result<Report, BenchError> {
    let workload = Arc::new(workload(&options.arrivals)?);
    let mut policies = Vec::new();
    for text in &options.policies {
        let (name, urls) = named_urls(text)?;
        let targets = Targets {
            urls,
            service_urls: urls_of(&options.services, &name)?,
            engine_urls: urls_of(&options.engines, &name)?,
            versions: options.versions.clone(),
        };
        policies.push(PolicyRun {
            name,
            place: Place::Running(targets),
        });
    }
    let runs = runtime()?.block_on(compare(policies, &workload, options.arrivals.load))?;
    Ok(Report::Runs(runs))
}

fn run_added(options: &AddedLatencyOptions) -> Result<Report, BenchError> {
    let options = AddedOptions {
        direct_engine: options.direct_engine.clone(),
        direct_service: options.direct_service.clone(),
        through: options.through.clone(),
        model: options.model.clone(),
        service: options.service.clone(),
        workspace: options.workspace.clone(),
        service_kind: options.service_kind.clone(),
        model_kind: options.model_kind.clone(),
        count: options.count,
    };
    let rows = runtime()?.block_on(added_latency(&options))?;
    Ok(Report::AddedLatency(rows))
}

fn run_simulate(options: &SimulateOptions, policies: Vec<NamedPolicy>) -> Report {
    let comparison = Comparison {
        mixes: options.mixes.clone(),
        loads: options.loads.clone(),
        seeds: (1..=options.seeds).collect(),
        engines: options.engines,
        engine: EngineConfig {
            capacity_tokens: options.capacity_tokens,
            max_batch: options.max_batch,
            step_us: options.step_ms * 1_000,
            cache_tokens: options.capacity_tokens / 2,
            ..EngineConfig::default()
        },
        duration_ms: options.seconds * 1_000,
        length_scale: options.length_scale,
        even_traffic: options.even_traffic,
        failure: options.failure,
        threads: options.threads,
    };
    let mut all = baselines();
    all.push(adaptive());
    if options.ablations {
        all.extend(ablations());
    }
    all.extend(policies);
    let results = comparison.run(&all);
    Report::Runs(results.iter().map(Recorder::report).collect())
}

fn workload(options: &ArrivalOptions) -> Result<Workload, BenchError> {
    let workload = match &options.arrivals {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|error| at(path, &error))?;
            serde_json::from_str(&text).map_err(|error| at(path, &error))?
        }
        None => Workload::draw(&WorkloadOptions {
            mix: options.mix,
            seed: options.seed,
            requests_per_s: options.rate,
            duration_ms: options.seconds * 1_000,
            length_scale: options.length_scale,
            even_traffic: options.even_traffic,
        }),
    };
    if let Some(path) = &options.save_arrivals {
        write_json(path, &workload)?;
    }
    Ok(workload)
}

fn named_urls(text: &str) -> Result<(String, Vec<String>), BenchError> {
    match text.split_once('=') {
        Some((name, urls)) => {
            let urls = urls.split(',').map(str::to_owned).collect();
            Ok((name.to_owned(), urls))
        }
        None => Err(BenchError(format!("{text:?} is not NAME=URL,URL"))),
    }
}

/// Returns the URLs that a list of NAME=URL,URL gives for one name.
fn urls_of(texts: &[String], name: &str) -> Result<Vec<String>, BenchError> {
    for text in texts {
        let (other, urls) = named_urls(text)?;
        if other == name {
            return Ok(urls);
        }
    }
    Ok(Vec::new())
}

fn write_output(report: &Report, output: &OutputOptions) -> Result<(), BenchError> {
    if let Some(path) = &output.json_file {
        write_json(path, report)?;
    }
    if let (Some(folder), Report::Runs(runs)) = (&output.svg_folder, report) {
        write_plots(folder, runs)?;
    }
    Ok(())
}

fn write_json(path: &Path, value: &impl serde::Serialize) -> Result<(), BenchError> {
    let text = serde_json::to_string_pretty(value).map_err(|error| at(path, &error))?;
    std::fs::write(path, text).map_err(|error| at(path, &error))
}

fn at(path: &Path, error: &dyn std::error::Error) -> BenchError {
    BenchError(format!("{}: {error}", path.display()))
}

fn runtime() -> Result<tokio::runtime::Runtime, BenchError> {
    tokio::runtime::Runtime::new()
        .map_err(|error| BenchError(format!("cannot start threads: {error}")))
}
