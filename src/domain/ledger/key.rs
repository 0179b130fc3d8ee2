//! Parsing of idempotency keys, which carry their creation time.

use std::fmt;

use crate::domain::state::KeyId;
use crate::model::WorkspaceName;

/// The maximum length of a key.
pub const MAX_KEY_BYTES: usize = 128;

/// The number of digits of a Unix time in milliseconds between the years 2001 and 2286.
const UNIX_MS_DIGITS: usize = 13;

/// Why a text is not a valid idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    Empty,
    TooLong {
        bytes: usize,
    },
    /// The character at this offset is not printable ASCII.
    BadCharacter {
        offset: usize,
    },
    /// A UUID of another version than 7, which carries no Unix time.
    WrongUuidVersion,
    /// Neither a UUID nor a Unix time followed by a hyphen and text.
    NoTime,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the key is empty"),
            Self::TooLong { bytes } => {
                write!(f, "the key has {bytes} bytes; at most {MAX_KEY_BYTES}")
            }
            Self::BadCharacter { offset } => {
                write!(f, "byte {offset} of the key is not printable ASCII")
            }
            Self::WrongUuidVersion => {
                f.write_str("the key is a UUID without a time; use version 7")
            }
            Self::NoTime => f.write_str("the key is neither a UUIDv7 nor <unix-ms>-<text>"),
        }
    }
}

impl std::error::Error for KeyError {}

/// Parses a key and the creation time that it carries.
pub fn parse_key(workspace: &WorkspaceName, text: &str) -> Result<KeyId, KeyError> {
    if text.is_empty() {
        return Err(KeyError::Empty);
    }
    if text.len() > MAX_KEY_BYTES {
        return Err(KeyError::TooLong { bytes: text.len() });
    }
    if let Some(offset) = text.bytes().position(|byte| !byte.is_ascii_graphic()) {
        return Err(KeyError::BadCharacter { offset });
    }
    let created_at_ms = match uuid_digits(text) {
        Some(digits) => uuid_v7_ms(digits)?,
        None => prefix_ms(text)?,
    };
    Ok(KeyId {
        workspace: workspace.clone(),
        key: text.to_owned(),
        created_at_ms,
    })
}

/// Returns the 128-bit value of a text in UUID format, or `None` for any other text.
fn uuid_digits(text: &str) -> Option<u128> {
    const HYPHENS: [usize; 4] = [8, 13, 18, 23];
    let is_uuid = text.len() == 36
        && text.bytes().enumerate().all(|(position, byte)| {
            if HYPHENS.contains(&position) {
                byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        });
    if !is_uuid {
        return None;
    }
    u128::from_str_radix(&text.replace('-', ""), 16).ok()
}

fn uuid_v7_ms(digits: u128) -> Result<u64, KeyError> {
    let version = (digits >> 76) & 0xf;
    let variant = (digits >> 62) & 0b11;
    if version != 7 || variant != 0b10 {
        return Err(KeyError::WrongUuidVersion);
    }
    u64::try_from(digits >> 80).map_err(|_| KeyError::NoTime)
}

fn prefix_ms(text: &str) -> Result<u64, KeyError> {
    let (digits, rest) = text.split_once('-').ok_or(KeyError::NoTime)?;
    let is_number = digits.len() == UNIX_MS_DIGITS && digits.bytes().all(|b| b.is_ascii_digit());
    if !is_number || rest.is_empty() {
        return Err(KeyError::NoTime);
    }
    digits.parse().map_err(|_| KeyError::NoTime)
}
