//! Snapshots sent in bounded pieces to followers that need entries already compacted by the leader.

use std::sync::Arc;

use super::core::Core;
use super::state::Progress;
use super::types::{Body, Echo, NodeId, Snapshot};

/// Size of one piece; several fit in a frame.
pub const PIECE_BYTES: usize = 256 * 1024;
/// Largest snapshot that a follower accepts.
const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// A snapshot that is being sent to a follower, one piece at a time.
#[derive(Debug, Clone)]
pub(super) struct OutgoingSnapshot {
    index: u64,
    term: u64,
    bytes: Arc<Vec<u8>>,
    offset: usize,
    /// True until the follower has answered the last piece.
    waiting: bool,
}

/// A snapshot that is being received from the leader.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    total: u64,
    bytes: Vec<u8>,
}

impl Core {
    /// Sends the next piece; with `force`, also if the last one has not been answered yet.
    pub(super) fn send_piece(&mut self, peer: NodeId, force: bool, now_ms: u64) {
        let echo = self.echo(now_ms);
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let Some(progress) = self.progress(peer) else {
            return;
        };
        if progress.outgoing_snapshot.is_none() {
            let Ok(bytes) = postcard::to_stdvec(&*snapshot) else {
                return;
            };
            progress.outgoing_snapshot = Some(OutgoingSnapshot {
                index: snapshot.index,
                term: snapshot.term,
                bytes: Arc::new(bytes),
                offset: 0,
                waiting: false,
            });
        }
        let Some(outgoing) = progress
            .outgoing_snapshot
            .as_mut()
            .filter(|o| force || !o.waiting)
        else {
            return;
        };
        outgoing.waiting = true;
        let end = (outgoing.offset + PIECE_BYTES).min(outgoing.bytes.len());
        let body = Body::Piece {
            index: outgoing.index,
            term: outgoing.term,
            offset: outgoing.offset as u64,
            total: outgoing.bytes.len() as u64,
            data: outgoing.bytes[outgoing.offset..end].to_vec(),
            echo,
        };
        self.send_before_persist(peer, body);
    }

    pub(super) fn on_piece(&mut self, from: NodeId, body: Body, now_ms: u64) {
        let Body::Piece {
            index,
            term,
            offset,
            total,
            data,
            echo,
        } = body
        else {
            return;
        };
        if !self.record_leader_contact(from, now_ms) {
            return;
        }
        if index <= self.commit {
            let reply = Body::Appended {
                matched: self.commit,
                echo,
            };
            self.send_after_persist(from, self.hard_state.term, reply);
            return;
        }
        let fits = total <= MAX_SNAPSHOT_BYTES && offset.saturating_add(data.len() as u64) <= total;
        if !fits {
            return;
        }
        let held_bytes = self.add_piece((index, term, total), offset, &data);
        if held_bytes < total {
            let reply = Body::PieceReply {
                index,
                offset: held_bytes,
                echo,
            };
            self.send_after_persist(from, self.hard_state.term, reply);
            return;
        }
        self.finish_incoming(from, echo);
    }

    /// Adds a piece if it continues the pieces held; returns the number of bytes held. A piece of
    /// another snapshot discards the pieces held before.
    fn add_piece(&mut self, key: (u64, u64, u64), offset: u64, data: &[u8]) -> u64 {
        let (index, term, total) = key;
        let same = |held: &IncomingSnapshot| (held.index, held.term, held.total) == key;
        if !self.incoming_snapshot.as_ref().is_some_and(same) {
            self.incoming_snapshot = Some(IncomingSnapshot {
                index,
                term,
                total,
                bytes: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return 0;
        };
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(data);
        }
        incoming.bytes.len() as u64
    }

    fn finish_incoming(&mut self, from: NodeId, echo: Echo) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let decoded: Result<Snapshot, _> = postcard::from_bytes(&incoming.bytes);
        let Ok(snapshot) = decoded else { return };
        if (snapshot.index, snapshot.term) != (incoming.index, incoming.term) {
            return;
        }
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            // The log already holds all entries up to the snapshot.
            self.set_commit(index);
        } else {
            self.install(snapshot);
        }
        self.send_after_persist(
            from,
            self.hard_state.term,
            Body::Appended {
                matched: index,
                echo,
            },
        );
    }

    pub(super) fn on_piece_reply(
        &mut self,
        from: NodeId,
        index: u64,
        offset: u64,
        echo: Echo,
        now_ms: u64,
    ) {
        if !self.record_follower_reply(from, echo, now_ms) {
            return;
        }
        let Some(progress) = self.progress(from) else {
            return;
        };
        if let Some(outgoing) = progress
            .outgoing_snapshot
            .as_mut()
            .filter(|o| o.index == index)
        {
            let offset = usize::try_from(offset).unwrap_or(usize::MAX);
            outgoing.offset = offset.min(outgoing.bytes.len());
            outgoing.waiting = false;
        }
        self.replicate(from, false, now_ms);
    }
}

impl Progress {
    /// Ends the snapshot transfer once the follower has matched the snapshot's index.
    pub(super) fn end_transfer(&mut self) {
        if self
            .outgoing_snapshot
            .as_ref()
            .is_some_and(|o| o.index <= self.matched)
        {
            self.outgoing_snapshot = None;
        }
    }
}
