//! Checks that an answer of a stand-in engine is whole, once, in order and from one generation.

use std::fmt;

use crate::roles::standin::tokens::{TokenSource, parse_tag};

/// How far from its place a token is searched for, to name the fault.
const SEARCH_TOKENS: u32 = 64;

/// The first fault of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer does not start with the first token of a generation.
    NoStart { found: String },
    /// A token comes again.
    Doubled { offset: u32, repeats: u32 },
    /// Tokens are left out; the answer goes on with the one at `next`.
    Missing { offset: u32, next: u32 },
    /// A token is not of this generation.
    Mixed { offset: u32, found: String },
    /// The answer has another length than it should.
    Length { expected: u32, found: u32 },
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoStart { found } => write!(f, "the answer starts with {found:?}"),
            Self::Doubled { offset, repeats } => {
                write!(f, "at offset {offset} comes token {repeats} again")
            }
            Self::Missing { offset, next } => {
                write!(f, "at offset {offset} comes token {next}")
            }
            Self::Mixed { offset, found } => {
                write!(
                    f,
                    "at offset {offset} comes {found:?} of another generation"
                )
            }
            Self::Length { expected, found } => {
                write!(f, "the answer has {found} tokens in place of {expected}")
            }
        }
    }
}

impl std::error::Error for AnswerFault {}

/// Returns the generation's tag if the text is a faultless answer to the prompt.
///
/// `versions` are the model versions that may have answered. `expected_tokens` is the true length
/// if it is known; without it, tokens missing at the end are not found.
pub fn check_answer(
    versions: &[&str],
    prompt: &str,
    text: &str,
    expected_tokens: Option<u32>,
) -> Result<u64, AnswerFault> {
    let tokens: Vec<&str> = split_tokens(text);
    let first = tokens.first().copied().unwrap_or("");
    let Some(tag) = parse_tag(first) else {
        return Err(AnswerFault::NoStart {
            found: first.to_owned(),
        });
    };
    let sources = versions
        .iter()
        .map(|version| TokenSource::new(version, prompt, tag));
    // The version whose tokens fit furthest is the one that answered.
    let best = sources
        .map(|source| (matching(&source, &tokens), source))
        .max_by_key(|(matching, _)| *matching);
    let found = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
    match best {
        Some((matching, source)) if matching < tokens.len() => {
            Err(name_fault(&source, &tokens, matching))
        }
        _ => match expected_tokens {
            Some(expected) if expected != found => Err(AnswerFault::Length { expected, found }),
            _ => Ok(tag),
        },
    }
}

/// Splits text before each space; the space belongs to the token.
fn split_tokens(text: &str) -> Vec<&str> {
    let mut starts: Vec<usize> = text.match_indices(' ').map(|(index, _)| index).collect();
    if starts.first() != Some(&0) && !text.is_empty() {
        starts.insert(0, 0);
    }
    let ends = starts.iter().skip(1).copied().chain([text.len()]);
    starts
        .iter()
        .zip(ends)
        .map(|(start, end)| &text[*start..end])
        .collect()
}

/// Returns the number of leading tokens that are right.
fn matching(source: &TokenSource, tokens: &[&str]) -> usize {
    (0u32..)
        .zip(tokens)
        .take_while(|(offset, token)| source.token(*offset) == **token)
        .count()
}

fn name_fault(source: &TokenSource, tokens: &[&str], at: usize) -> AnswerFault {
    let offset = u32::try_from(at).unwrap_or(u32::MAX);
    let found = tokens[at];
    let earlier = offset.saturating_sub(SEARCH_TOKENS)..offset;
    if let Some(repeats) = earlier.rev().find(|other| source.token(*other) == found) {
        return AnswerFault::Doubled { offset, repeats };
    }
    let mut later = offset + 1..offset.saturating_add(SEARCH_TOKENS);
    match later.find(|other| source.token(*other) == found) {
        Some(next) => AnswerFault::Missing { offset, next },
        None => AnswerFault::Mixed {
            offset,
            found: found.to_owned(),
        },
    }
}
