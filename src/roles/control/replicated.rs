//! Implements the log port of the control services on a replica.

use std::sync::Arc;

use super::replica::{Endpoint, Replica, StateMachine, SubmitError};
use super::{Leadership, LogError, LogPort, Machine};
use crate::adapters::disk::DiskError;
use crate::domain::log::RoleName;
use crate::settings::ControlSettings;

/// Opens this instance's replica, which applies committed commands to `machine`. Fails if the data
/// folder cannot be used.
pub fn replicated_log(
    settings: &ControlSettings,
    endpoint: Endpoint,
    machine: &Arc<Machine>,
) -> Result<(Replica, LogPort), DiskError> {
    let (applied, saved, restored) = (
        Arc::clone(machine),
        Arc::clone(machine),
        Arc::clone(machine),
    );
    let machine = StateMachine {
        apply: Box::new(move |index, command| applied.apply(index, command)),
        snapshot: Box::new(move || saved.snapshot()),
        restore: Box::new(move |snapshot| restored.restore(snapshot)),
    };
    let replica = Replica::open(settings, endpoint, machine)?;
    let port = port(&replica);
    Ok((replica, port))
}

fn port(replica: &Replica) -> LogPort {
    let (submitter, reader, watched, leader) = (
        replica.clone(),
        replica.clone(),
        replica.clone(),
        replica.clone(),
    );
    LogPort {
        submit: Box::new(move |command, limit| {
            let replica = submitter.clone();
            Box::pin(async move {
                replica
                    .submit(command, limit)
                    .await
                    .map_err(|error| log_error(&error))
            })
        }),
        confirm: Box::new(move |limit| {
            let replica = reader.clone();
            Box::pin(async move {
                replica
                    .confirm(limit)
                    .await
                    .map_err(|error| log_error(&error))
            })
        }),
        leadership: Box::new(move || {
            let status = watched.status();
            Leadership {
                leads: status.role == RoleName::Leader && status.stopped.is_none(),
                term: status.term,
                term_first_index: status.term_first_index,
                leader: status.leader.map(|leader| leader.address),
            }
        }),
        transfer_leadership: Box::new(move || {
            let replica = leader.clone();
            Box::pin(async move {
                replica.transfer_leadership().await;
                replica.stop().await;
            })
        }),
    }
}

fn log_error(error: &SubmitError) -> LogError {
    match error {
        SubmitError::NotLeader { leader } => LogError::NotLeader { leader: *leader },
        SubmitError::Undecided => LogError::Undecided,
        SubmitError::Stopped => LogError::Stopped,
        SubmitError::TooLarge => LogError::TooLarge,
    }
}
