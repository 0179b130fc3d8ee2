//! The reporter role: forwards the report of the engine on the same machine to the directory. The
//! engine is the first to know when it has to leave; the platform's list shows it most of a second
//! later. The same holds for its start, so the reporter also sends the identity of the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::site::ControlSelector;
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::{AddressOwner, KnownLimit, LimitChange, Report};
use crate::model::ZoneName;
use crate::platform::{CallFailure, ReportReader, read_identity};
use crate::rpc::directory::ReportRequest;
use crate::settings::ReporterSettings;

/// Time between reads of the engine's report. An engine may leave with a notice of only 1.5 s, most
/// of which is needed to move its running generations.
const READ_INTERVAL: Duration = Duration::from_millis(40);
/// The same while the engine names a request limit. Reports are no requests of callers, but the
/// engine is in need.
const LIMITED_READ_INTERVAL: Duration = Duration::from_millis(300);
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time between two reports to the directory; a notice is sent at once.
const SEND_INTERVAL: Duration = Duration::from_millis(300);
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// The identity of an engine is read only within this time of its start. Later the platform's list,
/// which lags by 0.8 s on the sites planned for, shows it anyway, and health checks have a cost
/// there.
const IDENTIFY_WINDOW: Duration = Duration::from_millis(1_500);
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound on the health checks after one start of an engine.
const MAX_IDENTIFY_ATTEMPTS: u32 = 2;

/// One run of the engine process, from its start to its end.
struct EngineRun {
    /// When this process first read a report of the run.
    first_seen: Instant,
    born_ms: Option<u64>,
    identity: Option<Arc<str>>,
    identify_attempts: u32,
    /// True if the engine belongs to the service of the settings. Without that, the platform's list
    /// decides.
    is_owned: bool,
    /// True if its identity may show that it does.
    may_be_owned: bool,
    /// The request limit that the engine names in its reports.
    limit: KnownLimit,
    /// The end of the engine's cold time; `None` if its health check does not state it.
    cold_until_ms: Option<u64>,
}

impl EngineRun {
    fn new(report: Report, owner: &AddressOwner) -> Self {
        let is_owned = owner.owns_any(monotonic_ms());
        Self {
            is_owned,
            may_be_owned: is_owned || owner.knows_identity(),
            first_seen: Instant::now(),
            born_ms: report.born_ms,
            identity: None,
            identify_attempts: 0,
            limit: KnownLimit::default(),
            cold_until_ms: None,
        }
    }

    /// Returns true if a report belongs to this run. One without a time of start is taken to do so.
    fn includes(&self, report: Report) -> bool {
        match (self.born_ms, report.born_ms) {
            (Some(own_ms), Some(born_ms)) => own_ms == born_ms,
            _ => true,
        }
    }

    /// Returns true while the identity of the engine is still to be read.
    fn is_identifying(&self) -> bool {
        self.identity.is_none()
            && self.may_be_owned
            && self.identify_attempts < MAX_IDENTIFY_ATTEMPTS
            && self.first_seen.elapsed() <= IDENTIFY_WINDOW
    }

    /// Reads the identity of the engine if that is still to be done. Returns true if this was the
    /// last attempt: it succeeded, or no other one will follow.
    async fn identify(
        &mut self,
        engine: SocketAddr,
        health_path: &str,
        owner: &AddressOwner,
    ) -> bool {
        if !self.is_identifying() {
            return false;
        }
        self.identify_attempts += 1;
        match read_identity(engine, health_path, IDENTIFY_TIMEOUT).await {
            Ok(read) => {
                self.is_owned |= owner.owns(&read.identity);
                self.identity = Some(read.identity);
                let remaining_ms = read.cold_remaining_ms;
                self.cold_until_ms = remaining_ms.map(|ms| monotonic_ms().saturating_add(ms));
            }
            Err(error) => {
                tracing::info!(%engine, %error, "cannot read the identity of the engine");
                if let CallFailure::AskedForTime(pause) = error {
                    sleep(Duration::from_millis(pause.bounded_ms())).await;
                }
            }
        }
        !self.is_identifying()
    }

    /// Returns how long the engine stays cold; `None` if it does not say.
    fn cold_remaining_ms(&self) -> Option<u64> {
        let until_ms = self.cold_until_ms?;
        Some(until_ms.saturating_sub(monotonic_ms()))
    }

    /// Returns the identity to announce.
    fn announced(&self) -> Option<&Arc<str>> {
        self.identity.as_ref().filter(|_| self.is_owned)
    }
}

