//! Callers that send what they shouldn't, or several requests at once.

use {
    crate::scene::{fleet, play_served, state, until},
    standin::Fleet,
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

fn connect(fleet: &Fleet) -> TcpStream {
    let conn = TcpStream::connect(fleet.address(0)).expect("it listens");
    conn.set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    conn
}

/// Sends bytes and reads all that comes until the daemon closes.
fn converse(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut conn = connect(fleet);
    conn.write_all(bytes).expect("it reads");
    let mut text = Vec::new();
    // A reset after the answer is as good as a close.
    let _ = conn.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn get(path: &str, id: &str, last: bool) -> String {
    let close = if last { "Connection: close\r\n" } else { "" };
    format!(
        "GET {path} HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\
         {close}\r\n"
    )
}

#[test]
fn requests_sent_at_once_are_answered_in_their_order() {
    let fleet = fleet();
    fleet.workers[0].set_latency_percent(1_500);
    let ids: Vec<String> = (0..12).map(|at| format!("p-{at}")).collect();
    let requests: String = ids
        .iter()
        .enumerate()
        .map(|(at, id)| get("/pictures/1", id, at + 1 == ids.len()))
        .collect();
    let text = converse(&fleet, requests.as_bytes());
    let answered: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("Request-Id: "))
        .collect();
    assert_eq!(answered, ids);
    assert_eq!(text.matches("HTTP/1.1 200").count(), ids.len());
}

#[test]
fn bad_requests_get_their_status_and_hurt_nobody() {
    let fleet = fleet();
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(20_000));
    for (bytes, status) in [
        ("nonsense\r\n\r\n", "400"),
        (
            "GET / HTTP/1.1\r\nHost: gallery.example\r\nConnection: close\r\n\r\n",
            "400",
        ),
        (
            "GET / HTTP/1.1\r\nRequest-Id: x\r\nConnection: close\r\n\r\n",
            "400",
        ),
        (
            "POST /payouts/1 HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: x\r\n\
             Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400",
        ),
        (
            "POST /payouts/1 HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: x\r\n\
             Content-Length: 99999999\r\n\r\n",
            "413",
        ),
        (&long, "431"),
        (&get("/nowhere/", "x", true), "404"),
    ] {
        let text = converse(&fleet, bytes.as_bytes());
        assert!(
            text.starts_with(&format!("HTTP/1.1 {status}")),
            "{bytes:.60}: {text}"
        );
    }
    assert!(fleet.executions.entries().is_empty());
    play_served(&fleet, &[0, 1], 300);
}

#[test]
fn a_head_that_never_ends_is_answered_and_closed() {
    let fleet = fleet();
    let text = converse(&fleet, b"GET / HTTP/1.1\r\nHost: x\r\n");
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

#[test]
fn a_caller_that_waits_for_leave_to_send_its_body_gets_it() {
    let fleet = fleet();
    let mut conn = connect(&fleet);
    conn.write_all(
        b"POST /payouts/1 HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: x\r\n\
          Deadline-Ms: 2000\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\
          Connection: close\r\n\r\n",
    )
    .expect("it reads");
    let mut leave = [0; 25];
    conn.read_exact(&mut leave).expect("leave");
    assert_eq!(&leave, b"HTTP/1.1 100 Continue\r\n\r\n");
    conn.write_all(b"ab").expect("it reads");
    let mut text = String::new();
    conn.read_to_string(&mut text).expect("an answer");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[test]
fn chunked_bodies_reach_the_worker() {
    let fleet = fleet();
    let text = converse(
        &fleet,
        b"POST /payouts/1 HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: x\r\n\
          Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    );
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[test]
fn bytes_from_strangers_change_nothing_between_daemons() {
    let fleet = fleet();
    let dump = state(&fleet, 0);
    let peers = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut peer = fleet.address(0);
    peer.set_port(peer.port() + 4);
    for bytes in [&b"nonsense"[..], &[0; 1_400], &[255; 9]] {
        peers.send_to(bytes, peer).expect("sent");
    }
    let mut stream = TcpStream::connect(peer).expect("it listens");
    stream.write_all(&[255; 64]).expect("it reads");
    until("it is logged", || {
        fleet
            .log(0)
            .is_ok_and(|log| log.contains("peer-message-refused"))
    });
    assert_eq!(state(&fleet, 0)["config"], dump["config"]);
    play_served(&fleet, &[0], 300);
}
