//! What has arrived for one reader of a stream and was not taken yet.

use crate::model::Incarnation;
use crate::rpc::sidecar::{End, Origin, StreamUpdate};

/// Why a stream brings nothing more from this incarnation of its sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Trouble {
    /// The sidecar does not know the generation.
    Unknown,
    /// The sidecar runs in another incarnation.
    Restarted(Incarnation),
    /// No poll was answered for a while.
    Unreachable,
}

/// What a reader takes out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum News {
    /// Tokens from an offset on.
    Tokens {
        offset: u32,
        tokens: Vec<String>,
    },
    /// The generation has ended with this number of tokens; all of them were taken.
    Ended {
        total: u32,
        end: End,
    },
    Trouble(Trouble),
}

/// The buffer of one reader. It holds at most the news of one poll.
#[derive(Debug, Default)]
pub(super) struct Inbox {
    /// The number of tokens received, which is the cursor of the next poll.
    cursor: u32,
    tokens: Vec<String>,
    end: Option<(u32, End)>,
    trouble: Option<Trouble>,
    origin: Option<Origin>,
}

impl Inbox {
    /// Returns an empty buffer of a reader that has the tokens before an offset.
    pub fn from_offset(cursor: u32) -> Self {
        Self {
            cursor,
            ..Self::default()
        }
    }

    /// Returns the cursor of the next poll.
    pub fn cursor(&self) -> u32 {
        self.cursor
    }

    /// Returns the origin of the generation, once known.
    pub fn origin(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    /// Returns the trouble, if there is nothing to take before it.
    pub fn trouble(&self) -> Option<&Trouble> {
        let is_next = self.tokens.is_empty() && self.end.is_none();
        self.trouble.as_ref().filter(|_| is_next)
    }

    /// Returns true if the reader has taken everything and more may come.
    pub fn wants_more(&self) -> bool {
        self.tokens.is_empty() && self.end.is_none() && self.trouble.is_none()
    }

    /// Applies an update of a poll. A chunk that does not start at the cursor is a duplicate or a
    /// crossed reply and is dropped. Returns true if there is something to take.
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

    /// Notes that nothing more will come from this incarnation.
    pub fn fail(&mut self, trouble: Trouble) {
        if self.end.is_none() && self.trouble.is_none() {
            self.trouble = Some(trouble);
        }
    }

    /// Takes the next news: tokens before the end, and trouble last.
    pub fn take(&mut self) -> Option<News> {
        if !self.tokens.is_empty() {
            let tokens = std::mem::take(&mut self.tokens);
            let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
            return Some(News::Tokens {
                offset: self.cursor.saturating_sub(count),
                tokens,
            });
        }
        if let Some((total, end)) = self.end.clone() {
            return Some(News::Ended { total, end });
        }
        self.trouble.clone().map(News::Trouble)
    }
}
