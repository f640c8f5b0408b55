//! HTTP/1.1 heads and bodies are parsed strictly, however the bytes are split across reads.

use kumquatpulley::connection::h1::{body, head, segments};
use proptest::prelude::*;

use crate::common;

fn request_framing(text: &str) -> head::Result<head::BodyFraming> {
    let (head, length) = head::parse_request(text.as_bytes())?.expect("a complete head");
    assert_eq!(length, text.len());
    head.framing()
}

fn is_refused(text: &str) {
    assert!(request_framing(text).is_err(), "{text:?} is accepted");
}

fn has_framing(text: &str, framing: head::BodyFraming) {
    assert_eq!(request_framing(text), Ok(framing));
}

fn decode(framing: head::BodyFraming, parts: &[&[u8]]) -> body::Result<(Vec<u8>, bool, usize)> {
    let mut decoder = body::BodyDecoder::new(framing);
    let mut output = Vec::new();
    let mut pending = Vec::new();
    for part in parts {
        pending.extend_from_slice(part);
        let used = decoder.decode(&pending, &mut output)?;
        pending.drain(..used);
    }
    Ok((output, decoder.is_complete(), pending.len()))
}

fn bytes_after_a_body_remain() {
    let decoded = decode(head::BodyFraming::Length(3), &[b"ab", b"cGET /"]);
    assert_eq!(decoded, Ok((b"abc".to_vec(), true, 5)));
    let decoded = decode(head::BodyFraming::Chunked, &[b"3\r\nabc\r\n0\r\n\r\nX"]);
    assert_eq!(decoded, Ok((b"abc".to_vec(), true, 1)));
}

fn malformed_chunks_are_refused(text: &[u8]) {
    let decoded = decode(head::BodyFraming::Chunked, &[text]);
    assert_eq!(decoded, Err(body::BodyError));
}

fn truncated_body_is_not_complete(framing: head::BodyFraming, text: &[u8]) {
    let mut decoder = body::BodyDecoder::new(framing);
    decoder.decode(text, &mut Vec::new()).expect("valid so far");
    assert!(!decoder.ends_with_connection());
}

fn hop_by_hop_fields_are_removed() {
    let text = "GET / HTTP/1.1\r\nHost: a\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\nTE: trailers\r\n\
                X-Kept: 2\r\n\r\n";
    let parsed = head::parse_request(text.as_bytes()).expect("a valid head");
    let (mut head, _length) = parsed.expect("a complete head");
    head.headers.remove_hop_fields();
    let names: Vec<&str> = head
        .headers
        .0
        .iter()
        .map(|field| field.name.as_str())
        .collect();
    assert_eq!(names, ["Host", "X-Kept"]);
}

common::cases! {
    no_body: has_framing("GET / HTTP/1.1\r\nHost: a\r\n\r\n", head::BodyFraming::Length(0));
    length:
        has_framing("POST / HTTP/1.1\r\nContent-Length: 7\r\n\r\n", head::BodyFraming::Length(7));
    chunks:
        has_framing("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", head::BodyFraming::Chunked);
    two_lengths: is_refused("POST / HTTP/1.1\r\nContent-Length: 7\r\nContent-Length: 7\r\n\r\n");
    length_list: is_refused("POST / HTTP/1.1\r\nContent-Length: 7, 7\r\n\r\n");
    signed_length: is_refused("POST / HTTP/1.1\r\nContent-Length: +7\r\n\r\n");
    huge_length: is_refused("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n");
    length_and_chunks:
        is_refused("POST / HTTP/1.1\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n");
    unknown_coding: is_refused("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
    chunked_twice: is_refused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n");
    absolute_target: is_refused("GET http://a/ HTTP/1.1\r\n\r\n");
    folded_field: is_refused("GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n");
    space_before_colon: is_refused("GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\n");
    bytes_of_next_message: bytes_after_a_body_remain();
    chunk_without_size: malformed_chunks_are_refused(b"\r\nabc");
    chunk_with_sign: malformed_chunks_are_refused(b"-1\r\n");
    chunk_with_prefix: malformed_chunks_are_refused(b"0x3\r\nabc\r\n");
    chunk_too_long: malformed_chunks_are_refused(b"3\r\nabcd\r\n");
    chunk_line_feed_only: malformed_chunks_are_refused(b"3\nabc");
    truncated_length: truncated_body_is_not_complete(head::BodyFraming::Length(3), b"ab");
    truncated_chunks: truncated_body_is_not_complete(head::BodyFraming::Chunked, b"3\r\nabc\r\n");
    hop_by_hop_fields: hop_by_hop_fields_are_removed();
}

proptest! {
    /// Guards against bytes that are lost or swapped at the border of two segments, and against memory
    /// that the budget was not asked for.
    #[test]
    fn segments_keep_all_bytes(
        reads in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..9_000), 0..40),
    ) {
        let mut body = segments::SegmentedBody::default();
        let mut capacity = 0;
        for read in &reads {
            let missing = body.missing_capacity(read.len());
            if missing > 0 {
                capacity += missing;
                body.add_segment(missing);
            }
            let appended = body.append(|output| -> body::Result<()> {
                output.extend_from_slice(read);
                Ok(())
            });
            prop_assert_eq!(appended, Ok(()));
        }
        let whole = reads.concat();
        prop_assert_eq!(body.parts().concat(), whole.clone());
        prop_assert_eq!((body.len(), body.is_empty()), (whole.len(), whole.is_empty()));
        prop_assert!(capacity >= whole.len());
        // A read that does not fit leaves less than its size unused in each segment, and the last
        // segment is at most as large as the body before it.
        prop_assert!(capacity <= 2 * whole.len() + 9_000);
    }

    #[test]
    fn chunked_body_decodes_the_same_however_it_is_split(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..8),
        part_length in 1_usize..9,
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            head::write_chunk(&mut wire, chunk);
        }
        wire.extend_from_slice(head::LAST_CHUNK);
        let parts: Vec<&[u8]> = wire.chunks(part_length).collect();
        let decoded = decode(head::BodyFraming::Chunked, &parts);
        prop_assert_eq!(decoded, Ok((chunks.concat(), true, 0)));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let request = head::parse_request(&bytes);
        let response = head::parse_response(&bytes);
        let chunked = decode(head::BodyFraming::Chunked, &[&bytes]);
        // Any result is fine as long as it does not cover more bytes than the input has.
        if let Ok(Some((_head, length))) = request {
            prop_assert!(length <= bytes.len());
        }
        if let Ok(Some((_head, length))) = response {
            prop_assert!(length <= bytes.len());
        }
        if let Ok((output, _is_complete, _left)) = chunked {
            prop_assert!(output.len() <= bytes.len());
        }
    }
}
