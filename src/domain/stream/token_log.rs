//! The tokens of one generation, by offset.

use std::fmt;

use crate::rpc::sidecar::{Chunk, End};

/// How far a generation has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing was sent to an upstream.
    Queued,
    /// A run was stopped, its tokens are gone, and it waits to be sent again.
    Requeued,
    /// The upstream may be running it.
    Sent,
    Ended,
}

/// A token does not continue the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogError {
    /// The token's offset is not the next one.
    Gap { expected: u32, offset: u32 },
    /// The generation has ended.
    Ended,
    /// Tokens of another run would follow tokens that a caller has seen.
    Shown { acknowledged: u32 },
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, offset } => {
                write!(f, "token at offset {offset}, expected {expected}")
            }
            Self::Ended => f.write_str("the generation has ended"),
            Self::Shown { acknowledged } => {
                write!(f, "{acknowledged} tokens are already with the reader")
            }
        }
    }
}

impl std::error::Error for LogError {}

/// The tokens of one generation: contiguous from offset 0, never changed once given out.
#[derive(Debug, Clone, Default)]
pub struct TokenLog {
    tokens: Vec<String>,
    /// Highest offset that was given out; a caller may have seen everything before it.
    given: u32,
    /// Everything before it is with the reader.
    acknowledged: u32,
    end: Option<End>,
}

impl TokenLog {
    /// Returns the number of tokens.
    pub fn len(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns true if there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Returns the offset up to which tokens were given to a reader.
    pub fn given(&self) -> u32 {
        self.given
    }

    /// Returns the offset up to which the reader has acknowledged.
    pub fn acknowledged(&self) -> u32 {
        self.acknowledged
    }

    /// Returns how the generation ended.
    pub fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }

    /// Appends the token at `offset`; fails unless it is the next one of a running generation.
    pub fn append(&mut self, offset: u32, token: String) -> Result<(), LogError> {
        match self.len() {
            _ if self.end.is_some() => Err(LogError::Ended),
            expected if expected != offset => Err(LogError::Gap { expected, offset }),
            _ => {
                self.tokens.push(token);
                Ok(())
            }
        }
    }

    /// Ends the generation; fails if it has ended before.
    pub fn finish(&mut self, end: End) -> Result<(), LogError> {
        match self.end {
            Some(_) => Err(LogError::Ended),
            None => {
                self.end = Some(end);
                Ok(())
            }
        }
    }

    /// Empties the log for a new run; fails once a token was given out.
    pub fn restart(&mut self) -> Result<(), LogError> {
        match (&self.end, self.given) {
            (Some(_), _) => Err(LogError::Ended),
            (None, 0) => {
                self.tokens.clear();
                Ok(())
            }
            (None, _) => Err(LogError::Shown {
                acknowledged: self.acknowledged,
            }),
        }
    }

    /// Notes that the reader has everything before `offset`.
    pub fn acknowledge(&mut self, offset: u32) {
        self.acknowledged = self.acknowledged.max(offset);
        // After a restart of the sidecar the reader may be ahead of the log.
        self.given = self.given.max(offset);
    }

    /// Returns the tokens from `offset` on, up to a number of bytes but at least one; none if
    /// there are none yet.
    pub fn give(&mut self, offset: u32, limit_bytes: usize) -> Option<Chunk> {
        let start = usize::try_from(offset).ok()?;
        let mut size = 0;
        let tokens: Vec<_> = self
            .tokens
            .get(start..)?
            .iter()
            .take_while(|token| {
                let fits = size < limit_bytes;
                size += token.len() + TOKEN_FRAME_BYTES;
                fits
            })
            .cloned()
            .collect();
        if tokens.is_empty() {
            return None;
        }
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.given = self.given.max(offset.saturating_add(count));
        Some(Chunk { offset, tokens })
    }
}

/// Bytes of a token in a message beside its text.
const TOKEN_FRAME_BYTES: usize = 5;
