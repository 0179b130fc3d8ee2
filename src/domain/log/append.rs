//! Replication of entries from the leader to followers, and the commit index.

use std::sync::Arc;

use super::core::Core;
use super::state::{Progress, Role};
use super::types::{Body, Echo, Entry, NodeId};

/// Limit for the entries of one message; a frame holds several messages.
const BATCH_BYTES: usize = 256 * 1024;
/// Limit for the entries sent to a follower beyond the last acknowledged one.
const WINDOW_ENTRIES: u64 = 4096;

impl Core {
    /// Sends every follower the entries that it lacks, or a heartbeat if one is due.
    pub(super) fn flush_appends(&mut self, now_ms: u64) {
        let heartbeat_ms = self.settings.heartbeat_ms();
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let heartbeat_due = now_ms >= leader_state.heartbeat_due_ms;
        if heartbeat_due {
            leader_state.heartbeat_due_ms = now_ms + heartbeat_ms;
            leader_state.round += 1;
        }
        let peers: Vec<NodeId> = leader_state.progress.keys().copied().collect();
        for peer in peers {
            self.replicate(peer, heartbeat_due, now_ms);
        }
    }

    pub(super) fn progress(&mut self, peer: NodeId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leader_state) => leader_state.progress.get_mut(&peer),
            _ => None,
        }
    }

    /// Sends one follower the entries that it lacks; with `force`, an empty message if there are
    /// none.
    pub(super) fn replicate(&mut self, peer: NodeId, force: bool, now_ms: u64) {
        let base = self.log.base();
        let commit = self.commit;
        let Some(progress) = self.progress(peer) else {
            return;
        };
        if progress.outgoing_snapshot.is_some() || progress.next <= base {
            self.send_piece(peer, force, now_ms);
            return;
        }
        let mut force = force || (progress.sent_commit < commit && !progress.probing);
        progress.sent_commit = commit;
        if !progress.probing {
            let window_end = progress.matched + WINDOW_ENTRIES;
            let mut next = progress.next;
            while next <= self.log.last_index() && next <= window_end {
                let entries = self.log.batch(next, BATCH_BYTES);
                let sent = entries.len() as u64;
                self.send_append(peer, next - 1, entries, now_ms);
                next += sent;
                force = false;
            }
            if let Some(progress) = self.progress(peer) {
                progress.next = next;
            }
        }
        if force {
            let prev = self.progress(peer).map_or(0, |progress| progress.next - 1);
            self.send_append(peer, prev, Vec::new(), now_ms);
        }
    }

    fn send_append(
        &mut self,
        peer: NodeId,
        prev_index: u64,
        entries: Vec<Arc<Entry>>,
        now_ms: u64,
    ) {
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return;
        };
        let body = Body::Append {
            prev_index,
            prev_term,
            commit: self.commit,
            echo: self.echo(now_ms),
            entries,
        };
        self.send_before_persist(peer, body);
    }

    pub(super) fn echo(&self, now_ms: u64) -> Echo {
        let round = match &self.role {
            Role::Leader(leader_state) => leader_state.round,
            _ => 0,
        };
        Echo {
            sent_ms: now_ms,
            round,
        }
    }

    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        prev: (u64, u64),
        commit: u64,
        echo: Echo,
        entries: Vec<Arc<Entry>>,
        now_ms: u64,
    ) {
        if !self.record_leader_contact(from, now_ms) {
            return;
        }
        let (prev_index, prev_term) = prev;
        // Committed entries are the same on all replicas and may already be compacted.
        if prev_index > self.commit && self.log.term_at(prev_index) != Some(prev_term) {
            let next = self.conflict_start(prev_index);
            let reply = Body::Mismatch {
                prev_index,
                next,
                echo,
            };
            self.send_after_persist(from, self.hard_state.term, reply);
            return;
        }
        let contiguous = entries
            .iter()
            .zip(prev_index + 1..)
            .all(|(entry, index)| entry.index == index);
        if !contiguous {
            return;
        }
        let matched = prev_index + entries.len() as u64;
        self.store_entries(entries);
        self.set_commit(commit.min(matched));
        let matched = matched.max(self.commit);
        self.send_after_persist(from, self.hard_state.term, Body::Appended { matched, echo });
    }

    fn store_entries(&mut self, entries: Vec<Arc<Entry>>) {
        for entry in entries {
            if entry.index <= self.commit {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_log(entry.index),
                None => {}
            }
            self.append_log(entry);
        }
    }

    /// Returns the index from which the leader should resend after a mismatch at `prev_index`.
    fn conflict_start(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            return last + 1;
        }
        let term = self.log.term_at(prev_index);
        let mut index = prev_index;
        while index > self.commit + 1 && self.log.term_at(index - 1) == term {
            index -= 1;
        }
        index
    }

    /// Records an answer from a follower. Returns false if this replica does not lead, or if the
    /// sender is not one of its followers.
    pub(super) fn record_follower_reply(&mut self, from: NodeId, echo: Echo, now_ms: u64) -> bool {
        let Some(progress) = self.progress(from) else {
            return false;
        };
        progress.last_contact_ms = now_ms;
        progress.acked_sent_ms = progress.acked_sent_ms.max(Some(echo.sent_ms));
        progress.acked_round = progress.acked_round.max(echo.round);
        true
    }

    pub(super) fn on_appended(&mut self, from: NodeId, matched: u64, echo: Echo, now_ms: u64) {
        if !self.record_follower_reply(from, echo, now_ms) {
            return;
        }
        let last = self.log.last_index();
        if !self.check_invariant(matched <= last, "match_within_log", || {
            format!("{from} acknowledged entry {matched}, last entry {last}")
        }) {
            return;
        }
        if let Some(progress) = self.progress(from) {
            progress.matched = progress.matched.max(matched);
            progress.next = progress.next.max(progress.matched + 1);
            progress.probing = false;
            progress.end_transfer();
        }
        self.maybe_commit();
        self.continue_leadership_transfer(now_ms);
    }

    pub(super) fn on_mismatch(
        &mut self,
        from: NodeId,
        prev_index: u64,
        next: u64,
        echo: Echo,
        now_ms: u64,
    ) {
        if !self.record_follower_reply(from, echo, now_ms) {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress(from) else {
            return;
        };
        // An answer to an older message does not describe the follower's current position.
        let stale = prev_index <= progress.matched
            || (progress.probing && prev_index.checked_add(1) != Some(progress.next));
        if stale {
            return;
        }
        progress.next = next.clamp(progress.matched + 1, last + 1);
        progress.probing = true;
        self.replicate(from, true, now_ms);
    }

    /// Commits the entries that a majority has synced, if the last of them is of this term.
    pub(super) fn maybe_commit(&mut self) {
        let (Role::Leader(leader_state), Some(config)) = (&self.role, self.config()) else {
            return;
        };
        let (id, synced) = (self.id, self.synced);
        let reached = config.reached_by_quorum(|voter| {
            if voter == id {
                return synced;
            }
            leader_state
                .progress
                .get(&voter)
                .map_or(0, |progress| progress.matched)
        });
        if reached > self.commit && self.log.term_at(reached) == Some(self.hard_state.term) {
            self.set_commit(reached);
        }
    }
}
