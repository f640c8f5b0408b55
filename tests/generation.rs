//! Readers deliver the complete answer to their own request and never mix two generations.

mod common;

use std::sync;
use std::time;

use async_std::future;
use async_std::task;
use kumquatpulley::request::cursor;
use kumquatpulley::request::generation;
use kumquatpulley::request::reader;
use kumquatpulley::request::sequencer;
use kumquatpulley::request::verdict;
use kumquatpulley::version::declaration;

const WAIT_LIMIT: time::Duration = time::Duration::from_secs(2);

fn spec(workspace: &str, prompt: &str) -> generation::GenerationSpec {
    generation::GenerationSpec {
        key: "key-1".to_owned(),
        workspace: workspace.to_owned(),
        service: "quotes".to_owned(),
        model: "quote".to_owned(),
        adapter: None,
        prompt: prompt.into(),
        max_tokens: 16,
        recovery: declaration::RecoveryKind::Fast,
    }
}

fn record(
    spec: generation::GenerationSpec,
    tokens: &[&str],
) -> sync::Arc<generation::GenerationRecord> {
    let tokens = tokens.iter().map(|token| (*token).to_owned()).collect();
    let id = cursor::GenerationId(7);
    let (record, _receiver) = generation::GenerationRecord::new(spec, id, "v1".to_owned(), tokens);
    record
}

fn attempt(number: u128) -> cursor::AttemptId {
    cursor::AttemptId(number)
}

fn offer(record: &generation::GenerationRecord, number: u128, index: u32, text: &str) {
    record.open(attempt(number));
    let offer = record.offer(attempt(number), "e1", index, text);
    assert!(
        matches!(offer, sequencer::TokenOffer::Accepted(_)),
        "{offer:?}"
    );
}

fn next(reader: &mut reader::GenerationReader) -> reader::ReaderItem {
    let item = future::timeout(WAIT_LIMIT, reader.next());
    task::block_on(item).expect("the reader timed out")
}

/// Reads `count` tokens and returns their texts and the last cursor.
fn read(
    reader: &mut reader::GenerationReader,
    count: usize,
) -> (Vec<String>, cursor::StreamCursor) {
    let mut texts = Vec::new();
    let mut last = None;
    for _token in 0..count {
        match next(reader) {
            reader::ReaderItem::Token { text, cursor } => {
                texts.push(text);
                last = Some(cursor);
            }
            other => panic!("expected a token, got {other:?}"),
        }
    }
    (texts, last.expect("at least one token is read"))
}

fn is_restart(item: &reader::ReaderItem) -> bool {
    matches!(item, reader::ReaderItem::Restart { .. })
}

/// Returns the cursor after two tokens of `record`.
fn cursor_after_two(record: &sync::Arc<generation::GenerationRecord>) -> cursor::StreamCursor {
    let mut reader = reader::GenerationReader::new(record, None);
    read(&mut reader, 2).1
}

fn a_resuming_caller_gets_exactly_the_remaining_tokens() {
    let first = record(spec("hoesveld", "bows"), &["a", "b", "c"]);
    let cursor = cursor_after_two(&first);
    let elsewhere = record(spec("hoesveld", "bows"), &["a", "b", "c", "d"]);
    let mut reader = reader::GenerationReader::new(&elsewhere, Some(&cursor));
    assert_eq!(read(&mut reader, 2).0, ["c", "d"]);
}

fn a_prefix_that_arrives_late_is_skipped_up_to_the_cursor() {
    let first = record(spec("hoesveld", "bows"), &["a", "b", "c"]);
    let cursor = cursor_after_two(&first);
    let elsewhere = record(spec("hoesveld", "bows"), &[]);
    let mut reader = reader::GenerationReader::new(&elsewhere, Some(&cursor));
    for (index, text) in ["a", "b", "c"].into_iter().enumerate() {
        offer(
            &elsewhere,
            1,
            u32::try_from(index).expect("few tokens"),
            text,
        );
    }
    assert_eq!(read(&mut reader, 1).0, ["c"]);
}

fn another_generation_is_not_spliced_to_the_delivered_tokens() {
    let first = record(spec("hoesveld", "bows"), &["a", "b"]);
    let cursor = cursor_after_two(&first);
    let other = record(spec("hoesveld", "bows"), &["a", "x", "y"]);
    let mut reader = reader::GenerationReader::new(&other, Some(&cursor));
    assert!(is_restart(&next(&mut reader)));
    assert_eq!(read(&mut reader, 3).0, ["a", "x", "y"]);
}

