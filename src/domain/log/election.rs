//! Elections: pre-votes, votes, leadership transfer, and when a leader steps down.

use std::collections::BTreeMap;

use super::core::Core;
use super::state::{LeaderState, Progress, QuorumStatus, Role};
use super::types::{Body, HardState, NodeId, Payload};

/// After a split vote, the next election starts within the shortest election timeout divided by
/// this. That is about ten times as long as a vote between the availability zones of the planned
/// sites takes.
const SPLIT_VOTE_BACKOFF_DIVISOR: u64 = 3;
/// For the election timeout divided by this, a candidate refuses pre-votes to candidates with an
/// older log, or with the same log and a lower id. That is about ten times as long as a pre-vote
/// between those zones takes.
const PRECEDENCE_DIVISOR: u64 = 10;

impl Core {
    /// Compares the term of a message with the term of this replica, and adopts a higher one.
    /// Returns false if the message must not be handled further.
    pub(super) fn check_term(&mut self, from: NodeId, term: u64, body: &Body, now_ms: u64) -> bool {
        if term > self.hard_state.term {
            return match body {
                Body::Vote { pre: true, .. }
                | Body::VoteReply {
                    pre: true,
                    granted: true,
                } => true,
                Body::Vote { transfer, .. } if self.leader_lease_blocks_vote(*transfer, now_ms) => {
                    false
                }
                Body::Append { .. } | Body::Piece { .. } => {
                    self.become_follower(term, Some(from), now_ms);
                    true
                }
                _ => {
                    self.become_follower(term, None, now_ms);
                    true
                }
            };
        }
        if term == self.hard_state.term {
            return true;
        }
        // The sender is in an older term and learns the current one from the answer.
        match body {
            Body::Append { echo, .. } | Body::Piece { echo, .. } => {
                let (echo, next) = (*echo, self.log.last_index() + 1);
                let reply = Body::Mismatch {
                    prev_index: 0,
                    next,
                    echo,
                };
                self.send_after_persist(from, self.hard_state.term, reply);
            }
            Body::Vote { pre, .. } => {
                let reply = Body::VoteReply {
                    pre: *pre,
                    granted: false,
                };
                self.send_after_persist(from, self.hard_state.term, reply);
            }
            _ => {}
        }
        false
    }

    /// Returns true if a vote must be refused because the lease of a leader may still be valid.
    fn leader_lease_blocks_vote(&self, transfer: bool, now_ms: u64) -> bool {
        self.options.lease_checks
            && !transfer
            && (self.is_leader()
                || self
                    .last_leader_contact_ms
                    .is_some_and(|contact_ms| now_ms < contact_ms + self.settings.election_ms))
    }

