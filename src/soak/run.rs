//! Runs a plan.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::callers::Callers;
use super::document::{catalog, operator_settings};
use super::operator::{Drafts, Operator};
use super::plan::{Plan, PlanKind};
use super::processes::{Layout, control_name, entry_name, sidecar_name};
use super::recorder::Recorder;
use super::steps::{Place, Site};
use crate::soak::history::{Bounds, History};

const FIRST_UPSTREAM: usize = 130;
const UPSTREAM_PORT: u16 = 7_300;
const START_LIMIT: Duration = Duration::from_secs(30);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which requests that are open at the end of a run may end.
const LAST_CALLS_LIMIT: Duration = Duration::from_secs(25);

/// Where and how a plan is run.
#[derive(Debug, Clone)]
pub struct Environment {
    pub folder: PathBuf,
    pub daemon: PathBuf,
    /// Number of threads that only use processor time.
    pub busy_threads: usize,
}

/// Sets a flag when it is dropped.
struct SetOnDrop(Arc<AtomicBool>);

impl Drop for SetOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs a plan and returns its history. Fails if the site cannot be started, or on SIGINT or
/// SIGTERM; all processes have ended in any case.
pub async fn run(plan: &Plan, environment: &Environment) -> io::Result<History> {
    let mut interrupted = signal(SignalKind::interrupt())?;
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        history = run_to_end(plan, environment) => history,
        _ = interrupted.recv() => Err(io::ErrorKind::Interrupted.into()),
        _ = terminated.recv() => Err(io::ErrorKind::Interrupted.into()),
    }
}

async fn run_to_end(plan: &Plan, environment: &Environment) -> io::Result<History> {
    let recorder = Arc::new(Recorder::new());
    let (network, list_listener) = free_network().await;
    let layout = Arc::new(Layout {
        folder: environment.folder.clone(),
        daemon: environment.daemon.clone(),
        network,
        controls: plan.size.controls,
        grace_ms: Bounds::default().grace_ms,
    });
    let _stop_threads = spin(environment.busy_threads);
    let mut places = Vec::new();
    for index in 0..plan.size.engines + plan.size.services {
        let machine = u8::try_from(FIRST_UPSTREAM + index).map_err(io::Error::other)?;
        let ip = Ipv4Addr::new(127, network[0], network[1], machine);
        let address = SocketAddr::from((ip, UPSTREAM_PORT));
        let is_direct =
            plan.kind == PlanKind::Illnesses && index >= plan.size.engines && index % 2 == 0;
        places.push(Place::new(index, address, plan.seed, is_direct).await?);
    }
    let site = Arc::new(Site::new(
        Arc::clone(&layout),
        Arc::clone(&recorder),
        places,
        plan.size.engines,
    ));
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&site.platform).serve_list(list_listener));
    for entry in 0..plan.size.entries {
        tasks.spawn(Arc::clone(&site.platform).probe(Arc::clone(&layout), entry));
    }
    start_site(&site, plan)?;
    let settings = operator_settings(&layout, &recorder, plan.seed);
    let controls = settings.controls.iter().map(|(name, _)| Arc::clone(name));
    recorder.history().controls = Some(controls.collect());
    let operator = Operator::new(settings, Drafts::new(catalog(), plan.seed));
    let operator = operator.map_err(io::Error::other)?;
    timeout(START_LIMIT, operator.publish_first()).await?;
    let ready = async {
        while site.platform.ready_entries() < plan.size.entries {
            sleep(WATCH_INTERVAL).await;
        }
    };
    timeout(START_LIMIT, ready).await?;

    let began_ms = recorder.now_ms();
    let callers = Arc::new(Callers {
        recorder: Arc::clone(&recorder),
        platform: Arc::clone(&site.platform),
        layout,
        entries: plan.size.entries,
        news: operator.news(),
        ending: CancellationToken::new(),
        seed: plan.seed,
        prefers_plain: plan.kind == PlanKind::Illnesses,
        next_connection: AtomicU64::new(0),
    });
    let mut calling = JoinSet::new();
    let count = match plan.kind {
        PlanKind::Illnesses => plan.size.callers * 2,
        _ => plan.size.callers,
    };
    for caller in 0..count as u64 {
        calling.spawn(Arc::clone(&callers).run(caller));
    }
    let (stop_publishing, publishing_stop) = watch::channel(false);
    let mut publishing = JoinSet::new();
    publishing.spawn({
        let operator = Arc::clone(&operator);
        async move { operator.run(publishing_stop).await }
    });
    let mut stepping = JoinSet::new();
    for step in plan.steps.clone() {
        let site = Arc::clone(&site);
        stepping.spawn(async move {
            sleep(Duration::from_millis(step.at_ms)).await;
            if let Err(error) = site.carry_out(step.action).await {
                eprintln!("soak: {:?} failed: {error}", step.action);
            }
        });
    }
    watch_progress(&site, plan, began_ms).await;
    callers.ending.cancel();
    while stepping.join_next().await.is_some() {}
    stop_publishing.send_replace(true);
    tokio::join!(await_calls(calling), read_at_end(&operator, publishing));
    site.processes.record_unexpected_exits();
    let mut history = std::mem::take(&mut *recorder.history());
    let record = operator.take_record();
    history.documents = record.documents;
    history.publications = record.publications;
    history.reads = record.reads;
    history.ended_ms = recorder.now_ms();
    Ok(history)
}

