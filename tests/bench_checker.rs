//! Tests of the checker of answers.

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

/// Guards against a checker that rejects correct answers, from any of the accepted model versions.
#[test]
fn correct_answers_pass() {
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

/// Guards against a checker that misses or misclassifies duplicate, missing or foreign tokens.
#[test]
fn each_fault_is_classified() {
    let tokens = answer("v1", 77, 50);
    let mut duplicate = tokens.clone();
    duplicate.insert(10, tokens[9].clone());
    let expected = AnswerFault::Duplicate {
        offset: 10,
        earlier_offset: 9,
    };
    assert_eq!(check(&duplicate, Some(51)), Err(expected));

    let mut missing = tokens.clone();
    missing.drain(10..13);
    let expected = AnswerFault::Missing {
        offset: 10,
        next_offset: 13,
    };
    assert_eq!(check(&missing, None), Err(expected));

    let mut foreign = tokens.clone();
    foreign.splice(20.., answer("v1", 78, 50).drain(20..));
    let fault = check(&foreign, Some(50)).expect_err("two generations");
    assert!(matches!(fault, AnswerFault::Foreign { offset: 20, .. }));

    let short = &tokens[..49];
    let expected = AnswerFault::WrongLength {
        expected_tokens: 50,
        found_tokens: 49,
    };
    assert_eq!(check(short, Some(50)), Err(expected));

    let invalid_start = check(&tokens[1..], None).expect_err("first token is missing");
    assert!(matches!(invalid_start, AnswerFault::InvalidStart { .. }));
    assert!(check(&[], None).is_err());
}

quickcheck! {
    /// Guards against an offset or answer length at which a removed or swapped token is missed.
    fn any_removed_or_swapped_token_is_found(tag: u64, length: u8, index: u8) -> TestResult {
        let (length, index) = (u32::from(length), usize::from(index));
        if length < 2 || index + 1 >= length as usize {
            return TestResult::discard();
        }
        let mut removed = answer("v1", tag, length);
        let mut swapped = removed.clone();
        removed.remove(index);
        swapped.swap(index, index + 1);
        let missed = check(&removed, Some(length)).is_ok() || check(&swapped, Some(length)).is_ok();
        TestResult::from_bool(!missed)
    }
}
