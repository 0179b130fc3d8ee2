//! Linearizable reads: each yields an index that was current at some time after the read began.

use std::collections::BTreeMap;

use super::core::Core;
use super::state::Role;
use super::types::{Body, NodeId, ReadDone};

/// A read that the leader has to confirm.
#[derive(Debug, Clone)]
pub(super) struct LeaderRead {
    /// The follower that asked; `None` for a read of this replica.
    from: Option<NodeId>,
    id: u64,
    /// The index that must be committed before the read is answered.
    index: u64,
    /// The heartbeat round that confirms the read if there is no lease.
    round: u64,
}

/// Reads of this replica that wait for the leader's answer, or for entries to be applied.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    /// Deadlines of the reads that were sent to the leader, by id.
    awaiting_leader: BTreeMap<u64, u64>,
    /// Ids of confirmed reads, with the index that must be applied first.
    awaiting_apply: Vec<(u64, u64)>,
}

impl Core {
    /// Begins a read. The result appears in the `reads` of an output under the same id. Ids must be
    /// unique, also across restarts.
    pub fn read(&mut self, id: u64, now_ms: u64) {
        match (self.is_leader(), self.leader) {
            (true, _) => self.add_leader_read(None, id, now_ms),
            (false, Some(leader)) => {
                self.pending_reads
                    .awaiting_leader
                    .insert(id, now_ms + self.settings.election_ms);
                self.send_before_persist(leader, Body::Read { id });
            }
            (false, None) => self.reads_done.push(ReadDone { id, index: None }),
        }
    }

    pub(super) fn on_read(&mut self, from: NodeId, id: u64, now_ms: u64) {
        if self.is_leader() {
            self.add_leader_read(Some(from), id, now_ms);
        } else {
            self.send_before_persist(from, Body::ReadReply { id, index: None });
        }
    }

    pub(super) fn on_read_reply(&mut self, id: u64, index: Option<u64>) {
        if self.pending_reads.awaiting_leader.remove(&id).is_none() {
            return;
        }
        match index {
            Some(index) => self.pending_reads.awaiting_apply.push((id, index)),
            None => self.reads_done.push(ReadDone { id, index: None }),
        }
    }

    fn add_leader_read(&mut self, from: Option<NodeId>, id: u64, now_ms: u64) {
        let leased = self.has_lease(now_ms);
        let commit = self.commit;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        if !leased {
            // All reads until the next output share one heartbeat round.
            leader_state.heartbeat_due_ms = now_ms;
        }
        let read = LeaderRead {
            from,
            id,
            // The commit index may be outdated until the first entry of the term is committed.
            index: commit.max(leader_state.first_index),
            round: leader_state.round + 1,
        };
        leader_state.reads.push(read);
    }

    /// Returns true if no other replica can have been elected before `now_ms`.
    pub(super) fn has_lease(&self, now_ms: u64) -> bool {
        if !self.options.lease_checks {
            return true;
        }
        let (Role::Leader(leader_state), Some(config)) = (&self.role, self.config()) else {
            return false;
        };
        let lease_ms = self.settings.lease_ms();
        let id = self.id;
        let until = config.reached_by_quorum(|voter| {
            if voter == id {
                return now_ms + lease_ms;
            }
            let progress = leader_state.progress.get(&voter);
            let acked = progress.and_then(|progress| progress.acked_sent_ms);
            acked.map_or(0, |sent_ms| sent_ms.saturating_add(lease_ms))
        });
        now_ms < until
    }

    fn acked_round(&self) -> u64 {
        let (Role::Leader(leader_state), Some(config)) = (&self.role, self.config()) else {
            return 0;
        };
        let id = self.id;
        config.reached_by_quorum(|voter| {
            if voter == id {
                return u64::MAX;
            }
            leader_state
                .progress
                .get(&voter)
                .map_or(0, |progress| progress.acked_round)
        })
    }

    /// Answers the reads that are confirmed by the lease or by a heartbeat round.
    pub(super) fn serve_leader_reads(&mut self, now_ms: u64) {
        let leased = self.has_lease(now_ms);
        let acked = self.acked_round();
        let commit = self.commit;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let (ready, waiting) = std::mem::take(&mut leader_state.reads)
            .into_iter()
            .partition(|read| read.index <= commit && (leased || read.round <= acked));
        leader_state.reads = waiting;
        let ready: Vec<LeaderRead> = ready;
        for read in ready {
            match read.from {
                Some(from) => {
                    let body = Body::ReadReply {
                        id: read.id,
                        index: Some(read.index),
                    };
                    self.send_before_persist(from, body);
                }
                None => self
                    .pending_reads
                    .awaiting_apply
                    .push((read.id, read.index)),
            }
        }
    }

    /// Fails the reads that this replica can no longer confirm because it stops leading.
    pub(super) fn drop_leader_reads(&mut self) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        for read in std::mem::take(&mut leader_state.reads) {
            match read.from {
                Some(from) => self.send_before_persist(
                    from,
                    Body::ReadReply {
                        id: read.id,
                        index: None,
                    },
                ),
                None => self.reads_done.push(ReadDone {
                    id: read.id,
                    index: None,
                }),
            }
        }
    }

    /// Fails reads that the leader has not answered before their deadline.
    pub(super) fn expire_reads(&mut self, now_ms: u64) {
        let waiting = self.pending_reads.awaiting_leader.split_off(&0);
        for (id, deadline_ms) in waiting {
            if now_ms < deadline_ms {
                self.pending_reads.awaiting_leader.insert(id, deadline_ms);
            } else {
                self.reads_done.push(ReadDone { id, index: None });
            }
        }
    }

    /// Returns the failed reads, and those that can be answered once this output's entries are
    /// applied.
    pub(super) fn finished_reads(&mut self) -> Vec<ReadDone> {
        let applied = self.applied;
        let mut done = std::mem::take(&mut self.reads_done);
        self.pending_reads.awaiting_apply.retain(|(id, index)| {
            if *index <= applied {
                done.push(ReadDone {
                    id: *id,
                    index: Some(applied),
                });
            }
            *index > applied
        });
        done
    }
}
