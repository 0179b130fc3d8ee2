//! Command-line options of the load tool, and the commands behind them.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::{Args, Subcommand};

use super::added::{AddedLatencyConfig, added_latency};
use super::client::Targets;
use super::load::{BenchError, PolicyProcesses, PolicyRun, compare_policies};
use super::plot::write_plots;
use super::recorder::Recorder;
use super::report::Report;
use super::sim::{Comparison, NamedPolicy, ablations, adaptive, baselines};
use super::workload::{Mix, Workload, WorkloadOptions};
use crate::roles::standin::EngineConfig;

/// Generates load and reports latency, throughput and outcomes as callers see them.
#[derive(Debug, Clone, Args)]
pub struct Options {
    #[command(subcommand)]
    pub command: Command,
}

/// A command of the load tool.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Send the arrivals of a workload to running processes
    Load(LoadOptions),
    /// Measure the latency that entry and sidecar add to small calls
    AddedLatency(AddedLatencyOptions),
    /// Send the same arrivals to several policies, one after another
    Compare(CompareOptions),
    /// Compare policies in simulated time, without processes
    Simulate(SimulateOptions),
}

/// Where arrivals come from: drawn from a seed, or read from a file.
#[derive(Debug, Clone, Args)]
pub struct ArrivalOptions {
    #[arg(long, value_enum, default_value = "chalkline")]
    pub mix: Mix,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Requests per second, service calls included.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Offered load as a fraction of capacity; appears in the report only.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Factor on prompt and output lengths.
    #[arg(long, default_value_t = 1.0)]
    pub length_scale: f64,
    /// Gives all workspaces the same request rate.
    #[arg(long)]
    pub even_traffic: bool,
    /// Replays the arrivals in this JSON file instead of drawing them.
    #[arg(long)]
    pub arrivals: Option<PathBuf>,
    /// Writes the arrivals to this file as JSON.
    #[arg(long)]
    pub save_arrivals: Option<PathBuf>,
}

/// Files that results are written to, in addition to standard output.
#[derive(Debug, Clone, Default, Args)]
pub struct OutputOptions {
    /// Writes the report to this file as JSON.
    #[arg(long)]
    pub json_file: Option<PathBuf>,
    /// Writes SVG plots into this folder.
    #[arg(long)]
    pub svg_folder: Option<PathBuf>,
}

/// Options of `load`.
#[derive(Debug, Clone, Args)]
pub struct LoadOptions {
    #[command(flatten)]
    pub arrivals: ArrivalOptions,
    /// Base URLs of entries, or of engines that receive generations directly.
    #[arg(long = "url", value_delimiter = ',', required = true)]
    pub urls: Vec<String>,
    /// Base URLs of services that receive calls directly.
    #[arg(long = "service-url", value_delimiter = ',')]
    pub service_urls: Vec<String>,
    /// Base URLs of engines whose metrics are reported.
    #[arg(long = "engine-url", value_delimiter = ',')]
    pub engine_urls: Vec<String>,
    /// Model versions whose answers are accepted.
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
    /// A policy and the base URLs that serve it, as NAME=URL,URL; repeated for each policy.
    #[arg(long = "policy", required = true)]
    pub policies: Vec<String>,
    /// Engines of a policy whose metrics are reported, as NAME=URL,URL.
    #[arg(long = "engines")]
    pub engines: Vec<String>,
    /// Services that receive the calls of a policy directly, as NAME=URL,URL.
    #[arg(long = "services")]
    pub services: Vec<String>,
    /// Model versions whose answers are accepted.
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
    /// Number of seeds, counted from 1.
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
    /// Halfway through, kills one engine and slows another down by a factor of three.
    #[arg(long)]
    pub failure: bool,
    /// Also simulates variants of the adaptive policy, each with one mechanism disabled.
    #[arg(long)]
    pub ablations: bool,
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
    #[command(flatten)]
    pub output: OutputOptions,
}

