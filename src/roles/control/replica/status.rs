//! The status of a replica.

use std::net::SocketAddr;

use crate::domain::log::{Config, Member, NodeId, RoleName, Status, Suffrage};
use crate::model::InstanceName;

/// One voter or learner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    pub identity: NodeId,
    pub name: InstanceName,
    pub address: SocketAddr,
}

/// A summary of a replica's state at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    pub identity: NodeId,
    /// `None` while the replica belongs to no cluster.
    pub cluster: Option<u64>,
    pub role: RoleName,
    pub term: u64,
    pub leader: Option<MemberStatus>,
    pub voters: Vec<MemberStatus>,
    pub learners: Vec<MemberStatus>,
    pub last: u64,
    pub commit: u64,
    pub applied: u64,
    pub synced: u64,
    /// Index of the first entry of the term; `None` unless this replica leads.
    pub term_first_index: Option<u64>,
    /// Why the replica has stopped; `None` while it runs.
    pub stopped: Option<String>,
}

fn members(config: Option<&Config>, voter: bool) -> Vec<MemberStatus> {
    let members = config.into_iter().flat_map(|config| &config.members);
    members
        .filter(|(_, member)| (member.suffrage != Suffrage::Learner) == voter)
        .map(|(id, member)| MemberStatus::new(*id, member))
        .collect()
}

impl MemberStatus {
    fn new(identity: NodeId, member: &Member) -> Self {
        Self {
            identity,
            name: member.name.clone(),
            address: member.address,
        }
    }
}

impl ReplicaStatus {
    pub(super) fn new(status: &Status, stopped: Option<String>) -> Self {
        let config = status.config.as_ref();
        let leader = status.leader.and_then(|id| {
            let member = config?.members.get(&id)?;
            Some(MemberStatus::new(id, member))
        });
        Self {
            identity: status.id,
            cluster: config.map(|config| config.cluster),
            role: status.role,
            term: status.term,
            leader,
            voters: members(config, true),
            learners: members(config, false),
            last: status.last,
            commit: status.commit,
            applied: status.applied,
            synced: status.synced,
            term_first_index: status.term_first_index,
            stopped,
        }
    }
}
