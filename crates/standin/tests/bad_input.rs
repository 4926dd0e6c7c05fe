//! Bad input at every address of a daemon: a clear answer or a closed connection, no panic, and
//! other callers are served as before.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

use {
    standin::{
        caller::{Caller, Ended, Order},
        demo,
        fleet::{Fleet, Plan},
    },
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        time::Duration,
    },
};

const WAIT: Duration = Duration::from_secs(20);

fn fleet() -> Fleet {
    let plan = Plan {
        daemons: 1,
        limits: "head_ms = 700\nbody_kb = 64\nidle_ms = 1500\nconns = 64".to_owned(),
        ..demo::plan()
    };
    Fleet::start(plan).expect("starts")
}

fn operators(fleet: &Fleet) -> SocketAddr {
    let process = fleet.daemons[0].process.as_ref().expect("runs");
    process.address("operators").expect("has one")
}

fn peers(fleet: &Fleet) -> SocketAddr {
    let process = fleet.daemons[0].process.as_ref().expect("runs");
    process.address("peers").expect("has one")
}

/// Sends bytes and gives the status of the first answer; 0 where the connection closes instead.
fn send(address: SocketAddr, bytes: &[u8]) -> u16 {
    let mut sock = TcpStream::connect(address).expect("connects");
    sock.set_read_timeout(Some(WAIT)).expect("is set");
    // A daemon that has answered early may have closed already.
    drop(sock.write_all(bytes));
    let mut answer = Vec::new();
    let mut chunk = [0; 1024];
    while !answer.windows(4).any(|part| part == b"\r\n\r\n") {
        match sock.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(size) => answer.extend_from_slice(&chunk[..size]),
        }
    }
    let text = String::from_utf8_lossy(&answer);
    text.split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or_default()
}

#[track_caller]
fn still_serves(fleet: &Fleet) {
    let order = Order {
        deadline: Duration::from_secs(2),
        id: format!("ok-{}", fastrand::u64(..)),
        once: true,
        path: "/payouts".to_owned(),
        service: "submissions".to_owned(),
        work: Duration::from_millis(1),
    };
    let reply = Caller::new(fleet.callers(), 1).insist(&order, WAIT);
    assert_eq!(reply.ended, Ended::Ran);
}

fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n").into_bytes()
}

fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n{body}").into_bytes()
}

#[test]
fn callers() {
    let fleet = fleet();
    let address = fleet.callers()[0];
    let pay = "/s/submissions/payouts";
    let read = "/s/submissions/gallery";
    let many = "X-A: 1\r\n".repeat(100_000);
    let long = format!("X-A: {}\r\n", "a".repeat(40_000));
    let key = |key: &str| {
        format!("Idempotency-Key: {key}\r\nAnvilferry-Ticket: a.1.2\r\nContent-Length: 0\r\n")
    };
    let cases: Vec<(&str, Vec<u8>, u16)> = vec![
        (
            "junk",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(),
            400,
        ),
        ("an older version", b"GET / HTTP/1.0\r\n\r\n".to_vec(), 400),
        ("no version", b"GET /\r\n\r\n".to_vec(), 400),
        ("a bad header name", get(read, "Bad Name: 1\r\n"), 400),
        ("100,000 headers", get(read, &many), 431),
        ("a long header", get(read, &long), 431),
        (
            "a long target",
            get(&format!("/{}", "a".repeat(70_000)), ""),
            431,
        ),
        (
            "two lengths",
            post(pay, "Content-Length: 1\r\nContent-Length: 2\r\n", "ab"),
            400,
        ),
        (
            "length and coding",
            post(
                pay,
                "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
                "a",
            ),
            400,
        ),
        (
            "a negative length",
            post(pay, "Content-Length: -1\r\n", ""),
            400,
        ),
        (
            "a signed length",
            post(pay, "Content-Length: +1\r\n", "a"),
            400,
        ),
        (
            "a huge length",
            post(pay, "Content-Length: 99999999999999999999\r\n", ""),
            400,
        ),
        (
            "an unknown coding",
            post(pay, "Transfer-Encoding: gzip\r\n", ""),
            400,
        ),
        (
            "an oversized body",
            post(pay, "Content-Length: 70000\r\n", ""),
            413,
        ),
        (
            "a bad chunk size",
            post(pay, "Transfer-Encoding: chunked\r\n", "zz\r\n"),
            400,
        ),
        (
            "a huge chunk",
            post(pay, "Transfer-Encoding: chunked\r\n", "ffffffff\r\n"),
            413,
        ),
        (
            "a chunk without end",
            post(pay, "Transfer-Encoding: chunked\r\n", "1\r\nabc"),
            400,
        ),
        ("an unknown path", get("/nowhere", ""), 404),
        ("no service in the path", get("/s/", ""), 404),
        ("an unknown service", get("/s/nobody/x", ""), 404),
        ("no service in the query", get("/v1/entries", ""), 400),
        (
            "an unknown service in the query",
            get("/v1/entries?service=nobody", ""),
            404,
        ),
        (
            "a post for entries",
            post(
                "/v1/entries?service=submissions",
                "Content-Length: 0\r\n",
                "",
            ),
            405,
        ),
        (
            "no class",
            post("/s/submissions/gallery", "Content-Length: 0\r\n", ""),
            404,
        ),
        (
            "no key and no ticket",
            post(pay, "Content-Length: 0\r\n", ""),
            428,
        ),
        (
            "a bad ticket",
            post(
                pay,
                "Anvilferry-Ticket: x\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n",
                "",
            ),
            400,
        ),
        ("an empty key", post(pay, &key(""), ""), 400),
        ("a long key", post(pay, &key(&"k".repeat(200)), ""), 400),
        ("a foreign ticket", post(pay, &key("k"), ""), 409),
        (
            "a bad deadline",
            get(read, "Anvilferry-Deadline-Ms: soon\r\n"),
            400,
        ),
        (
            "a deadline of nothing",
            get(read, "Anvilferry-Deadline-Ms: 0\r\n"),
            400,
        ),
        ("a bad depth", get(read, "Anvilferry-Depth: -1\r\n"), 400),
        ("a slow head", b"GET / HTT".to_vec(), 408),
        (
            "junk after a request",
            [get(read, ""), b"\0\0\0junk\r\n\r\n".to_vec()].concat(),
            200,
        ),
    ];
    for (what, bytes, status) in cases {
        assert_eq!(send(address, &bytes), status, "{what}");
    }
    still_serves(&fleet);
}

