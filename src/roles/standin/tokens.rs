//! Token texts of the engine stand-in, which a checker can recompute.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Prompt tokens per block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 32;

/// Produces the token texts of one generation.
///
/// The first token is ` g<16 hex digits>`, the tag of the generation. Each later token is
/// ` w<number>`, where the number is derived from model version, prompt, tag and offset. So a
/// missing, duplicated or swapped token, or one of another generation, differs from the expected
/// text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenSource {
    key: u64,
    tag: u64,
}

impl TokenSource {
    /// Creates the source of the generation with this tag, which must be unique among the
    /// generations of the prompt.
    pub fn new(version: &str, prompt: &str, tag: u64) -> Self {
        let mut key = xxh3_64_with_seed(version.as_bytes(), tag);
        key = xxh3_64_with_seed(prompt.as_bytes(), key);
        Self { key, tag }
    }

    pub fn token(&self, offset: u32) -> String {
        if offset == 0 {
            return format!(" g{:016x}", self.tag);
        }
        format!(" w{}", mix(self.key, u64::from(offset)) % 1_000_000)
    }
}

/// Returns the generation's tag if `token` has the form of a first token.
pub fn parse_tag(token: &str) -> Option<u64> {
    let digits = token.strip_prefix(" g")?;
    match digits.len() {
        16 => u64::from_str_radix(digits, 16).ok(),
        _ => None,
    }
}

/// Returns the number of tokens of a prompt, which are its words.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Returns one hash for each full block of the prompt. A hash covers the prompt from its start to
/// the end of the block.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = 0;
    for (index, word) in text.split_whitespace().enumerate() {
        hash = xxh3_64_with_seed(word.as_bytes(), hash);
        if (index + 1) % BLOCK_TOKENS as usize == 0 {
            hashes.push(hash);
        }
    }
    hashes
}

/// Returns the prompt of a chat, from its messages as (role, content).
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, content) in messages {
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(content);
        prompt.push('\n');
    }
    prompt
}

/// Returns a hash of which every bit depends on both arguments.
pub(crate) fn mix(key: u64, value: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), key)
}

pub(crate) fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
