//! The token oracle detects missing, repeated, foreign and mixed tokens in an answer.

mod common;
#[path = "../examples/support/oracle.rs"]
mod oracle;

const PROMPT: &str = "quote for 120 covers";
const LENGTH: usize = 8;

fn answer(seed: u64, version: &str) -> Vec<String> {
    let oracle = oracle::TokenOracle::new(PROMPT, version, seed);
    (0..LENGTH).map(|position| oracle.token(position)).collect()
}

fn accepts(tokens: &[String]) {
    let checked = oracle::TokenOracle::check(PROMPT, tokens);
    assert!(checked.is_ok(), "{checked:?}");
}

fn rejects(tokens: &[String]) {
    let checked = oracle::TokenOracle::check(PROMPT, tokens);
    assert!(checked.is_err(), "accepted {tokens:?}");
}

fn without(position: usize) -> Vec<String> {
    let mut tokens = answer(1, "v1");
    tokens.remove(position);
    tokens
}

fn doubled(position: usize) -> Vec<String> {
    let mut tokens = answer(1, "v1");
    tokens.insert(position, tokens[position].clone());
    tokens
}

fn spliced(seed: u64, version: &str) -> Vec<String> {
    let mut tokens = answer(1, "v1");
    tokens.truncate(LENGTH / 2);
    tokens.extend(answer(seed, version).into_iter().skip(LENGTH / 2));
    tokens
}

fn swapped() -> Vec<String> {
    let mut tokens = answer(1, "v1");
    tokens.swap(3, 4);
    tokens
}

fn of_other_prompt() -> Vec<String> {
    let oracle = oracle::TokenOracle::new("another prompt", "v1", 1);
    (0..LENGTH).map(|position| oracle.token(position)).collect()
}

common::cases! {
    whole_answer_is_accepted: accepts(&answer(1, "v1"));
    beginning_of_an_answer_is_accepted: accepts(&answer(1, "v1")[..3]);
    missing_first_token_is_found: rejects(&without(0));
    missing_middle_token_is_found: rejects(&without(4));
    repeated_first_token_is_found: rejects(&doubled(0));
    repeated_last_token_is_found: rejects(&doubled(LENGTH - 1));
    swapped_tokens_are_found: rejects(&swapped());
    another_generation_of_the_prompt_is_found: rejects(&spliced(2, "v1"));
    another_model_version_is_found: rejects(&spliced(1, "v2"));
    another_callers_answer_is_found: rejects(&of_other_prompt());
}
