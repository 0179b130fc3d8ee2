//! Token text that a checker can recompute.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Prompt tokens per block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 32;

/// Produces the text of every token of one generation.
///
/// The first token names the generation as ` g<16 hex digits>`. Each later token is ` w<number>`,
/// where the number depends on model version, prompt, generation and offset. A missing, doubled or
/// swapped token, or one from another generation, differs from the expected text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenSource {
    key: u64,
    tag: u64,
}

impl TokenSource {
    /// `tag` identifies the generation and must differ between generations of one prompt.
    pub fn new(version: &str, prompt: &str, tag: u64) -> Self {
        let mut key = xxh3_64_with_seed(version.as_bytes(), tag);
        key = xxh3_64_with_seed(prompt.as_bytes(), key);
        Self { key, tag }
    }

    /// Returns the text of the token at `offset`.
    pub fn token(&self, offset: u32) -> String {
        if offset == 0 {
            return format!(" g{:016x}", self.tag);
        }
        format!(" w{}", mix(self.key, u64::from(offset)) % 1_000_000)
    }
}

/// Returns the generation's tag, if the token is the first of an answer.
pub fn parse_tag(token: &str) -> Option<u64> {
    let digits = token.strip_prefix(" g")?;
    match digits.len() {
        16 => u64::from_str_radix(digits, 16).ok(),
        _ => None,
    }
}

/// Returns the number of tokens in a prompt: its words.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Returns one hash per full block of the prompt; each covers everything up to its block's end.
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

/// Returns the prompt text of a chat as the engine sees it.
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

/// Returns a number that depends on both arguments in every bit.
pub(crate) fn mix(key: u64, value: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), key)
}

/// Returns an identity number from text.
pub(crate) fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