/// Waits until the callers have ended.
async fn await_calls(mut calling: JoinSet<()>) {
    let ended = async { while calling.join_next().await.is_some() {} };
    if timeout(LAST_CALLS_LIMIT, ended).await.is_err() {
        eprintln!("soak: {} callers have not ended", calling.len());
    }
}

/// Waits until no publication is in progress, and reads the document that is then in force.
async fn read_at_end(operator: &Operator, mut publishing: JoinSet<()>) {
    let ended = timeout(LAST_CALLS_LIMIT, publishing.join_next());
    if ended.await.is_err() {
        eprintln!("soak: publications have not ended");
    }
    let time = Duration::from_millis(Bounds::default().connectivity_ms);
    operator.read_at_end(Instant::now() + time).await;
}

/// Starts the instances, control processes, entries and sidecars.
fn start_site(site: &Site, plan: &Plan) -> io::Result<()> {
    for place in &site.places {
        site.start_instance(place)?;
    }
    let (processes, layout) = (&site.processes, &site.layout);
    for control in 0..plan.size.controls {
        let name = control_name(control);
        processes.write_settings(&name, &layout.control_settings(control, true))?;
        processes.start(&name)?;
    }
    for entry in 0..plan.size.entries {
        let name = entry_name(entry);
        processes.write_settings(&name, &layout.entry_settings(entry, 0))?;
        processes.start(&name)?;
    }
    for (index, place) in site.places.iter().enumerate() {
        let name = sidecar_name(index);
        let service = site.service_of(index);
        let settings = layout.sidecar_settings(index, service, place.address());
        processes.write_settings(&name, &settings)?;
        processes.start(&name)?;
    }
    Ok(())
}

/// Waits until the run is over; prints its progress and records processes that end by themselves.
async fn watch_progress(site: &Site, plan: &Plan, began_ms: u64) {
    let mut printed_ms = 0;
    // A site that has formed once is not formed anew by later starts.
    for control in 0..plan.size.controls {
        let settings = site.layout.control_settings(control, false);
        if let Err(error) = site
            .processes
            .write_settings(&control_name(control), &settings)
        {
            eprintln!("soak: cannot write the settings of a control process: {error}");
        }
    }
    loop {
        let now_ms = site.recorder.now_ms() - began_ms;
        if now_ms >= plan.size.run_ms {
            return;
        }
        site.processes.record_unexpected_exits();
        if now_ms >= printed_ms + PROGRESS_INTERVAL.as_secs() * 1_000 {
            printed_ms = now_ms;
            let history = site.recorder.history();
            eprintln!(
                "soak: {} s of {}, {} calls, {} executions, {} faults, {} of {} entries ready",
                now_ms / 1_000,
                plan.size.run_ms / 1_000,
                history.calls.len(),
                history.executions.len(),
                history.faults.len(),
                site.platform.ready_entries(),
                plan.size.entries
            );
        }
        sleep(WATCH_INTERVAL).await;
    }
}

/// Starts threads that only use processor time until the returned value is dropped.
fn spin(threads: usize) -> SetOnDrop {
    let stop = Arc::new(AtomicBool::new(false));
    for _ in 0..threads {
        let stop = Arc::clone(&stop);
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                std::hint::spin_loop();
            }
        });
    }
    SetOnDrop(stop)
}

/// Returns a part of the loopback network that no other run uses, and the listener that reserves
/// it.
async fn free_network() -> ([u8; 2], TcpListener) {
    loop {
        let network = [64 + rand::random::<u8>() % 128, rand::random()];
        let layout = Layout {
            folder: PathBuf::new(),
            daemon: PathBuf::new(),
            network,
            controls: 1,
            grace_ms: 0,
        };
        if let Ok(listener) = TcpListener::bind(layout.list_address()).await {
            return (network, listener);
        }
    }
}