#[test]
fn too_many_connections_are_turned_away_and_come_back() {
    let fleet = fleet();
    let address = fleet.callers()[0];
    let open: Vec<TcpStream> = (0..80)
        .filter_map(|_| TcpStream::connect(address).ok())
        .collect();
    fleet
        .wait("a connection to be turned away", WAIT, |_| {
            send(address, &get("/v1/entries?service=submissions", "")) == 503
        })
        .expect("the bound holds");
    drop(open);
    fleet
        .wait("connections to be taken again", WAIT, |_| {
            send(address, &get("/v1/entries?service=submissions", "")) == 200
        })
        .expect("it recovers");
    still_serves(&fleet);
}

#[test]
fn operators_address() {
    let fleet = fleet();
    let address = operators(&fleet);
    let cases: Vec<(&str, Vec<u8>, u16)> = vec![
        ("junk", vec![0; 64], 400),
        ("a post", post("/dump", "Content-Length: 0\r\n", ""), 405),
        ("an unknown path", get("/keys", ""), 404),
        ("no request id", get("/explain", ""), 404),
        (
            "a request id of another life",
            get("/explain?id=1-1", ""),
            404,
        ),
        (
            "a body that is too long",
            post("/dump", "Content-Length: 5000\r\n", ""),
            413,
        ),
        (
            "a long head",
            get("/dump", &format!("X: {}\r\n", "a".repeat(9_000))),
            431,
        ),
        ("a slow head", b"GET /du".to_vec(), 408),
    ];
    for (what, bytes, status) in cases {
        assert_eq!(send(address, &bytes), status, "{what}");
    }
    assert_eq!(send(address, &get("/readyz", "")), 200);
    still_serves(&fleet);
}

#[test]
fn strangers_at_the_peers_address_learn_and_change_nothing() {
    let fleet = fleet();
    let address = peers(&fleet);
    let junk = [
        b"GET /v1/frames HTTP/1.1\r\n\r\n".to_vec(),
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
        vec![0x16, 3, 1, 0xff, 0xff],
        vec![0xff; 4_096],
        Vec::new(),
    ];
    for bytes in junk {
        let mut sock = TcpStream::connect(address).expect("connects");
        sock.set_read_timeout(Some(WAIT)).expect("is set");
        drop(sock.write_all(&bytes));
        let mut told = Vec::new();
        // It ends by itself: an alert at most, and no state.
        drop(sock.read_to_end(&mut told));
        assert!(told.len() < 64, "a stranger was told {} bytes", told.len());
        drop(sock.shutdown(Shutdown::Both));
    }
    let held: Vec<TcpStream> = (0..100)
        .filter_map(|_| TcpStream::connect(address).ok())
        .collect();
    still_serves(&fleet);
    drop(held);
    still_serves(&fleet);
}
