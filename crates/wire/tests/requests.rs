//! Parsing and encoding of requests.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use wire::{Limits, Request, RequestReader, WireError};

fn reader() -> RequestReader {
    RequestReader::new(Limits {
        body_bytes: 64,
        head_bytes: 512,
    })
}

fn read(bytes: &[u8]) -> Result<Option<Request>, WireError> {
    let mut reader = reader();
    reader.push(bytes);
    reader.next_request()
}

fn complete(bytes: &[u8]) -> Request {
    read(bytes).expect("readable").expect("complete")
}

#[test]
fn reads_a_request_byte_by_byte() {
    let bytes = b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    let mut reader = reader();
    for byte in &bytes[..bytes.len() - 1] {
        reader.push(&[*byte]);
        assert_eq!(reader.next_request(), Ok(None));
        assert!(reader.has_pending());
    }
    reader.push(&bytes[bytes.len() - 1..]);
    let request = reader.next_request().expect("readable").expect("complete");
    assert_eq!(request.body, b"abc");
    assert_eq!(request.path(), "/a/b");
    assert_eq!(request.query("c").as_deref(), Some("d"));
    assert!(!reader.has_pending());
}

#[test]
fn reads_pipelined_requests_in_order() {
    let mut reader = reader();
    reader.push(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    let targets: Vec<String> = std::iter::from_fn(|| reader.next_request().expect("readable"))
        .map(|request| request.target)
        .collect();
    assert_eq!(targets, ["/1", "/2"]);
}

#[test]
fn joins_chunks_and_skips_trailers() {
    let request = complete(
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n\
          3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
    );
    assert_eq!(request.body, b"abcde");
}

/// Guards against request smuggling: a message whose end two parsers could place differently.
#[test]
fn rejects_ambiguous_framing() {
    let cases: [&[u8]; 7] = [
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
        b"POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    for case in cases {
        let text = String::from_utf8_lossy(case);
        assert_eq!(read(case), Err(WireError::Framing), "{text}");
    }
}

#[test]
fn rejects_chunk_data_longer_than_its_size() {
    let bytes = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n";
    assert_eq!(read(bytes), Err(WireError::Framing));
}

#[test]
fn rejects_heads_and_bodies_beyond_the_limits() {
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(600));
    assert_eq!(read(long.as_bytes()), Err(WireError::HeadLimit));
    let incomplete = format!("GET /{}", "x".repeat(600));
    assert_eq!(read(incomplete.as_bytes()), Err(WireError::HeadLimit));
    let content_length = b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n";
    assert_eq!(read(content_length), Err(WireError::BodyLimit));
    let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n";
    assert_eq!(read(chunked), Err(WireError::BodyLimit));
    let out_of_range = b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n";
    assert_eq!(read(out_of_range), Err(WireError::BodyLimit));
}

/// Limits hold for requests that begin after they are set, not for one that has begun.
#[test]
fn new_limits_hold_for_the_next_request() {
    let small = Limits {
        body_bytes: 2,
        head_bytes: 512,
    };
    let head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n";
    let mut reader = reader();
    reader.push(&head[..20]);
    assert_eq!(reader.next_request(), Ok(None));
    reader.set_limits(small);
    reader.push(&head[20..]);
    assert_eq!(reader.next_request(), Ok(None));
    // The next request begins to arrive together with the end of this one.
    reader.push(b"abcdPOST");
    assert!(reader.next_request().expect("readable").is_some());
    reader.push(&head[4..]);
    assert_eq!(reader.next_request(), Err(WireError::BodyLimit));
}

#[test]
fn reports_once_that_100_continue_is_due() {
    let mut reader = reader();
    reader.push(b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assert_eq!(reader.next_request(), Ok(None));
    assert!(reader.take_continue_due());
    assert!(!reader.take_continue_due());
    reader.push(b"ab");
    assert_eq!(
        reader
            .next_request()
            .expect("readable")
            .expect("complete")
            .body,
        b"ab"
    );
}

#[test]
fn decides_whether_to_close_the_connection() {
    assert!(complete(b"GET / HTTP/1.1\r\nConnection: foo, Close\r\n\r\n").closes_connection());
    assert!(!complete(b"GET / HTTP/1.1\r\n\r\n").closes_connection());
    assert!(complete(b"GET / HTTP/1.0\r\n\r\n").closes_connection());
    assert!(!complete(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n").closes_connection());
}

#[test]
fn does_not_forward_hop_by_hop_headers_or_those_that_connection_names() {
    let request = complete(
        b"GET / HTTP/1.1\r\nConnection: close, x-own\r\nX-Own: 1\r\nTE: trailers\r\nKeep-Alive: 3\r\n\
          X-Kept: \xff\r\n\r\n",
    );
    let forwarded: Vec<&str> = request.headers.end_to_end().map(|(name, _)| name).collect();
    assert_eq!(forwarded, ["X-Kept"]);
    let mut out = Vec::new();
    request.encode(&mut out);
    assert_eq!(out, b"GET / HTTP/1.1\r\nX-Kept: \xff\r\n\r\n");
}

#[test]
fn encodes_content_length_for_bodies_and_for_methods_with_a_body() {
    let mut request = Request::new("POST", "/");
    let mut out = Vec::new();
    request.encode(&mut out);
    assert_eq!(out, b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    request.body = b"ab".to_vec();
    out.clear();
    request.encode(&mut out);
    assert_eq!(out, b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
}
