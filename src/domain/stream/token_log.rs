//! The token log of one generation.

use std::fmt;

use crate::rpc::sidecar::{Chunk, End};

/// Lifecycle stage of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Not sent to an upstream yet.
    Queued,
    /// A run was stopped and its tokens were dropped; the generation waits to be sent again.
    Requeued,
    /// Sent to an upstream, which may be running it.
    Sent,
    Ended,
}

/// Why an operation on a token log failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogError {
    /// The token's offset is not the next one.
    Gap { expected: u32, offset: u32 },
    /// The generation has ended.
    Ended,
    /// The log cannot be emptied for a new run, because tokens have been delivered to a reader.
    AlreadyDelivered { acknowledged: u32 },
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, offset } => {
                write!(f, "token at offset {offset}, expected {expected}")
            }
            Self::Ended => f.write_str("the generation has ended"),
            Self::AlreadyDelivered { acknowledged } => {
                write!(
                    f,
                    "tokens were already delivered; the reader acknowledged {acknowledged}"
                )
            }
        }
    }
}

impl std::error::Error for LogError {}

/// The tokens of one generation, contiguous from offset 0. Tokens never change once delivered.
#[derive(Debug, Clone, Default)]
pub struct TokenLog {
    tokens: Vec<String>,
    /// The end offset of the tokens delivered so far; a reader may have any token before it.
    delivered: u32,
    /// The reader has confirmed that it has all tokens before this offset.
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

    /// Returns the offset up to which tokens may have been delivered to a reader.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns the offset up to which the reader has acknowledged tokens.
    pub fn acknowledged(&self) -> u32 {
        self.acknowledged
    }

    /// Returns how the generation ended; `None` while it has not.
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

    /// Ends the generation; fails if it has already ended.
    pub fn finish(&mut self, end: End) -> Result<(), LogError> {
        match self.end {
            Some(_) => Err(LogError::Ended),
            None => {
                self.end = Some(end);
                Ok(())
            }
        }
    }

    /// Empties the log for a new run; fails once a token was delivered or the generation has ended.
    pub fn restart(&mut self) -> Result<(), LogError> {
        match (&self.end, self.delivered) {
            (Some(_), _) => Err(LogError::Ended),
            (None, 0) => {
                self.tokens.clear();
                Ok(())
            }
            (None, _) => Err(LogError::AlreadyDelivered {
                acknowledged: self.acknowledged,
            }),
        }
    }

    /// Records that the reader has all tokens before `offset`.
    pub fn acknowledge(&mut self, offset: u32) {
        self.acknowledged = self.acknowledged.max(offset);
        // After a restart of the sidecar the reader may be ahead of the log.
        self.delivered = self.delivered.max(offset);
    }

    /// Returns the tokens from `offset` on and marks them as delivered. Tokens are added until they
    /// take up `limit_bytes`, which the last or only one may exceed. Returns `None` if there are no
    /// tokens yet.
    pub fn deliver(&mut self, offset: u32, limit_bytes: usize) -> Option<Chunk> {
        let start = usize::try_from(offset).ok()?;
        let mut size = 0;
        let tokens: Vec<_> = self
            .tokens
            .get(start..)?
            .iter()
            .take_while(|token| {
                let fits = size < limit_bytes;
                size += token.len() + TOKEN_OVERHEAD_BYTES;
                fits
            })
            .cloned()
            .collect();
        if tokens.is_empty() {
            return None;
        }
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.delivered = self.delivered.max(offset.saturating_add(count));
        Some(Chunk { offset, tokens })
    }
}

/// Encoding overhead of a token in a message.
const TOKEN_OVERHEAD_BYTES: usize = 5;
