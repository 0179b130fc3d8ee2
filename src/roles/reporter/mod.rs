//! The reporter: tells the directory what the engine on the same machine says of itself. The
//! engine knows first when it has to leave; the platform's list learns it most of a second later.
//! The same holds for its start, so the reporter also tells which engine it is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::site::Controls;
use crate::domain::fleet::Report;
use crate::model::ZoneName;
use crate::platform::{CallFailure, ReportReader, read_identity};
use crate::rpc::directory::ReportRequest;
use crate::settings::ReporterSettings;

/// Time between reads of the engine's report. Notices are as short as 1.5 s, of which moving the
/// running generations takes most.
const READ_EVERY: Duration = Duration::from_millis(40);
const READ_LIMIT: Duration = Duration::from_millis(500);
/// Longest time between two reports to the directory.
const TELL_EVERY: Duration = Duration::from_millis(300);
const TELL_LIMIT: Duration = Duration::from_millis(400);
/// An engine is asked for its identity within this time of its start. Later the platform's list, which
/// lags by 0.8 s on the sites planned for, shows it anyway; health checks have a price there.
const IDENTIFY_WITHIN: Duration = Duration::from_millis(1_500);
const IDENTIFY_LIMIT: Duration = Duration::from_millis(300);
/// Health checks of one start of an engine, at most.
const MAX_IDENTIFY: u32 = 2;

/// An engine since its start, as far as this process has seen it.
struct EngineStart {
    seen_at: Instant,
    born_ms: Option<u64>,
    identity: Option<Arc<str>>,
    asked: u32,
}

impl EngineStart {
    fn new(report: Report) -> Self {
        Self {
            seen_at: Instant::now(),
            born_ms: report.born_ms,
            identity: None,
            asked: 0,
        }
    }

    /// Returns false if a report is of another start. One that does not say so is of the same.
    fn goes_on(&self, report: Report) -> bool {
        match (self.born_ms, report.born_ms) {
            (Some(before_ms), Some(born_ms)) => before_ms == born_ms,
            _ => true,
        }
    }

    /// Returns true while the engine is to be asked for its identity.
    fn is_identifying(&self) -> bool {
        self.identity.is_none()
            && self.asked < MAX_IDENTIFY
            && self.seen_at.elapsed() <= IDENTIFY_WITHIN
    }

    /// Asks the engine for its identity if that is new to the list. Returns true once it is known, or
    /// will not be.
    async fn identify(&mut self, engine: SocketAddr, health_path: &str) -> bool {
        if !self.is_identifying() {
            return false;
        }
        self.asked += 1;
        match read_identity(engine, health_path, IDENTIFY_LIMIT).await {
            Ok(identity) => self.identity = Some(identity),
            Err(error) => {
                tracing::info!(%engine, %error, "the engine does not tell its identity");
                if let CallFailure::AskedForTime(asked) = error {
                    sleep(Duration::from_millis(asked.bounded_ms())).await;
                }
            }
        }
        !self.is_identifying()
    }
}

/// Reports on an engine. Does not return.
pub async fn run(
    settings: ReporterSettings,
    zone: ZoneName,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) {
    let engine = settings.engine_address;
    let mut controls = Controls::new(seeds);
    let mut told: Option<(Instant, Report)> = None;
    let mut start: Option<EngineStart> = None;
    let mut health_path: Option<Arc<str>> = None;
    let mut reachable = true;
    let mut reader = ReportReader::default();
    loop {
        match reader.read(engine, READ_LIMIT).await {
            Ok(report) => {
                if !std::mem::replace(&mut reachable, true) {
                    tracing::info!(%engine, "the engine answers again");
                }
                let known = start.take().filter(|start| start.goes_on(report));
                if known.is_none() {
                    told = None;
                }
                let start = start.insert(known.unwrap_or_else(|| EngineStart::new(report)));
                if let Some(path) = &health_path
                    && start.identify(engine, path).await
                {
                    tracing::info!(%engine, identity = start.identity.as_deref(),
                        after_ms = start.seen_at.elapsed().as_millis(), "engine identified, or not to be asked again");
                    told = None;
                }
                let due = told.is_none_or(|(at, before)| {
                    at.elapsed() >= TELL_EVERY || before.leaves() != report.leaves()
                });
                let request = ReportRequest {
                    address: engine,
                    report,
                    zone: zone.clone(),
                    service: settings.engine_service.clone(),
                    identity: start.identity.clone(),
                    is_identifying: start.is_identifying(),
                };
                let knew_path = health_path.is_some();
                if due && tell(&mut controls, request, &mut health_path).await {
                    told = Some((Instant::now(), report));
                }
                if !knew_path && health_path.is_some() {
                    // The leader waits for the identity before it uses the engine.
                    continue;
                }
            }
            // Its state is not known for that long, and it has not started again.
            Err(CallFailure::AskedForTime(asked)) => {
                let pause_ms = asked.bounded_ms();
                tracing::info!(%engine, ?asked, pause_ms, "the engine wants no calls");
                sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(error) => {
                start = None;
                if std::mem::replace(&mut reachable, false) {
                    tracing::warn!(%engine, %error, "the engine does not report");
                }
            }
        }
        sleep(READ_EVERY).await;
    }
}

/// Tells the directory, and learns where engines tell their identity; returns false if the leader
/// was not reached.
async fn tell(
    controls: &mut Controls,
    request: ReportRequest,
    health_path: &mut Option<Arc<str>>,
) -> bool {
    let Some(link) = controls.link() else {
        return false;
    };
    let answer = link
        .call(TELL_LIMIT, |client, context| async move {
            client.report(context, request).await
        })
        .await;
    match answer {
        Ok(reply) => {
            controls.follow(reply.leader);
            if !reply.leads && reply.leader.is_none() {
                // It may be cut off from the others, which have another leader.
                controls.unconfirmed();
            }
            if reply.health_path.is_some() {
                *health_path = reply.health_path;
            }
            reply.leads
        }
        Err(error) => {
            controls.failed(&error.to_string());
            false
        }
    }
}
