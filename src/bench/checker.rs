//! Checks that an answer of a stand-in engine has every token of one generation once, in order.

use std::fmt;

use crate::roles::standin::tokens::{TokenSource, parse_tag};

/// Distance up to which an unexpected token is searched for, to classify the fault.
const SEARCH_TOKENS: u32 = 64;

/// The first fault of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer does not start with the first token of a generation.
    InvalidStart { found: String },
    /// The token at `offset` repeats the one at `earlier_offset`.
    Duplicate { offset: u32, earlier_offset: u32 },
    /// Tokens are missing at `offset`; the answer continues with the one of `next_offset`.
    Missing { offset: u32, next_offset: u32 },
    /// A token does not belong to this generation.
    Foreign { offset: u32, found: String },
    /// The answer has more or fewer tokens than expected.
    WrongLength {
        expected_tokens: u32,
        found_tokens: u32,
    },
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidStart { found } => write!(
                f,
                "the answer starts with {found:?}, not with the first token of a generation"
            ),
            Self::Duplicate {
                offset,
                earlier_offset,
            } => write!(
                f,
                "the token of offset {earlier_offset} is repeated at offset {offset}"
            ),
            Self::Missing {
                offset,
                next_offset,
            } => write!(
                f,
                "tokens missing: offset {offset} has the token of offset {next_offset}"
            ),
            Self::Foreign { offset, found } => write!(
                f,
                "offset {offset} has {found:?}, which does not belong to this generation"
            ),
            Self::WrongLength {
                expected_tokens,
                found_tokens,
            } => write!(
                f,
                "the answer has {found_tokens} tokens, expected {expected_tokens}"
            ),
        }
    }
}

impl std::error::Error for AnswerFault {}

/// Returns the generation's tag if the text is a correct answer to the prompt.
///
/// `versions` are the model versions that may have answered. `expected_tokens` is the length of the
/// complete answer; without it, missing tokens at the end are not detected.
pub fn check_answer(
    versions: &[&str],
    prompt: &str,
    text: &str,
    expected_tokens: Option<u32>,
) -> Result<u64, AnswerFault> {
    let tokens: Vec<&str> = split_tokens(text);
    let first = tokens.first().copied().unwrap_or("");
    let Some(tag) = parse_tag(first) else {
        return Err(AnswerFault::InvalidStart {
            found: first.to_owned(),
        });
    };
    let sources = versions
        .iter()
        .map(|version| TokenSource::new(version, prompt, tag));
    // The version with the longest correct prefix is taken as the one that answered.
    let best = sources
        .map(|source| (correct_prefix_len(&source, &tokens), source))
        .max_by_key(|(correct, _)| *correct);
    let found_tokens = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
    match best {
        Some((correct, source)) if correct < tokens.len() => {
            Err(classify_fault(&source, &tokens, correct))
        }
        _ => match expected_tokens {
            Some(expected_tokens) if expected_tokens != found_tokens => {
                Err(AnswerFault::WrongLength {
                    expected_tokens,
                    found_tokens,
                })
            }
            _ => Ok(tag),
        },
    }
}

/// Splits text before each space, as every token starts with one.
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

/// Returns the number of leading tokens that are correct.
fn correct_prefix_len(source: &TokenSource, tokens: &[&str]) -> usize {
    (0u32..)
        .zip(tokens)
        .take_while(|(offset, token)| source.token(*offset) == **token)
        .count()
}

/// Returns the fault of the token at `index`, which is the first that is not correct.
fn classify_fault(source: &TokenSource, tokens: &[&str], index: usize) -> AnswerFault {
    let offset = u32::try_from(index).unwrap_or(u32::MAX);
    let found = tokens[index];
    let earlier = offset.saturating_sub(SEARCH_TOKENS)..offset;
    if let Some(earlier_offset) = earlier.rev().find(|other| source.token(*other) == found) {
        return AnswerFault::Duplicate {
            offset,
            earlier_offset,
        };
    }
    let mut later = offset + 1..offset.saturating_add(SEARCH_TOKENS);
    match later.find(|other| source.token(*other) == found) {
        Some(next_offset) => AnswerFault::Missing {
            offset,
            next_offset,
        },
        None => AnswerFault::Foreign {
            offset,
            found: found.to_owned(),
        },
    }
}