    /// Becomes a follower of `term`.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<NodeId>, now_ms: u64) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.drop_leader_reads();
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now_ms);
    }

    /// Records a message from the leader of this term. Returns false if another replica is known to
    /// lead the term, which violates an invariant.
    pub(super) fn record_leader_contact(&mut self, from: NodeId, now_ms: u64) -> bool {
        let (leads, known) = (self.is_leader(), self.leader);
        let single = !leads && known.is_none_or(|leader| leader == from);
        if !self.check_invariant(single, "one_leader_per_term", || {
            format!("known leader {known:?}, message from leader {from}")
        }) {
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
        }
        self.leader = Some(from);
        self.last_leader_contact_ms = Some(now_ms);
        self.reset_election_timer(now_ms);
        true
    }

    /// Starts an election if this replica votes, with a pre-vote unless the leader requested the
    /// election.
    pub(super) fn campaign(&mut self, now_ms: u64, transfer: bool) {
        self.reset_election_timer(now_ms);
        self.leader = None;
        self.campaign_started_ms = now_ms;
        if let Role::Candidate { votes, .. } = &self.role {
            self.failed_campaign = self.quorum_status(|voter| votes.contains_key(&voter));
        }
        if !self.config().is_some_and(|config| config.is_voter(self.id)) {
            return;
        }
        self.start_votes(self.options.pre_vote && !transfer, transfer, now_ms);
    }

    fn start_votes(&mut self, pre: bool, transfer: bool, now_ms: u64) {
        let term = self.hard_state.term + 1;
        if !pre {
            self.elections += 1;
            self.set_hard_state(HardState {
                term,
                vote: Some(self.id),
            });
        }
        let votes = BTreeMap::from([(self.id, true)]);
        self.role = Role::Candidate {
            pre,
            transfer,
            votes,
        };
        let others: Vec<NodeId> = self.other_voters();
        let body = Body::Vote {
            pre,
            transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in others {
            self.send_after_persist(to, term, body.clone());
        }
        self.count_votes(now_ms);
    }

    /// Schedules the next campaign soon after a vote that can no longer be won: simultaneous
    /// candidates have split the votes, or some voters still respect the lease of a failed leader.
    /// The random delay keeps candidates from splitting the votes again.
    fn retry_campaign_soon(&mut self, now_ms: u64) {
        let due_ms = now_ms + self.split_vote_backoff_ms();
        self.election_due_ms = self.election_due_ms.min(due_ms);
    }

    /// Returns a short random delay that keeps candidates from campaigning simultaneously.
    pub(super) fn split_vote_backoff_ms(&mut self) -> u64 {
        1 + self.next_random() % (self.settings.election_ms / SPLIT_VOTE_BACKOFF_DIVISOR).max(1)
    }

    pub(super) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.config().into_iter().flat_map(super::Config::voters);
        voters.filter(|id| *id != self.id).collect()
    }

    pub(super) fn on_vote(&mut self, from: NodeId, term: u64, body: &Body, now_ms: u64) {
        let Body::Vote {
            pre,
            transfer,
            last_index,
            last_term,
        } = *body
        else {
            return;
        };
        let log_up_to_date =
            (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let vote_available = if pre {
            term > self.hard_state.term
                && !self.takes_precedence_over(from, (last_term, last_index), now_ms)
        } else {
            self.hard_state.vote.is_none_or(|vote| vote == from) && self.leader.is_none()
        };
        // The lease of a leader of an older term also blocks votes in the current term.
        let granted =
            log_up_to_date && vote_available && !self.leader_lease_blocks_vote(transfer, now_ms);
        if granted && !pre {
            self.set_hard_state(HardState {
                term,
                vote: Some(from),
            });
            self.reset_election_timer(now_ms);
        }
        if granted && pre && matches!(self.role, Role::Candidate { pre: true, .. }) {
            // Withdraw: otherwise both would win their pre-votes and then split the votes.
            self.role = Role::Follower;
            self.retry_campaign_soon(now_ms);
        }
        // A granted pre-vote carries the requested term, a refusal the term of this replica.
        let reply_term = if granted { term } else { self.hard_state.term };
        self.send_after_persist(from, reply_term, Body::VoteReply { pre, granted });
    }

    /// Returns true if this replica has just become a candidate and takes precedence over `other`,
    /// whose last entry has the term and index `last`.
    fn takes_precedence_over(&self, other: NodeId, last: (u64, u64), now_ms: u64) -> bool {
        let precedence_ms = self.settings.election_ms / PRECEDENCE_DIVISOR;
        let own = (self.log.last_term(), self.log.last_index());
        matches!(self.role, Role::Candidate { .. })
            && now_ms < self.campaign_started_ms + precedence_ms
            && (own, self.id) > (last, other)
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: NodeId,
        term: u64,
        pre: bool,
        granted: bool,
        now_ms: u64,
    ) {
        let expected = self.hard_state.term + u64::from(pre && granted);
        match &mut self.role {
            Role::Candidate {
                pre: asked, votes, ..
            } if *asked == pre && term == expected => {
                votes.insert(from, granted);
            }
            _ => return,
        }
        self.count_votes(now_ms);
    }

    fn count_votes(&mut self, now_ms: u64) {
        let Some(config) = self.config() else { return };
        let Role::Candidate {
            pre,
            transfer,
            votes,
        } = &self.role
        else {
            return;
        };
        let is_won = config.has_majority(|id| votes.get(&id) == Some(&true));
        let can_be_won = config.has_majority(|id| votes.get(&id) != Some(&false));
        let (pre, transfer) = (*pre, *transfer);
        if !can_be_won {
            self.retry_campaign_soon(now_ms);
        }
        if !is_won {
            return;
        }
        if pre {
            self.start_votes(false, transfer, now_ms);
        } else {
            self.become_leader(now_ms);
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        let leader_state = LeaderState {
            first_index: self.log.last_index() + 1,
            // Answers to rounds of an earlier term are dropped because of their term.
            round: 1,
            heartbeat_due_ms: now_ms,
            ..LeaderState::default()
        };
        self.join_requests.clear();
        self.role = Role::Leader(Box::new(leader_state));
        self.leader = Some(self.id);
        self.update_followers(now_ms);
        self.propose_payload(Payload::Empty);
    }

    /// Makes the leader's followers match the configuration, and makes a heartbeat due.
    pub(super) fn update_followers(&mut self, now_ms: u64) {
        let members: Vec<NodeId> = self
            .config()
            .map(|config| config.members.keys().copied().collect())
            .unwrap_or_default();
        let (id, next) = (self.id, self.log.last_index() + 1);
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        leader_state
            .progress
            .retain(|peer, _| members.contains(peer));
        for peer in members.into_iter().filter(|peer| *peer != id) {
            leader_state
                .progress
                .entry(peer)
                .or_insert_with(|| Progress {
                    next,
                    probing: true,
                    last_contact_ms: now_ms,
                    ..Progress::default()
                });
        }
        leader_state.heartbeat_due_ms = now_ms;
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        let quorum_contact_ms = self.quorum_contact_ms(now_ms);
        let quorum_lost = now_ms > quorum_contact_ms + self.settings.election_ms;
        if quorum_lost && self.options.quorum_check {
            self.become_follower(self.hard_state.term, None, now_ms);
            return;
        }
        self.manage_members(now_ms);
        self.continue_leadership_transfer(now_ms);
    }

    /// Returns how many voters answer this replica: the followers of a leader, or those that answered
    /// the last campaign of a candidate. `None` for a follower, which only hears from its leader.
    pub fn answering_voters(&self, now_ms: u64) -> Option<QuorumStatus> {
        match &self.role {
            Role::Follower => None,
            Role::Candidate { .. } => self.failed_campaign,
            Role::Leader(leader_state) => {
                let limit_ms = self.settings.election_ms;
                self.quorum_status(|voter| {
                    let progress = leader_state.progress.get(&voter);
                    voter == self.id
                        || progress.is_some_and(|p| now_ms <= p.last_contact_ms + limit_ms)
                })
            }
        }
    }

    fn quorum_status(&self, answers: impl Fn(NodeId) -> bool) -> Option<QuorumStatus> {
        let config = self.config()?;
        Some(QuorumStatus {
            voters: config.voters().count(),
            answering: config.voters().filter(|voter| answers(*voter)).count(),
            has_majority: config.has_majority(answers),
        })
    }

    /// Returns the time since which a majority has been heard from, or the current time if this
    /// replica does not lead.
    fn quorum_contact_ms(&self, now_ms: u64) -> u64 {
        let (Role::Leader(leader_state), Some(config)) = (&self.role, self.config()) else {
            return now_ms;
        };
        config.reached_by_quorum(|voter| {
            let contact_ms = leader_state
                .progress
                .get(&voter)
                .map(|progress| progress.last_contact_ms);
            contact_ms.unwrap_or(now_ms)
        })
    }

    /// Starts to transfer leadership to the voter with the longest matching log. Returns false if
    /// this replica does not lead or there is no other voter.
    pub fn transfer_leadership(&mut self, now_ms: u64) -> bool {
        let deadline_ms = now_ms + self.settings.election_ms;
        let voters = self.other_voters();
        let Role::Leader(leader_state) = &mut self.role else {
            return false;
        };
        let target = voters
            .into_iter()
            .filter_map(|id| {
                leader_state
                    .progress
                    .get(&id)
                    .map(|p| (p.matched, p.last_contact_ms, id))
            })
            .max();
        if let Some((.., target)) = target {
            leader_state.leadership_transfer = Some((target, deadline_ms));
            self.continue_leadership_transfer(now_ms);
        }
        target.is_some()
    }

    /// Steps down once the chosen voter has the whole log. The leader gives up its lease before
    /// `TimeoutNow` is sent, so the receiver need not wait for the lease to end.
    pub(super) fn continue_leadership_transfer(&mut self, now_ms: u64) {
        let last = self.log.last_index();
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some((target, deadline_ms)) = leader_state.leadership_transfer else {
            return;
        };
        let matched = leader_state.progress.get(&target).map_or(0, |p| p.matched);
        if matched == last {
            self.send_before_persist(target, Body::TimeoutNow);
            self.become_follower(self.hard_state.term, None, now_ms);
        } else if now_ms >= deadline_ms {
            leader_state.leadership_transfer = None;
        }
    }
}