/// Reports on the engine of the settings. `seeds` are the addresses of control instances; both may
/// change. `reload` reads the settings file again. Does not return.
pub async fn run(
    mut watched: watch::Receiver<ReporterSettings>,
    reload: impl Fn(),
    zone: ZoneName,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) {
    let mut settings = watched.borrow_and_update().clone();
    let mut owner = AddressOwner::new(monotonic_ms() + settings.reuse_after_ms);
    let mut selector = ControlSelector::new(seeds);
    let mut last_sent: Option<(Instant, Report)> = None;
    let mut run: Option<EngineRun> = None;
    let mut health_path: Option<Arc<str>> = None;
    let mut is_reachable = true;
    let mut reader = ReportReader::default();
    loop {
        let asked_ms = monotonic_ms();
        if watched.has_changed().unwrap_or(false) {
            let changed = watched.borrow_and_update().clone();
            if changed != settings {
                tracing::info!(engine = %changed.engine_address,
                    service = changed.engine_service.as_deref(), "engine of the settings changed");
                owner = AddressOwner::new(asked_ms + changed.reuse_after_ms);
                (settings, run, last_sent, health_path) = (changed, None, None, None);
                reader = ReportReader::default();
            }
        }
        let engine = settings.engine_address;
        match reader.read(engine, READ_TIMEOUT).await {
            Ok((report, named)) => {
                if !std::mem::replace(&mut is_reachable, true) {
                    tracing::info!(%engine, "the engine is reachable again");
                }
                let known = run.take().filter(|run| run.includes(report));
                if known.is_none() {
                    last_sent = None;
                    // The settings may have changed with the engine.
                    reload();
                    if watched.has_changed().unwrap_or(false) {
                        continue;
                    }
                }
                let run = run.insert(known.unwrap_or_else(|| EngineRun::new(report, &owner)));
                if let Some(path) = &health_path
                    && run.identify(engine, path, &owner).await
                {
                    tracing::info!(%engine, identity = run.identity.as_deref(),
                        is_owned = run.is_owned, cold_remaining_ms = run.cold_remaining_ms(),
                        after_ms = run.first_seen.elapsed().as_millis(),
                        "engine identified, or no further attempts to identify it");
                    last_sent = None;
                }
                if run.is_owned {
                    let assigned_until_ms = asked_ms + settings.reuse_after_ms;
                    owner.extend(run.identity.as_ref(), assigned_until_ms);
                }
                let limit_change = run.limit.hear_response(named, asked_ms, monotonic_ms());
                if limit_change != LimitChange::Unchanged {
                    tracing::info!(%engine, ?named, change = ?limit_change,
                        "request limit of the engine changed");
                    last_sent = None;
                }
                let is_due = last_sent.is_none_or(|(at, previous)| {
                    at.elapsed() >= SEND_INTERVAL || previous.leaves() != report.leaves()
                });
                let request = ReportRequest {
                    address: engine,
                    report,
                    zone: zone.clone(),
                    service: settings.engine_service.clone(),
                    identity: run.announced().cloned(),
                    is_identifying: run.is_identifying(),
                    limit: run.limit.statement(monotonic_ms()),
                    cold_remaining_ms: run.cold_remaining_ms(),
                };
                let knew_path = health_path.is_some();
                if is_due && send_report(&mut selector, request, &mut health_path).await {
                    last_sent = Some((Instant::now(), report));
                }
                if !knew_path && health_path.is_some() {
                    // The leader does not use the engine before it has the identity, so it is read
                    // without a pause.
                    continue;
                }
            }
            // The state of the engine is unknown during the pause, but its run has not ended.
            Err(CallFailure::AskedForTime(pause)) => {
                let pause_ms = pause.bounded_ms();
                tracing::info!(%engine, asked = ?pause, pause_ms,
                    "the engine asked for a pause in calls");
                sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(error) => {
                run = None;
                if std::mem::replace(&mut is_reachable, false) {
                    tracing::warn!(%engine, %error, "cannot read the report of the engine");
                }
            }
        }
        let limit = run.as_ref().and_then(|run| run.limit.milli_per_s());
        sleep(limit.map_or(READ_INTERVAL, |_| LIMITED_READ_INTERVAL)).await;
    }
}

/// Sends a report to the directory, and takes the health check path of the service from the answer.
/// Returns false if the report did not reach the leader.
async fn send_report(
    selector: &mut ControlSelector,
    request: ReportRequest,
    health_path: &mut Option<Arc<str>>,
) -> bool {
    let Some(link) = selector.link() else {
        return false;
    };
    let answer = link
        .call(SEND_TIMEOUT, |client, context| async move {
            client.report(context, request).await
        })
        .await;
    match answer {
        Ok(reply) => {
            selector.follow(reply.leader);
            if !reply.leads && reply.leader.is_none() {
                // The instance may be partitioned from the others, which may have a leader.
                selector.unconfirmed();
            }
            if reply.health_path.is_some() {
                *health_path = reply.health_path;
            }
            reply.leads
        }
        Err(error) => {
            selector.failed(&error.to_string());
            false
        }
    }
}
