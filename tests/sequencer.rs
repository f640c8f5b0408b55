//! No token is missing, repeated or mixed, whatever the order in which attempts deliver them.

use kumquatpulley::request::cursor;
use kumquatpulley::request::sequencer;
use proptest::prelude::*;

/// One event of an attempt.
#[derive(Clone, Debug)]
enum Delivery {
    Token { attempt: usize, index: u32 },
    Open { attempt: usize },
    Retire { attempt: usize },
    End { attempt: usize, count: u32 },
}

const ATTEMPTS: usize = 4;
const LENGTH: u32 = 12;

fn attempt(index: usize) -> cursor::AttemptId {
    cursor::AttemptId(index as u128 + 1)
}

/// Returns the token of an attempt at a position. An attempt continues the prefix held when it was
/// opened, so its tokens are unique to it after that prefix.
fn text(prefix: &[String], attempt: usize, index: u32) -> String {
    prefix
        .get(index as usize)
        .cloned()
        .unwrap_or_else(|| format!("a{attempt}t{index}"))
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => (0..ATTEMPTS, 0..LENGTH).prop_map(|(attempt, index)| Delivery::Token { attempt, index }),
        2 => (0..ATTEMPTS).prop_map(|attempt| Delivery::Open { attempt }),
        1 => (0..ATTEMPTS).prop_map(|attempt| Delivery::Retire { attempt }),
        1 => (0..ATTEMPTS, 0..=LENGTH).prop_map(|(attempt, count)| Delivery::End { attempt, count }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    /// The accepted tokens never change and grow by one token at a time. Each token comes from an
    /// attempt whose own earlier tokens are exactly those accepted before it.
    #[test]
    fn interleaved_attempts_never_mix(deliveries in proptest::collection::vec(delivery(), 1..200)) {
        let mut sequencer = sequencer::TokenSequencer::default();
        let mut prefixes: Vec<Option<Vec<String>>> = vec![None; ATTEMPTS];
        let mut expected: Vec<String> = Vec::new();
        let mut is_whole = false;
        for delivery in deliveries {
            match delivery {
                Delivery::Open { attempt: index } => {
                    if prefixes[index].is_none() {
                        prefixes[index] = Some(sequencer.tokens().to_vec());
                        if !is_whole {
                            sequencer.open(attempt(index));
                        }
                    }
                }
                Delivery::Retire { attempt: index } => sequencer.retire(attempt(index)),
                Delivery::Token { attempt: index, index: position } => {
                    let prefix = prefixes[index].clone().unwrap_or_default();
                    let token = text(&prefix, index, position);
                    let was_open = sequencer.is_open(attempt(index));
                    let offer = sequencer.offer(attempt(index), position, &token);
                    if let sequencer::TokenOffer::Accepted(count) = offer {
                        prop_assert!(was_open, "a token of a closed attempt was accepted");
                        prop_assert_eq!(count as usize, expected.len() + 1);
                        // The attempt's own earlier tokens must equal those accepted.
                        for (at, held) in expected.iter().enumerate() {
                            let own = text(&prefix, index, u32::try_from(at).unwrap());
                            prop_assert_eq!(held, &own, "two attempts were mixed");
                        }
                        expected.push(token);
                    }
                }
                Delivery::End { attempt: index, count } => {
                    let was_open = sequencer.is_open(attempt(index));
                    let offer = sequencer.offer_end(attempt(index), count);
                    if offer == sequencer::EndOffer::Whole {
                        prop_assert!(was_open);
                        prop_assert_eq!(count as usize, expected.len());
                        is_whole = true;
                    }
                }
            }
            prop_assert_eq!(sequencer.tokens(), &*expected);
        }
    }
}

#[test]
fn a_superseded_attempt_cannot_add_to_the_answer() {
    let mut sequencer = sequencer::TokenSequencer::default();
    sequencer.open(attempt(0));
    assert_eq!(
        sequencer.offer(attempt(0), 0, "a"),
        sequencer::TokenOffer::Accepted(1)
    );
    sequencer.open(attempt(1));
    assert_eq!(
        sequencer.offer(attempt(1), 1, "b"),
        sequencer::TokenOffer::Accepted(2)
    );
    assert_eq!(
        sequencer.offer(attempt(0), 2, "c"),
        sequencer::TokenOffer::Foreign
    );
    assert_eq!(
        sequencer.offer_end(attempt(0), 2),
        sequencer::EndOffer::Foreign
    );
}

#[test]
fn a_token_that_differs_from_the_delivered_one_closes_its_attempt() {
    let mut sequencer = sequencer::TokenSequencer::new(vec!["a".to_owned()]);
    sequencer.open(attempt(0));
    assert_eq!(
        sequencer.offer(attempt(0), 0, "x"),
        sequencer::TokenOffer::Mismatch
    );
    assert_eq!(
        sequencer.offer(attempt(0), 1, "b"),
        sequencer::TokenOffer::Foreign
    );
}

#[test]
fn a_token_after_a_gap_is_rejected_and_the_stream_can_be_reattached() {
    let mut sequencer = sequencer::TokenSequencer::new(vec!["a".to_owned()]);
    sequencer.open(attempt(0));
    assert_eq!(
        sequencer.offer(attempt(0), 2, "c"),
        sequencer::TokenOffer::Gap
    );
    assert_eq!(
        sequencer.offer(attempt(0), 1, "b"),
        sequencer::TokenOffer::Accepted(2)
    );
    assert_eq!(
        sequencer.offer_end(attempt(0), 3),
        sequencer::EndOffer::CountMismatch
    );
    assert_eq!(
        sequencer.offer_end(attempt(0), 2),
        sequencer::EndOffer::Whole
    );
}