/// Runs the load tool; `simulate` compares the baselines and the adaptive policy.
pub fn run(options: &Options) -> Result<Report, BenchError> {
    run_with(options, Vec::new())
}

/// Runs the load tool; `simulate` compares the baselines, the adaptive policy and `policies`.
pub fn run_with(options: &Options, policies: Vec<NamedPolicy>) -> Result<Report, BenchError> {
    let (report, output) = match &options.command {
        Command::Load(load) => (run_load(load)?, &load.output),
        Command::Compare(compare) => (run_compare(compare)?, &compare.output),
        Command::AddedLatency(added) => (run_added_latency(added)?, &added.output),
        Command::Simulate(simulate) => (run_simulate(simulate, policies), &simulate.output),
    };
    write_output(&report, output)?;
    Ok(report)
}

fn run_load(options: &LoadOptions) -> Result<Report, BenchError> {
    let workload = Arc::new(workload(&options.arrivals)?);
    let policy = PolicyRun {
        name: "load".to_owned(),
        processes: PolicyProcesses::Running(Targets {
            urls: options.urls.clone(),
            service_urls: options.service_urls.clone(),
            engine_urls: options.engine_urls.clone(),
            versions: options.versions.clone(),
        }),
    };
    let runs = runtime()?.block_on(compare_policies(
        vec![policy],
        &workload,
        options.arrivals.load,
    ))?;
    Ok(Report::Runs(runs))
}

fn run_compare(options: &CompareOptions) -> Result<Report, BenchError> {
    let workload = Arc::new(workload(&options.arrivals)?);
    let mut policies = Vec::new();
    for text in &options.policies {
        let (name, urls) = named_urls(text)?;
        let targets = Targets {
            urls,
            service_urls: urls_for(&options.services, &name)?,
            engine_urls: urls_for(&options.engines, &name)?,
            versions: options.versions.clone(),
        };
        policies.push(PolicyRun {
            name,
            processes: PolicyProcesses::Running(targets),
        });
    }
    let runs = runtime()?.block_on(compare_policies(policies, &workload, options.arrivals.load))?;
    Ok(Report::Runs(runs))
}

fn run_added_latency(options: &AddedLatencyOptions) -> Result<Report, BenchError> {
    let config = AddedLatencyConfig {
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
    let rows = runtime()?.block_on(added_latency(&config))?;
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
    let mut compared = baselines();
    compared.push(adaptive());
    if options.ablations {
        compared.extend(ablations());
    }
    compared.extend(policies);
    let results = comparison.run(&compared);
    Report::Runs(results.iter().map(Recorder::report).collect())
}

fn workload(options: &ArrivalOptions) -> Result<Workload, BenchError> {
    let workload = match &options.arrivals {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|error| file_error(path, &error))?;
            serde_json::from_str(&text).map_err(|error| file_error(path, &error))?
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

/// Parses NAME=URL,URL.
fn named_urls(text: &str) -> Result<(String, Vec<String>), BenchError> {
    match text.split_once('=') {
        Some((name, urls)) => {
            let urls = urls.split(',').map(str::to_owned).collect();
            Ok((name.to_owned(), urls))
        }
        None => Err(BenchError(format!(
            "{text:?} does not have the form NAME=URL,URL"
        ))),
    }
}

/// Returns the URLs of the first NAME=URL,URL in `texts` with this name; none if there is none.
fn urls_for(texts: &[String], name: &str) -> Result<Vec<String>, BenchError> {
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
    let text = serde_json::to_string_pretty(value).map_err(|error| file_error(path, &error))?;
    std::fs::write(path, text).map_err(|error| file_error(path, &error))
}

fn file_error(path: &Path, error: &dyn std::error::Error) -> BenchError {
    BenchError(format!("{}: {error}", path.display()))
}

fn runtime() -> Result<tokio::runtime::Runtime, BenchError> {
    tokio::runtime::Runtime::new()
        .map_err(|error| BenchError(format!("cannot start the async runtime: {error}")))
}
