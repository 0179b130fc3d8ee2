//! Membership changes, one at a time: a replica joins as a learner and becomes a voter once it has
//! caught up.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::core::Core;
use super::state::Role;
use super::types::{Body, Config, Member, NodeId, Payload};
use crate::model::InstanceName;

/// Requests of replicas to be added or to have their address changed.
pub(super) type JoinRequests = BTreeMap<NodeId, (InstanceName, SocketAddr)>;

/// Voters that have to remain when a silent one is removed, so that the loss of one more is
/// tolerated.
const MIN_VOTERS: usize = 3;

/// Limit for pending join requests; senders repeat theirs until they are carried out.
const MAX_JOIN_REQUESTS: usize = 64;

impl Core {
    /// Asks replica `to`, which may be the leader, to add this replica.
    pub fn ask_to_join(&mut self, to: NodeId, name: InstanceName) {
        self.send_after_persist(to, self.hard_state.term, Body::Join { name });
    }

    pub(super) fn on_join(
        &mut self,
        from: NodeId,
        name: InstanceName,
        address: SocketAddr,
        now_ms: u64,
    ) {
        if !self.is_leader() || self.join_requests.len() >= MAX_JOIN_REQUESTS {
            return;
        }
        let known = self.config().and_then(|config| config.members.get(&from));
        let already_member = known.is_some_and(|member| member.address == address);
        // Two running replicas with the same name are a configuration error; the first one stays.
        if !already_member && !self.name_in_use(&name, from, now_ms) {
            self.join_requests.insert(from, (name, address));
        }
    }

    fn name_in_use(&self, name: &InstanceName, except: NodeId, now_ms: u64) -> bool {
        let (Role::Leader(leader_state), Some(config)) = (&self.role, self.config()) else {
            return false;
        };
        let silent_after_ms = 2 * self.settings.election_ms;
        config
            .members
            .iter()
            .filter(|(id, member)| member.name == *name && **id != except)
            .any(|(id, _)| {
                let contact_ms = leader_state
                    .progress
                    .get(id)
                    .map(|progress| progress.last_contact_ms);
                *id == self.id
                    || contact_ms.is_some_and(|contact_ms| now_ms < contact_ms + silent_after_ms)
            })
    }

    /// Proposes the next membership change, if one is due and none is pending.
    pub(super) fn manage_members(&mut self, now_ms: u64) {
        let pending = self
            .configs
            .last_key_value()
            .is_some_and(|(index, _)| *index > self.commit);
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        if pending
            || self.commit < leader_state.first_index
            || leader_state.leadership_transfer.is_some()
        {
            return;
        }
        let change = self
            .without_replaced()
            .or_else(|| self.with_promoted(now_ms))
            .or_else(|| self.with_joined())
            .or_else(|| self.without_silent(now_ms));
        if let Some(config) = change {
            self.propose_payload(Payload::Config(config));
            self.update_followers(now_ms);
            let pending = self.configs.range(self.commit + 1..).count();
            self.check_invariant(pending == 1, "one_membership_change", || {
                format!("{pending} configuration changes are pending")
            });
        }
    }

    /// Returns the configuration without an old identity for whose name a newer identity votes.
    fn without_replaced(&self) -> Option<Config> {
        let config = self.config()?;
        let replaced = config.members.iter().find(|(id, old)| {
            **id != self.id
                && config
                    .members
                    .values()
                    .any(|new| new.voter && new.name == old.name && new.since > old.since)
        });
        let id = *replaced?.0;
        let mut config = config.clone();
        config.members.remove(&id);
        Some(config)
    }

    /// Returns the configuration without a member that was silent for too long. A replaced instance
    /// never returns, and each one kept as a voter would make a majority harder to reach.
    fn without_silent(&self, now_ms: u64) -> Option<Config> {
        let limit_ms = self.options.drop_silent_ms?;
        let (Role::Leader(leader_state), config) = (&self.role, self.config()?) else {
            return None;
        };
        let silent_for = |id: NodeId, limit_ms: u64| {
            let progress = leader_state.progress.get(&id);
            id != self.id && progress.is_some_and(|p| now_ms > p.last_contact_ms + limit_ms)
        };
        let silent_member = config
            .members
            .keys()
            .copied()
            .find(|id| silent_for(*id, limit_ms))?;
        let remaining: Vec<NodeId> = config.voters().filter(|id| *id != silent_member).collect();
        let others_answer = remaining.len() >= MIN_VOTERS
            && remaining
                .iter()
                .all(|id| !silent_for(*id, self.settings.election_ms));
        if config.is_voter(silent_member) && !others_answer {
            return None;
        }
        let mut config = config.clone();
        config.members.remove(&silent_member);
        Some(config)
    }

    /// Returns the configuration with one learner promoted to voter. A learner has caught up when
    /// it has synced, within one election timeout, all entries committed at the start of that
    /// period.
    fn with_promoted(&mut self, now_ms: u64) -> Option<Config> {
        let (commit, limit_ms) = (self.commit, self.settings.election_ms);
        let mut config = self.config()?.clone();
        let voters: Vec<InstanceName> = config
            .members
            .values()
            .filter(|member| member.voter)
            .map(|member| member.name.clone())
            .collect();
        let has_room = voters.len() < self.options.max_voters;
        let Role::Leader(leader_state) = &mut self.role else {
            return None;
        };
        for (id, member) in config
            .members
            .iter_mut()
            .filter(|(_, member)| !member.voter)
        {
            let Some(progress) = leader_state.progress.get_mut(id) else {
                continue;
            };
            let (target, set_ms) = *progress.catch_up_target.get_or_insert((commit, now_ms));
            if progress.matched < target {
                continue;
            }
            // A replacement may exceed the limit: the voter's old identity is removed next.
            let may_vote = has_room || voters.contains(&member.name);
            if may_vote && now_ms <= set_ms + limit_ms {
                member.voter = true;
                return Some(config);
            }
            progress.catch_up_target = Some((commit, now_ms));
        }
        None
    }

    /// Returns the configuration with one join request carried out.
    fn with_joined(&mut self) -> Option<Config> {
        let (id, (name, address)) = self.join_requests.pop_first()?;
        let since = self.log.last_index() + 1;
        let mut config = self.config()?.clone();
        if let Some(member) = config.members.get_mut(&id) {
            let moved = member.address != address;
            member.address = address;
            return moved.then_some(config);
        }
        // Drops an older identity of this name that was lost before it became a voter.
        config
            .members
            .retain(|_, member| member.voter || member.name != name);
        let member = Member {
            name,
            address,
            voter: false,
            since,
        };
        config.members.insert(id, member);
        Some(config)
    }
}
