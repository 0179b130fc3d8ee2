//! Planned departures: a replica that stops gives up its vote first.
//!
//! A voter that has stopped makes a majority harder to reach without adding to it. The leader would
//! remove it only after some time of silence, and a loss within that time could end the quorum for
//! good.

use super::core::Core;
use super::state::Role;
use super::types::{Body, Config, Member, NodeId, Suffrage};

/// The departure of this replica.
#[derive(Debug, Default)]
pub(super) struct Departure {
    /// When the leader is asked next.
    ask_due_ms: u64,
    /// The leader's answer.
    result: Option<LeaveResult>,
}

/// How a departure has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveResult {
    /// The replica is not a member any more.
    Removed,
    /// The replica keeps its vote: the others alone would tolerate too few losses.
    KeepsVote,
}

impl Core {
    /// Begins to give up the vote of this replica, and its leadership if it leads. The result is
    /// returned by `leave_result`.
    pub fn leave(&mut self, now_ms: u64) {
        self.departure.get_or_insert_default();
        self.continue_leaving(now_ms);
    }

    /// Returns how the departure of this replica has ended; `None` if it has not.
    pub fn leave_result(&self) -> Option<LeaveResult> {
        self.departure.as_ref()?.result
    }

    /// Asks the leader again when that is due: an earlier request may have been lost, or have
    /// reached a replica that did not lead.
    pub(super) fn continue_leaving(&mut self, now_ms: u64) {
        let heartbeat_ms = self.settings.heartbeat_ms();
        let Some(departure) = &mut self.departure else {
            return;
        };
        if departure.result.is_some() || now_ms < departure.ask_due_ms {
            return;
        }
        departure.ask_due_ms = now_ms + heartbeat_ms;
        let is_transferring = match &self.role {
            Role::Leader(leader_state) => leader_state.leadership_transfer.is_some(),
            Role::Follower | Role::Candidate { .. } => false,
        };
        let is_only_voter = self.other_voters().is_empty();
        match self.leader {
            _ if is_transferring => {}
            Some(leader) if leader != self.id => self.send_before_persist(leader, Body::Leave),
            // Without it there would be no log.
            Some(_) if is_only_voter => self.end_departure(LeaveResult::KeepsVote),
            Some(_) => {
                self.transfer_leadership(now_ms);
            }
            None => {}
        }
    }

    fn end_departure(&mut self, result: LeaveResult) {
        if let Some(departure) = &mut self.departure {
            departure.result = Some(result);
        }
    }

    /// Handles the request of a replica that leaves. It repeats the request until it is answered.
    pub(super) fn on_leave(&mut self, from: NodeId, now_ms: u64) {
        let election_ms = self.settings.election_ms;
        let is_absent = |config: &Config| !config.members.contains_key(&from);
        let is_removed = self.config().is_some_and(is_absent);
        let committed = self.configs.range(..=self.commit).next_back();
        let is_removal_committed = committed.is_some_and(|(_, config)| is_absent(config));
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let result = match is_removed {
            true if is_removal_committed => Some(LeaveResult::Removed),
            true => None,
            false => {
                // A replica that has started again after all is not removed for an old request.
                leader_state.leaving.insert(from, now_ms + election_ms);
                (!self.may_release(from, now_ms)).then_some(LeaveResult::KeepsVote)
            }
        };
        if let Some(result) = result {
            let is_removed = result == LeaveResult::Removed;
            self.send_before_persist(from, Body::LeaveReply { is_removed });
        }
    }

    pub(super) fn on_leave_reply(&mut self, is_removed: bool) {
        let result = match is_removed {
            true => LeaveResult::Removed,
            false => LeaveResult::KeepsVote,
        };
        self.end_departure(result);
    }

    /// Returns true if a member that leaves can be removed, now or once a learner that may take its
    /// place has caught up.
    fn may_release(&self, id: NodeId, now_ms: u64) -> bool {
        let Some(config) = self.config() else {
            return false;
        };
        let is_successor = |(other, member): (&NodeId, &Member)| {
            let is_silent = self.is_silent(*other, self.silent_after_ms(), now_ms);
            *other != id && member.suffrage == Suffrage::Learner && !is_silent
        };
        self.options.drop_silent_ms.is_some()
            && (!config.is_voter(id)
                || config.is_joint()
                || config.members.iter().any(is_successor)
                || !self.join_requests.is_empty()
                || config.voters().count() > self.options.min_voters)
    }

    /// Returns true if a member has asked to leave and has not been answered yet.
    pub(super) fn is_leaving(&self, id: NodeId, now_ms: u64) -> bool {
        let Role::Leader(leader_state) = &self.role else {
            return false;
        };
        let until_ms = leader_state.leaving.get(&id);
        self.options.drop_silent_ms.is_some() && until_ms.is_some_and(|at_ms| now_ms < *at_ms)
    }

    /// Returns the configuration without a member that leaves, unless too few voters would remain.
    pub(super) fn without_leaving(&self, now_ms: u64) -> Option<Config> {
        let config = self.config()?;
        let has_spare = config.voters().count() > self.options.min_voters;
        let is_removable =
            |id: &NodeId| self.is_leaving(*id, now_ms) && (has_spare || !config.is_voter(*id));
        let removed = config.members.keys().copied().find(is_removable)?;
        self.without_member(removed, now_ms)
    }
}
