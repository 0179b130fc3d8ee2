//! Membership changes, one at a time: a replica joins as a learner and becomes a voter once it has
//! caught up.
//!
//! A dead voter makes a majority harder to reach without adding to it. So a learner takes the place
//! of a voter that is gone in one change, in which both configurations are in force: a voter more
//! would need a larger majority, a voter less would tolerate fewer losses until the learner votes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::core::Core;
use super::state::Role;
use super::types::{Body, Config, Member, NodeId, Payload, Suffrage};
use crate::model::InstanceName;

/// Requests of replicas to be added or to have their address changed.
pub(super) type JoinRequests = BTreeMap<NodeId, (InstanceName, SocketAddr)>;

/// A member counts as silent after this many election timeouts without an answer, which is ten
/// heartbeats.
const SILENT_ELECTION_TIMEOUTS: u64 = 2;

/// Limit for pending join requests; senders repeat theirs until they are carried out.
const MAX_JOIN_REQUESTS: usize = 64;

impl Core {
    /// Asks replica `to`, which may be the leader, to add this replica. Does nothing if it leaves.
    pub fn ask_to_join(&mut self, to: NodeId, name: InstanceName) {
        if self.departure.is_some() {
            return;
        }
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
        config
            .members
            .iter()
            .filter(|(id, member)| member.name == *name && **id != except)
            .any(|(id, _)| {
                let is_known = *id == self.id || leader_state.progress.contains_key(id);
                is_known && !self.is_silent(*id, self.silent_after_ms(), now_ms)
            })
    }

    pub(super) fn silent_after_ms(&self) -> u64 {
        SILENT_ELECTION_TIMEOUTS * self.settings.election_ms
    }

    /// Returns true if the leader has not heard from a member for `limit_ms`.
    pub(super) fn is_silent(&self, id: NodeId, limit_ms: u64, now_ms: u64) -> bool {
        let Role::Leader(leader_state) = &self.role else {
            return false;
        };
        let progress = leader_state.progress.get(&id);
        progress.is_some_and(|progress| now_ms >= progress.last_contact_ms + limit_ms)
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
            .after_replacement()
            .or_else(|| self.without_replaced())
            .or_else(|| self.without_leaving(now_ms))
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

    /// Returns the new configuration alone, if the committed one is that of a replacement.
    fn after_replacement(&self) -> Option<Config> {
        let config = self.config()?;
        config.is_joint().then(|| config.after_replacement())
    }

    /// Returns the configuration without an old identity for whose name a newer identity votes.
    /// Such configurations were stored by versions that added the new identity first.
    fn without_replaced(&self) -> Option<Config> {
        let config = self.config()?;
        let replaced = config.members.iter().find(|(id, old)| {
            **id != self.id
                && config.members.values().any(|new| {
                    new.suffrage == Suffrage::Voter && new.name == old.name && new.since > old.since
                })
        });
        let id = *replaced?.0;
        let mut config = config.clone();
        config.members.remove(&id);
        Some(config)
    }

    /// Returns the configuration without a member that was silent for too long.
    ///
    /// Of an even number of voters, one less tolerates as many losses, and one more than before if
    /// it is dead. An odd number would tolerate fewer if the silent voter is only cut off with its
    /// disk, so it is kept for longer.
    fn without_silent(&self, now_ms: u64) -> Option<Config> {
        let drop_silent_ms = self.options.drop_silent_ms?;
        let config = self.config()?;
        let voters = config.voters().count();
        let voter_limit_ms = match voters.is_multiple_of(2) {
            true => self.silent_after_ms(),
            false => drop_silent_ms,
        };
        let is_removable = |id: &NodeId| match config.is_voter(*id) {
            true => voters > self.options.min_voters && self.is_silent(*id, voter_limit_ms, now_ms),
            false => self.is_silent(*id, drop_silent_ms, now_ms),
        };
        let removed = config.members.keys().copied().find(is_removable)?;
        self.without_member(removed, now_ms)
    }

    /// Returns the configuration without a member; `None` if too few of the others answer.
    pub(super) fn without_member(&self, removed: NodeId, now_ms: u64) -> Option<Config> {
        let mut config = self.config()?.clone();
        config.members.remove(&removed);
        // The change needs a majority of the voters that remain.
        let is_answered =
            config.has_majority(|id| !self.is_silent(id, self.settings.election_ms, now_ms));
        is_answered.then_some(config)
    }

    /// Returns the configuration with one learner promoted to voter: in the place of a voter that is
    /// gone, or as one more. A learner has caught up when it has synced, within one election timeout,
    /// all entries committed at the start of that period.
    fn with_promoted(&mut self, now_ms: u64) -> Option<Config> {
        let mut config = self.config()?.clone();
        let learners: Vec<NodeId> = config
            .members
            .iter()
            .filter(|(_, member)| member.suffrage == Suffrage::Learner)
            .map(|(id, _)| *id)
            .collect();
        let has_room = config.voters().count() < self.options.max_voters;
        for id in learners {
            let replaced = self.replaced_by(id, now_ms);
            let may_vote = has_room || replaced.is_some();
            let may_vote = may_vote && !self.is_leaving(id, now_ms);
            if !self.has_caught_up(id, now_ms) || !may_vote {
                continue;
            }
            let mut set = |id: NodeId, suffrage| {
                if let Some(member) = config.members.get_mut(&id) {
                    member.suffrage = suffrage;
                }
            };
            match replaced {
                Some(replaced) => {
                    set(id, Suffrage::Incoming);
                    set(replaced, Suffrage::Outgoing);
                }
                None => set(id, Suffrage::Voter),
            }
            return Some(config);
        }
        None
    }

    /// Returns the voter whose place a learner takes: its old identity, whose disk is lost, a voter
    /// that leaves, or the one that was silent for longest.
    fn replaced_by(&self, learner: NodeId, now_ms: u64) -> Option<NodeId> {
        let (Role::Leader(leader_state), Some(config)) = (&self.role, self.config()) else {
            return None;
        };
        let name = &config.members.get(&learner)?.name;
        let others = || config.voters().filter(|id| *id != self.id);
        let same_name = |id: &NodeId| config.members[id].name == *name;
        let silent = |id: &NodeId| {
            self.options.drop_silent_ms.is_some()
                && self.is_silent(*id, self.silent_after_ms(), now_ms)
        };
        let last_contact_ms =
            |id: &NodeId| leader_state.progress.get(id).map(|p| p.last_contact_ms);
        others()
            .find(same_name)
            .or_else(|| others().find(|id| self.is_leaving(*id, now_ms)))
            .or_else(|| others().filter(silent).min_by_key(last_contact_ms))
    }

    /// Returns true if a learner has reached the commit index of up to one election timeout ago;
    /// sets a new target if it took longer.
    fn has_caught_up(&mut self, learner: NodeId, now_ms: u64) -> bool {
        let (commit, limit_ms) = (self.commit, self.settings.election_ms);
        let Some(progress) = self.progress(learner) else {
            return false;
        };
        let (target, set_ms) = *progress.catch_up_target.get_or_insert((commit, now_ms));
        if progress.matched < target {
            return false;
        }
        if now_ms <= set_ms + limit_ms {
            return true;
        }
        progress.catch_up_target = Some((commit, now_ms));
        false
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
            .retain(|_, member| member.suffrage != Suffrage::Learner || member.name != name);
        let member = Member {
            name,
            address,
            suffrage: Suffrage::Learner,
            since,
        };
        config.members.insert(id, member);
        Some(config)
    }
}
