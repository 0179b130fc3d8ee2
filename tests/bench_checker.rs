//! The checker of answers.

use lilacspindle::bench::checker::{AnswerFault, check_answer};
use lilacspindle::roles::standin::tokens::TokenSource;
use quickcheck::{TestResult, quickcheck};

const PROMPT: &str = "why is the left tyre worn";

fn answer(version: &str, tag: u64, length: u32) -> Vec<String> {
    let source = TokenSource::new(version, PROMPT, tag);
    (0..length).map(|offset| source.token(offset)).collect()
}

fn check(tokens: &[String], expected: Option<u32>) -> Result<u64, AnswerFault> {
    check_answer(&["v1", "v2"], PROMPT, &tokens.concat(), expected)
}

/// Guards against a checker that refuses right answers, also of another version in force.
#[test]
fn right_answers_pass() {
    for version in ["v1", "v2"] {
        for length in [1, 2, 50] {
            let tokens = answer(version, 77, length);
            assert_eq!(check(&tokens, Some(length)), Ok(77));
            assert_eq!(check(&tokens, None), Ok(77));
        }
    }
    let other = answer("v3", 77, 50);
    assert!(check(&other, Some(50)).is_err());
}

/// Guards against a checker that misses a doubled, missing, mixed or absent token.
#[test]
fn each_fault_is_named() {
    let tokens = answer("v1", 77, 50);
    let mut doubled = tokens.clone();
    doubled.insert(10, tokens[9].clone());
    let expected = AnswerFault::Doubled {
        offset: 10,
        repeats: 9,
    };
    assert_eq!(check(&doubled, Some(51)), Err(expected));

    let mut missing = tokens.clone();
    missing.drain(10..13);
    let expected = AnswerFault::Missing {
        offset: 10,
        next: 13,
    };
    assert_eq!(check(&missing, None), Err(expected));

    let mut mixed = tokens.clone();
    mixed.splice(20.., answer("v1", 78, 50).drain(20..));
    let fault = check(&mixed, Some(50)).expect_err("two generations");
    assert!(matches!(fault, AnswerFault::Mixed { offset: 20, .. }));

    let short = &tokens[..49];
    let expected = AnswerFault::Length {
        expected: 50,
        found: 49,
    };
    assert_eq!(check(short, Some(50)), Err(expected));

    let no_start = check(&tokens[1..], None).expect_err("first token is missing");
    assert!(matches!(no_start, AnswerFault::NoStart { .. }));
    assert!(check(&[], None).is_err());
}

quickcheck! {
    /// Guards against a place or length of answer at which a removed or swapped token is missed.
    fn any_removed_or_swapped_token_is_found(tag: u64, length: u8, place: u8) -> TestResult {
        let (length, place) = (u32::from(length), usize::from(place));
        if length < 2 || place + 1 >= length as usize {
            return TestResult::discard();
        }
        let mut removed = answer("v1", tag, length);
        let mut swapped = removed.clone();
        removed.remove(place);
        swapped.swap(place, place + 1);
        let missed = check(&removed, Some(length)).is_ok() || check(&swapped, Some(length)).is_ok();
        TestResult::from_bool(!missed)
    }
}
