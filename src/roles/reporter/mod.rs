//! The reporter: tells the directory what the engine on the same machine says of itself. The
//! engine knows first when it has to leave; the platform's list learns it most of a second later.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::site::Controls;
use crate::domain::fleet::Report;
use crate::platform::ReportReader;
use crate::rpc::directory::ReportRequest;

/// Time between reads of the engine's report. Notices are as short as 1.5 s, of which moving the
/// running generations takes most.
const READ_EVERY: Duration = Duration::from_millis(40);
const READ_LIMIT: Duration = Duration::from_millis(500);
/// Longest time between two reports to the directory.
const TELL_EVERY: Duration = Duration::from_millis(300);
const TELL_LIMIT: Duration = Duration::from_millis(400);

/// Reports on an engine. Does not return.
pub async fn run(engine: SocketAddr, seeds: watch::Receiver<Vec<SocketAddr>>) {
    let mut controls = Controls::new(seeds);
    let mut told: Option<(Instant, Report)> = None;
    let mut reachable = true;
    let mut reader = ReportReader::default();
    loop {
        match reader.read(engine, READ_LIMIT).await {
            Ok(report) => {
                if !std::mem::replace(&mut reachable, true) {
                    tracing::info!(%engine, "the engine answers again");
                }
                let due = told.is_none_or(|(at, before)| {
                    at.elapsed() >= TELL_EVERY || before.leaves() != report.leaves()
                });
                if due && tell(&mut controls, engine, report).await {
                    told = Some((Instant::now(), report));
                }
            }
            Err(error) => {
                if std::mem::replace(&mut reachable, false) {
                    tracing::warn!(%engine, %error, "the engine does not report");
                }
            }
        }
        sleep(READ_EVERY).await;
    }
}

/// Tells the directory; returns false if the leader was not reached.
async fn tell(controls: &mut Controls, address: SocketAddr, report: Report) -> bool {
    let Some(link) = controls.link() else {
        return false;
    };
    let request = ReportRequest { address, report };
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
            reply.leads
        }
        Err(error) => {
            controls.failed(&error.to_string());
            false
        }
    }
}
