//! A process of a site: runs those of the gateway, directory and reporter roles that its settings
//! configure.

mod control_selector;

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::directory::{DirectoryRole, serve_operators};
use super::gateway::Gateway;
use super::reporter;
use crate::adapters::clock::watch_for_stalls;
use crate::adapters::web;
use crate::rpc::{Services, serve};
use crate::settings::{ReporterSettings, Settings};

pub use control_selector::ControlSelector;

/// Time between reloads of the settings file, which may change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks for signals, by which the time of a signal is bounded.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the grace period that is reserved for the last responses, closing connections and the
/// log.
const CLOSE_MARGIN: Duration = Duration::from_millis(600);

/// Runs the roles that the settings configure until SIGTERM or SIGINT, then drains. `file` is the
/// settings file, which is reloaded. Fails if an address is in use.
pub async fn run(settings: Settings, file: PathBuf) -> Result<(), Box<dyn Error>> {
    // Registered first: a signal that arrives during the start must not kill the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    // On a busy machine a signal is noticed late. The last check but one that found none is a lower
    // bound of when it was sent; the last one may have run before a signal that was already pending
    // was delivered.
    let mut checked_at = Instant::now();
    let mut unsignalled_at = checked_at;
    let (seeds, watched) = watch::channel(settings.control_rpc_addresses());
    web::serve_metrics(settings.admin_address).await?;
    tokio::spawn(watch_for_stalls());
    let directory = match &settings.directory {
        Some(directory) => {
            let role = DirectoryRole::start(directory, settings.rpc_address, &watched.borrow());
            let listener = TcpListener::bind(settings.rpc_address).await?;
            let mut services = Services::default();
            role.offer(&mut services);
            tokio::spawn(serve(listener, services));
            serve_operators(&role, directory.operator_address).await?;
            Some(role)
        }
        None => None,
    };
    let gateway = match &settings.gateway {
        Some(gateway) => {
            let (name, zone) = (settings.instance.clone(), settings.zone.clone());
            Some(Gateway::start(gateway, name, zone, watched.clone()).await?)
        }
        None => None,
    };
    let reloader = Arc::new(Reloader {
        file,
        seeds,
        reporter: settings.reporter.clone().map(watch::Sender::new),
    });
    if let Some(reporter) = &reloader.reporter {
        let zone = settings.zone.clone();
        let reload = {
            let reloader = Arc::clone(&reloader);
            move || reloader.reload(false)
        };
        tokio::spawn(reporter::run(
            reporter.subscribe(),
            reload,
            zone,
            watched.clone(),
        ));
    }
    tracing::info!(instance = %settings.instance, zone = %settings.zone,
        gateway = gateway.is_some(), directory = directory.is_some(),
        reporter = settings.reporter.is_some(), "started");

    let mut reload_at = checked_at + SETTINGS_RELOAD_INTERVAL;
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reloader.reload(true),
            () = sleep_until(checked_at + SIGNAL_CHECK_INTERVAL) => {
                unsignalled_at = checked_at;
                checked_at = Instant::now();
                if checked_at < reload_at {
                    continue;
                }
                reload_at = checked_at + SETTINGS_RELOAD_INTERVAL;
                reloader.reload(false);
            }
        }
        if let Some(role) = &directory {
            role.set_peers(&watched.borrow());
        }
    }
    let unchecked_ms = u64::try_from(unsignalled_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    tracing::info!(instance = %settings.instance, unchecked_ms,
        "shutting down; no new work is accepted");
    let stop_directory = async {
        if let Some(role) = &directory {
            role.stop().await;
        }
    };
    let drain_gateway = async {
        if let (Some(gateway), Some(settings)) = (gateway, &settings.gateway) {
            let grace = Duration::from_millis(settings.grace_ms).saturating_sub(CLOSE_MARGIN);
            gateway.drain(unsignalled_at, grace).await;
        }
    };
    // Together, as the grace period of both runs from the signal.
    tokio::join!(stop_directory, drain_gateway);
    tracing::info!(instance = %settings.instance, "stopped");
    Ok(())
}

/// Reloads the settings that may change while the process runs: the addresses of control instances
/// and the engine of the reporter. Other settings need a restart.
struct Reloader {
    file: PathBuf,
    seeds: watch::Sender<Vec<SocketAddr>>,
    reporter: Option<watch::Sender<ReporterSettings>>,
}

impl Reloader {
    fn reload(&self, signalled: bool) {
        let settings = match Settings::load(&self.file) {
            Ok(settings) => settings,
            Err(findings) => {
                // The file may be read while it is being written.
                if signalled {
                    tracing::warn!(%findings, "settings not reloaded");
                }
                return;
            }
        };
        let addresses = settings.control_rpc_addresses();
        let changed = replace(&self.seeds, addresses.clone());
        if changed || signalled {
            tracing::info!(?addresses, changed, "settings reloaded");
        }
        if let (Some(current), Some(reporter)) = (&self.reporter, settings.reporter) {
            replace(current, reporter);
        }
    }
}

/// Replaces a watched value. Returns true if it has changed.
fn replace<T: PartialEq>(watched: &watch::Sender<T>, value: T) -> bool {
    watched.send_if_modified(|current| {
        let changed = *current != value;
        *current = value;
        changed
    })
}
