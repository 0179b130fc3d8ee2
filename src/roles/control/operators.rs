//! Implements the operators' API port on the control role. Every instance answers: edits are
//! forwarded to the leader, and reads are confirmed by it.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::ControlRole;
use super::operator_api::OperatorPort;
use super::replica::{MemberStatus, Replica, ReplicaStatus};
use super::{Leadership, LogError};
use crate::domain::members::{Member, Phase};
use crate::domain::state::{Command, Response};
use crate::roles::subscriber::SubmitError;
use crate::rpc::control::ControlError;

/// Upper bound on the time that an operator's edit waits for a leader and its commit.
const EDIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Upper bound on the time that an operator's read waits for its confirmation.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// The status of an instance and its view of the fleet, as shown to operators.
#[derive(Debug, Serialize)]
pub struct Status {
    pub instance: String,
    pub log: LogStatus,
    /// The version of the view that this instance has applied.
    pub version: u64,
    pub confirmed_age_ms: Option<u64>,
    /// Number of processes that watch this instance, directly or through relays, plus this one.
    pub subtree_processes: u32,
    /// The table version in force on all of these processes.
    pub subtree_version: u64,
    pub members: Vec<MemberLine>,
}

/// The replicated log as this instance sees it.
#[derive(Debug, Serialize)]
pub struct LogStatus {
    pub role: String,
    pub term: u64,
    pub leader: Option<String>,
    pub voters: Vec<String>,
    pub learners: Vec<String>,
    pub last: u64,
    pub commit: u64,
    pub applied: u64,
    pub synced: u64,
    pub stopped: Option<String>,
}

/// One member of the fleet.
#[derive(Debug, Serialize)]
pub struct MemberLine {
    pub name: String,
    pub incarnation: String,
    pub zone: String,
    pub phase: Phase,
    pub roles: Vec<String>,
    pub rpc_address: String,
    pub upstreams: Vec<String>,
}

/// Creates the port through which the operators' API calls the control role.
pub fn operator_port(
    role: &Arc<ControlRole>,
    replica: &Replica,
    token: Option<String>,
) -> OperatorPort {
    let (writer, reader, reporter) = (Arc::clone(role), Arc::clone(role), Arc::clone(role));
    let replica = replica.clone();
    OperatorPort {
        token,
        submit: Box::new(move |command| {
            let role = Arc::clone(&writer);
            Box::pin(async move { submit(&role, &command).await })
        }),
        read: Box::new(move |task| {
            let role = Arc::clone(&reader);
            Box::pin(async move {
                match (role.log().confirm)(READ_TIMEOUT).await {
                    Ok(_) => {
                        role.machine().read(task);
                        Ok(())
                    }
                    Err(LogError::Stopped) => Err(ControlError::Stopped),
                    Err(_) => Err(ControlError::NotLeader { leader: None }),
                }
            })
        }),
        status: Box::new(move || {
            let status = status(&reporter, &replica.status());
            Box::pin(async move { serde_json::to_value(status).unwrap_or_default() })
        }),
    }
}

async fn submit(role: &ControlRole, command: &Command) -> Result<Response, ControlError> {
    let Leadership { leads, .. } = (role.log().leadership)();
    if leads {
        match role.submit(command).await {
            Err(ControlError::NotLeader { .. }) => {}
            answer => return answer,
        }
    }
    match role.subscriber().submit(command, EDIT_TIMEOUT).await {
        Ok(response) => Ok(response),
        Err(SubmitError::NotSubmitted(_)) => Err(ControlError::NotLeader { leader: None }),
        Err(SubmitError::Undecided(_)) => Err(ControlError::Undecided),
    }
}

fn status(role: &ControlRole, log: &ReplicaStatus) -> Status {
    let subscriber = role.subscriber();
    let view = subscriber.view();
    let subtree = subscriber.watchers().subtree(view.version);
    Status {
        instance: subscriber.me().name.to_string(),
        log: log_status(log),
        version: view.version.0,
        confirmed_age_ms: subscriber.store().confirmed_age_ms(),
        subtree_processes: subtree.count,
        subtree_version: subtree.version.0,
        members: view.members.members.values().map(member_line).collect(),
    }
}

fn log_status(status: &ReplicaStatus) -> LogStatus {
    let names = |members: &[MemberStatus]| members.iter().map(member_name).collect();
    LogStatus {
        role: format!("{:?}", status.role).to_lowercase(),
        term: status.term,
        leader: status.leader.as_ref().map(member_name),
        voters: names(&status.voters),
        learners: names(&status.learners),
        last: status.last,
        commit: status.commit,
        applied: status.applied,
        synced: status.synced,
        stopped: status.stopped.clone(),
    }
}

fn member_name(member: &MemberStatus) -> String {
    format!("{} {} {}", member.name, member.identity, member.address)
}

fn member_line(member: &Member) -> MemberLine {
    MemberLine {
        name: member.name.to_string(),
        incarnation: member.incarnation.to_string(),
        zone: member.zone.to_string(),
        phase: member.phase,
        roles: member
            .roles
            .iter()
            .map(|role| format!("{role:?}").to_lowercase())
            .collect(),
        rpc_address: member.rpc_address.to_string(),
        upstreams: member
            .upstreams
            .iter()
            .map(|upstream| upstream.name.to_string())
            .collect(),
    }
}
