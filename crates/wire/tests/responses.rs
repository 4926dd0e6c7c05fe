//! Parsing and encoding of responses.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use wire::{BodyCoding, ConnectionEnd, Limits, Response, ResponseReader, WireError};

fn reader(bytes: &[u8]) -> ResponseReader {
    let mut reader = ResponseReader::new(Limits {
        body_bytes: 64,
        head_bytes: 512,
    });
    reader.push(bytes);
    reader
}

#[test]
fn reads_responses_one_after_another() {
    let mut reader =
        reader(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 204 No Content\r\n\r\n");
    let first = reader
        .next_response(false)
        .expect("readable")
        .expect("complete");
    assert_eq!((first.status, &first.body[..]), (200, &b"ab"[..]));
    let second = reader
        .next_response(false)
        .expect("readable")
        .expect("complete");
    assert_eq!(second.status, 204);
    assert!(!reader.has_pending());
}

#[test]
fn skips_interim_responses() {
    let mut reader =
        reader(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let response = reader
        .next_response(false)
        .expect("readable")
        .expect("complete");
    assert_eq!(response.status, 200);
}

/// Guards against interim responses without end, which are no response.
#[test]
fn a_response_after_more_interim_ones_than_any_worker_sends_is_an_error() {
    let interim = b"HTTP/1.1 102 Processing\r\n\r\n";
    let end = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let few = [&interim.repeat(32)[..], end].concat();
    // The count begins anew after each response.
    let mut twice = reader(&few.repeat(2));
    for _ in 0..2 {
        assert!(matches!(twice.next_response(false), Ok(Some(_))));
    }
    let many = [&interim.repeat(33)[..], end].concat();
    assert_eq!(
        reader(&many).next_response(false),
        Err(WireError::HeadLimit)
    );
}

#[test]
fn a_response_without_a_length_is_complete_only_after_an_orderly_close() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nabc";
    let mut closed = reader(bytes);
    assert_eq!(closed.next_response(false), Ok(None));
    let response = closed
        .finish(ConnectionEnd::Closed)
        .expect("complete")
        .expect("a response");
    assert_eq!(response.body, b"abc");
    let mut reset = reader(bytes);
    assert_eq!(reset.next_response(false), Ok(None));
    assert_eq!(
        reset.finish(ConnectionEnd::Reset),
        Err(WireError::Truncated)
    );
}

#[test]
fn a_truncated_response_is_never_complete() {
    for bytes in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"[..],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 O",
    ] {
        let mut reader = reader(bytes);
        assert_eq!(reader.next_response(false), Ok(None));
        assert_eq!(
            reader.finish(ConnectionEnd::Closed),
            Err(WireError::Truncated)
        );
    }
}

/// Guards against a connection that ends within a response's head: what has arrived of it must not
/// become a response with an empty body.
#[test]
fn a_response_that_ends_within_its_head_is_never_complete() {
    for head in [
        &b"HTTP/1.1 200 OK\r\nSignature: a\r\nContent-Length: 12\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\nId: a\n\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
    ] {
        for size in 1..head.len() {
            for end in [ConnectionEnd::Closed, ConnectionEnd::Reset] {
                let mut reader = reader(&head[..size]);
                assert_eq!(reader.next_response(false), Ok(None), "{size}");
                let between = head[..size] == *b"HTTP/1.1 100 Continue\r\n\r\n";
                let expected = if between {
                    Ok(None)
                } else {
                    Err(WireError::Truncated)
                };
                assert_eq!(reader.finish(end), expected, "{size}");
            }
        }
    }
}

#[test]
fn a_close_between_responses_is_no_error() {
    assert_eq!(reader(b"").finish(ConnectionEnd::Closed), Ok(None));
}

#[test]
fn reports_bytes_after_a_response() {
    let mut reader = reader(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nrest");
    assert!(reader.next_response(false).expect("readable").is_some());
    assert!(reader.has_pending());
    assert_eq!(reader.next_response(false), Err(WireError::Malformed));
}

#[test]
fn a_response_to_head_has_no_body() {
    let mut reader = reader(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    let response = reader
        .next_response(true)
        .expect("readable")
        .expect("complete");
    assert!(response.body.is_empty());
}

#[test]
fn rejects_malformed_and_oversized_responses() {
    assert_eq!(
        reader(b"garbage\r\n\r\n").next_response(false),
        Err(WireError::Malformed)
    );
    let mut long = reader(b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n");
    assert_eq!(long.next_response(false), Err(WireError::BodyLimit));
    // A head that arrives whole must not be longer than one that arrives in parts.
    let head = format!("HTTP/1.1 200 OK\r\nA: {}\r\n\r\n", "x".repeat(512));
    assert_eq!(
        reader(head.as_bytes()).next_response(false),
        Err(WireError::HeadLimit)
    );
}

#[test]
fn encodes_content_length_and_connection_close() {
    let mut response = Response::new(503);
    response.headers.add("Connection", "keep-alive");
    response.headers.add("X", 1);
    response.body = b"no".to_vec();
    response.closes_connection = true;
    let mut out = Vec::new();
    response.encode(&mut out, false);
    let text = String::from_utf8(out).expect("text");
    assert_eq!(
        text,
        "HTTP/1.1 503 Service Unavailable\r\nX: 1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno"
    );
}

#[test]
fn a_body_can_be_taken_in_parts() {
    for head in ["Content-Length: 6", "Transfer-Encoding: chunked"] {
        let chunked = head.ends_with("chunked");
        let mut reader = reader(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes());
        let mut body = Vec::new();
        for part in [&b"ab"[..], b"cd"] {
            let chunk = [b"2\r\n", part, b"\r\n"].concat();
            reader.push(if chunked { &chunk } else { part });
            assert_eq!(reader.next_response(false), Ok(None));
            let partial = reader.partial().expect("a head");
            assert_eq!((partial.head.status, partial.buffered), (200, 2));
            assert_eq!(partial.length, (!chunked).then_some(6));
            body.extend(reader.take_body());
        }
        reader.push(if chunked {
            b"2\r\nef\r\n0\r\n\r\n"
        } else {
            b"ef"
        });
        let response = reader.next_response(false).expect("readable");
        body.extend(response.expect("complete").body);
        assert_eq!(body, b"abcdef");
        assert!(reader.partial().is_none() && !reader.has_pending());
    }
}

#[test]
fn the_limit_on_bodies_holds_for_what_is_not_taken() {
    let mut reader = reader(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let chunk = [&b"3c\r\n"[..], &[b'x'; 60], b"\r\n"].concat();
    for _ in 0..10 {
        reader.push(&chunk);
        assert_eq!(reader.next_response(false), Ok(None));
        assert_eq!(reader.take_body().len(), 60);
    }
    reader.push(&chunk);
    assert_eq!(reader.next_response(false), Ok(None));
    reader.push(&chunk);
    assert_eq!(reader.next_response(false), Err(WireError::BodyLimit));
}

#[test]
fn encodes_a_body_in_parts() {
    let encode = |coding: BodyCoding| {
        let mut out = Vec::new();
        Response::new(200).encode_head(&mut out, coding);
        for part in [&b"abc"[..], b"", b"de"] {
            coding.encode_part(&mut out, part);
        }
        coding.encode_end(&mut out);
        String::from_utf8(out).expect("text")
    };
    assert_eq!(
        encode(BodyCoding::Sized(5)),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde"
    );
    assert_eq!(
        encode(BodyCoding::Chunked),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    );
}