fn a_cursor_of_another_workspace_grants_nothing() {
    let first = record(spec("hoesveld", "bows"), &["a", "b"]);
    let cursor = cursor_after_two(&first);
    let other = record(spec("inanga", "bows"), &["a", "b", "c"]);
    let mut reader = reader::GenerationReader::new(&other, Some(&cursor));
    assert!(is_restart(&next(&mut reader)));
}

fn a_cursor_of_another_prompt_grants_nothing() {
    let first = record(spec("hoesveld", "bows"), &["a", "b"]);
    let cursor = cursor_after_two(&first);
    let other = record(spec("hoesveld", "ribbons"), &["a", "b", "c"]);
    let mut reader = reader::GenerationReader::new(&other, Some(&cursor));
    assert!(is_restart(&next(&mut reader)));
}

fn a_cursor_past_the_end_restarts_the_answer() {
    let longer = record(spec("hoesveld", "bows"), &["a", "b", "c"]);
    let mut reader = reader::GenerationReader::new(&longer, None);
    let cursor = read(&mut reader, 3).1;
    let shorter = record(spec("hoesveld", "bows"), &["a", "b"]);
    shorter.end(generation::GenerationPhase::Finished {
        reason: "stop".to_owned(),
    });
    let mut reader = reader::GenerationReader::new(&shorter, Some(&cursor));
    assert!(is_restart(&next(&mut reader)));
    assert_eq!(read(&mut reader, 2).0, ["a", "b"]);
}

fn a_restart_is_reported_before_its_first_token() {
    let record = record(spec("hoesveld", "bows"), &["a", "b"]);
    let mut reader = reader::GenerationReader::new(&record, None);
    read(&mut reader, 2);
    record.restart("v2", "the model version is gone");
    offer(&record, 2, 0, "x");
    assert!(is_restart(&next(&mut reader)));
    let (texts, cursor) = read(&mut reader, 1);
    assert_eq!(texts, ["x"]);
    assert_eq!(cursor.model_version, "v2");
}

fn an_answer_with_missing_tokens_is_never_finished() {
    let record = record(spec("hoesveld", "bows"), &[]);
    offer(&record, 1, 0, "a");
    offer(&record, 1, 1, "b");
    let end = record.offer_end(attempt(1), 3, "length");
    assert_eq!(end, sequencer::EndOffer::CountMismatch);
    assert_eq!(record.phase(), generation::GenerationPhase::Running);
}

fn an_answer_that_ended_stays_ended() {
    let record = record(spec("hoesveld", "bows"), &[]);
    offer(&record, 1, 0, "a");
    assert_eq!(
        record.offer_end(attempt(1), 1, "stop"),
        sequencer::EndOffer::Whole
    );
    record.end(generation::GenerationPhase::Cancelled);
    let whole = generation::GenerationPhase::Finished {
        reason: "stop".to_owned(),
    };
    assert_eq!(record.phase(), whole);
}

fn a_cursor_round_trips_through_its_text_form() {
    let record = record(spec("hoesveld", "bows"), &["a", "b"]);
    let cursor = cursor_after_two(&record);
    assert_eq!(cursor.to_string().parse(), Ok(cursor));
}

fn a_retry_delay_is_rounded_up_to_whole_seconds() {
    let refusal = verdict::RequestRefusal::not_run(503, verdict::RefusalCode::Overloaded, "full");
    assert_eq!(refusal.retry_after_seconds(), None);
    let refusal = refusal.retry_after(time::Duration::from_millis(1_200));
    assert_eq!(refusal.retry_after_seconds(), Some(2));
}

common::cases! {
    resuming_caller: a_resuming_caller_gets_exactly_the_remaining_tokens();
    late_prefix: a_prefix_that_arrives_late_is_skipped_up_to_the_cursor();
    other_generation: another_generation_is_not_spliced_to_the_delivered_tokens();
    other_workspace: a_cursor_of_another_workspace_grants_nothing();
    other_prompt: a_cursor_of_another_prompt_grants_nothing();
    cursor_past_the_end: a_cursor_past_the_end_restarts_the_answer();
    restart_first: a_restart_is_reported_before_its_first_token();
    short_answer: an_answer_with_missing_tokens_is_never_finished();
    ended_answer: an_answer_that_ended_stays_ended();
    cursor_text: a_cursor_round_trips_through_its_text_form();
    retry_delay: a_retry_delay_is_rounded_up_to_whole_seconds();
}
