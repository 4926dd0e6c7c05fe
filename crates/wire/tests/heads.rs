//! What is no sound message: heads, chunks and trailers that the protocol doesn't allow.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use wire::{ConnectionEnd, Limits, RequestReader, Response, ResponseReader, WireError};

/// Lines that are no header line.
const ODD_LINES: [&[u8]; 19] = [
    b"X A: 1",
    b"X\tA: 1",
    b"XA : 1",
    b"XA\t: 1",
    b" XA: 1",
    b"\tXA: 1",
    b"X\0A: 1",
    b"X\x01A: 1",
    b"X\x7fA: 1",
    b"X\x1bA: 1",
    b"X\xc3\xa4: 1",
    b"X(A): 1",
    b": 1",
    b"XA",
    b"XA: \0",
    b"XA: a\x01b",
    b"XA: a\x7fb",
    b"XA: a\rb",
    b"XA: a\r\n b",
];

/// The first response on a connection that sends these bytes and then closes.
fn read_response(bytes: &[u8]) -> Result<Option<Response>, WireError> {
    let mut reader = ResponseReader::new(Limits::default());
    reader.push(bytes);
    match reader.next_response(false)? {
        Some(response) => Ok(Some(response)),
        None => reader.finish(ConnectionEnd::Closed),
    }
}

fn is_response(bytes: &[u8]) -> bool {
    matches!(read_response(bytes), Ok(Some(_)))
}

fn is_request(bytes: &[u8]) -> bool {
    let mut reader = RequestReader::new(Limits::default());
    reader.push(bytes);
    matches!(reader.next_request(), Ok(Some(_)))
}

fn text(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// Guards against a damaged status line that reaches a caller as an answer.
#[test]
fn a_status_line_has_a_version_and_a_status_of_three_digits_from_200_to_599() {
    let with_line = |line: &str| format!("{line}\r\nContent-Length: 0\r\n\r\n").into_bytes();
    for status in ["200", "299", "404", "503", "599"] {
        assert!(is_response(&with_line(&format!("HTTP/1.1 {status} OK"))));
        assert!(is_response(&with_line(&format!("HTTP/1.1 {status} "))));
    }
    let statuses = [
        "000", "001", "099", "0200", "600", "700", "999", "20", "2", "2000", "+200", "-200", "20 ",
        "2o0", "0x1", "", "\u{0}00",
    ];
    for status in statuses {
        let bytes = with_line(&format!("HTTP/1.1 {status} OK"));
        assert!(!is_response(&bytes), "{}", text(&bytes));
    }
    let lines = [
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        " HTTP/1.1 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/11 200 OK",
        "HTTP/1.1 200\u{0}OK",
        "HTTP/1.1 200 O\u{0}K",
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 200 O\rK",
        "http/1.1 200 OK",
        "HTXP/1.1 200 OK",
        "ICY 200 OK",
        "\r\n\r\nHTTP/1.1 200 OK",
        "\nHTTP/1.1 200 OK",
    ];
    for line in lines {
        let bytes = with_line(line);
        assert!(!is_response(&bytes), "{}", text(&bytes));
    }
}

/// Guards against a damaged interim response that is skipped, or that changes the protocol.
#[test]
fn only_interim_responses_of_this_protocol_are_skipped() {
    let end = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let after = |interim: &[u8]| [interim, end].concat();
    assert!(is_response(&after(
        b"HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n"
    )));
    for interim in [
        &b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"[..],
        b"HTTP/1.1 010 Continue\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.0 100 Continue\r\n\r\n",
    ] {
        assert!(!is_response(&after(interim)), "{}", text(interim));
    }
}

/// Guards against a damaged header line that is passed on, or that is skipped together with what it
/// says of the body.
#[test]
fn a_head_with_an_odd_line_is_no_head() {
    for line in ODD_LINES {
        for place in 0..3 {
            let mut lines = vec![&b"A: 1"[..], b"Content-Length: 3"];
            lines.insert(place, line);
            let lines = lines.join(&b"\r\n"[..]);
            let response = [b"HTTP/1.1 200 OK\r\n", &lines[..], b"\r\n\r\nabc"].concat();
            assert!(!is_response(&response), "{}", text(&response));
            let request = [b"POST / HTTP/1.1\r\n", &lines[..], b"\r\n\r\nabc"].concat();
            assert!(!is_request(&request), "{}", text(&request));
        }
    }
}

/// Guards against trailers that no longer show where a message ends.
#[test]
fn a_trailer_section_holds_header_lines_only() {
    let lines = ODD_LINES.iter().filter(|line| !line.starts_with(b" "));
    for line in lines {
        let body = [b"3\r\nabc\r\n0\r\n", *line, b"\r\n\r\n"].concat();
        let response = [
            &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
            &body,
        ]
        .concat();
        assert!(!is_response(&response), "{}", text(&response));
        let request = [
            &b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
            &body,
        ]
        .concat();
        assert!(!is_request(&request), "{}", text(&request));
    }
}

/// Guards against chunk sizes that two parsers could read differently.
#[test]
fn a_chunk_size_is_a_hexadecimal_number() {
    let with_size = |size: &[u8]| {
        [
            &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
            size,
            b"\r\nabc\r\n0\r\n\r\n",
        ]
        .concat()
    };
    assert!(is_response(&with_size(b"3")));
    assert!(is_response(&with_size(b"0003;a=b")));
    for size in [
        &b""[..],
        b" 3",
        b"3 ",
        b"3\t",
        b"+3",
        b"-3",
        b"0x3",
        b"3g",
        b"3\0",
        b"3;a\0",
        b"3;a\x01=b",
        b"10000000000000003",
        b"fffffffffffffffff3",
    ] {
        let bytes = with_size(size);
        assert!(!is_response(&bytes), "{}", text(&bytes));
    }
}

/// Guards against a body that ends elsewhere than its sender means.
#[test]
fn a_response_whose_length_is_told_twice_or_oddly_is_no_response() {
    for lines in [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3, 3",
        "Content-Length: 3 3",
        "Content-Length: +3",
        "Content-Length: 0x3",
        "Content-Length: ",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: ",
    ] {
        let bytes = format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\nabc");
        assert!(!is_response(bytes.as_bytes()), "{lines}");
    }
    let old = b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    assert!(!is_response(old));
}
