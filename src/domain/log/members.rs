//! Membership changes: one at a time, a learner first, a voter once it has caught up.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::core::Core;
use super::state::Role;
use super::types::{Body, Config, Member, NodeId, Payload};
use crate::model::InstanceName;

/// Replicas that asked to be added or to have their address changed.
pub(super) type JoinRequests = BTreeMap<NodeId, (InstanceName, SocketAddr)>;

/// Voters that have to remain when a silent one is removed, so that one more may be lost.
const MIN_VOTERS: usize = 3;

/// Requests kept at once; each is repeated by its sender until it is done.
const MAX_JOIN_REQUESTS: usize = 64;

impl Core {
    /// Asks the replica at `to`, which may be the leader, to add this one.
    pub fn ask_to_join(&mut self, to: NodeId, name: InstanceName) {
        self.send_late(to, self.hard_state.term, Body::Join { name });
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
        let done = known.is_some_and(|member| member.address == address);
        // Two running folders with one name are a mistake in the settings; the first one stays.
        if !done && !self.name_in_use(&name, from, now_ms) {
            self.join_requests.insert(from, (name, address));
        }
    }

    fn name_in_use(&self, name: &InstanceName, by_other_than: NodeId, now_ms: u64) -> bool {
        let (Role::Leader(leader_state), Some(config)) = (&self.role, self.config()) else {
            return false;
        };
        let silent_after_ms = 2 * self.limits.election_ms;
        config
            .members
            .iter()
            .filter(|(id, member)| member.name == *name && **id != by_other_than)
            .any(|(id, _)| {
                let heard = leader_state
                    .progress
                    .get(id)
                    .map(|progress| progress.last_contact_ms);
                *id == self.id || heard.is_some_and(|heard| now_ms < heard + silent_after_ms)
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
        if pending || self.commit < leader_state.first_index || leader_state.hand_over.is_some() {
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
                format!("{pending} are pending")
            });
        }
    }

    /// Returns the configuration without an old identity whose instance has a newer voter.
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
    /// never comes back, and each one kept would count against the majority.
    fn without_silent(&self, now_ms: u64) -> Option<Config> {
        let limit_ms = self.options.drop_silent_ms?;
        let (Role::Leader(leader_state), config) = (&self.role, self.config()?) else {
            return None;
        };
        let silent_for = |id: NodeId, limit_ms: u64| {
            let progress = leader_state.progress.get(&id);
            id != self.id && progress.is_some_and(|p| now_ms > p.last_contact_ms + limit_ms)
        };
        let gone = config
            .members
            .keys()
            .copied()
            .find(|id| silent_for(*id, limit_ms))?;
        let remaining: Vec<NodeId> = config.voters().filter(|id| *id != gone).collect();
        let answering = remaining.len() >= MIN_VOTERS
            && remaining
                .iter()
                .all(|id| !silent_for(*id, self.limits.election_ms));
        if config.is_voter(gone) && !answering {
            return None;
        }
        let mut config = config.clone();
        config.members.remove(&gone);
        Some(config)
    }

    /// Returns the configuration with a learner made a voter. A learner has caught up when it has
    /// synced, within one election timeout, all that was committed at the beginning of that time.
    fn with_promoted(&mut self, now_ms: u64) -> Option<Config> {
        let (commit, limit_ms) = (self.commit, self.limits.election_ms);
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
            // The old identity of a replaced voter is removed next.
            let may_vote = has_room || voters.contains(&member.name);
            if may_vote && now_ms <= set_ms + limit_ms {
                member.voter = true;
                return Some(config);
            }
            progress.catch_up_target = Some((commit, now_ms));
        }
        None
    }

    /// Returns the configuration with one request to join carried out.
    fn with_joined(&mut self) -> Option<Config> {
        let (id, (name, address)) = self.join_requests.pop_first()?;
        let since = self.log.last_index() + 1;
        let mut config = self.config()?.clone();
        if let Some(member) = config.members.get_mut(&id) {
            let moved = member.address != address;
            member.address = address;
            return moved.then_some(config);
        }
        // An identity that never became a voter and was lost again only makes room.
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
