//! Buffer of the updates that have arrived for one reader of a stream and were not taken yet.

use crate::model::Incarnation;
use crate::rpc::sidecar::{End, Origin, StreamUpdate};

/// Why a stream gets no more updates from this incarnation of its sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Trouble {
    /// The sidecar does not know the generation.
    Unknown,
    /// The sidecar was restarted as another incarnation.
    Restarted(Incarnation),
    /// The sidecar has not answered polls for longer than the limit.
    Unreachable,
}

/// What a reader takes from its buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReaderEvent {
    /// Tokens in order; the first has this offset.
    Tokens {
        offset: u32,
        tokens: Vec<String>,
    },
    /// The generation has ended with this number of tokens, all of which were taken before.
    Ended {
        total: u32,
        end: End,
    },
    Trouble(Trouble),
}

/// The buffer of one reader. It holds at most the updates of one poll.
#[derive(Debug, Default)]
pub(super) struct ReaderBuffer {
    /// The number of tokens received, which is the cursor of the next poll.
    cursor: u32,
    tokens: Vec<String>,
    end: Option<(u32, End)>,
    trouble: Option<Trouble>,
    origin: Option<Origin>,
}

impl ReaderBuffer {
    /// Returns an empty buffer for a reader that already has the tokens before the offset `cursor`.
    pub fn from_offset(cursor: u32) -> Self {
        Self {
            cursor,
            ..Self::default()
        }
    }

    /// Returns the offset that the next poll asks for.
    pub fn cursor(&self) -> u32 {
        self.cursor
    }

    /// Returns the origin of the generation, or `None` until the sidecar has reported it.
    pub fn origin(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    /// Returns true if the reader has taken everything and the stream may deliver more.
    pub fn wants_more(&self) -> bool {
        self.tokens.is_empty() && self.end.is_none() && self.trouble.is_none()
    }

    /// Applies an update from a poll reply. A chunk that does not start at the cursor is a
    /// duplicate or came out of order and is dropped. Returns true if there is something new to
    /// take.
    pub fn apply(&mut self, update: &StreamUpdate) -> bool {
        if let Some(origin) = &update.origin {
            self.origin = Some(origin.clone());
        }
        if !self.wants_more() {
            return false;
        }
        if update.unknown {
            self.trouble = Some(Trouble::Unknown);
            return true;
        }
        if let Some(chunk) = &update.chunk
            && chunk.offset == self.cursor
            && let Ok(count) = u32::try_from(chunk.tokens.len())
        {
            self.tokens.clone_from(&chunk.tokens);
            self.cursor = self.cursor.saturating_add(count);
        }
        if let Some((total, end)) = &update.end
            && *total <= self.cursor
        {
            self.end = Some((*total, end.clone()));
        }
        !self.wants_more()
    }

    /// Records that this incarnation will deliver nothing more.
    pub fn fail(&mut self, trouble: Trouble) {
        if self.end.is_none() && self.trouble.is_none() {
            self.trouble = Some(trouble);
        }
    }

    /// Takes the next event: tokens first, then the end of the generation, then a fault. The end
    /// and the fault stay in the buffer.
    pub fn take(&mut self) -> Option<ReaderEvent> {
        if !self.tokens.is_empty() {
            let tokens = std::mem::take(&mut self.tokens);
            let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
            return Some(ReaderEvent::Tokens {
                offset: self.cursor.saturating_sub(count),
                tokens,
            });
        }
        if let Some((total, end)) = self.end.clone() {
            return Some(ReaderEvent::Ended { total, end });
        }
        self.trouble.clone().map(ReaderEvent::Trouble)
    }
}
