//! Callers that send invalid messages, pipelined requests or unusual bodies.

use {
    crate::support::{
        default_plan, metric, run_load, run_load_served, start_fleet, state_dump, wait_for_config,
        wait_until,
    },
    nix::sys::signal::Signal,
    socket2::{Domain, Socket, Type},
    standin::{Fleet, Outcome, StoreFault},
    std::{
        io::{Read, Write},
        net::{Ipv4Addr, SocketAddrV4, TcpStream},
        thread,
        time::Duration,
    },
    unit::Span,
};

/// The head of a write whose body comes in chunks.
pub(crate) const CHUNKED_HEAD: &str = "POST /payouts/1 HTTP/1.1\r\nHost: gallery.example\r\n\
     Request-Id: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Connects to the first daemon.
pub(crate) fn connect(fleet: &Fleet) -> TcpStream {
    connect_to(fleet, 0)
}

/// Connects to a daemon.
pub(crate) fn connect_to(fleet: &Fleet, at: usize) -> TcpStream {
    connect_from(Ipv4Addr::LOCALHOST, fleet, at)
}

/// Connects to a daemon from an address of this machine.
pub(crate) fn connect_from(source: Ipv4Addr, fleet: &Fleet, at: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let source = SocketAddrV4::new(source, 0);
    socket.bind(&source.into()).expect("an own address");
    let address = fleet.address(at).into();
    socket.connect(&address).expect("the daemon listens");
    let conn = TcpStream::from(socket);
    conn.set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    conn
}

/// Sends bytes and reads until the daemon closes the connection.
pub(crate) fn exchange(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut conn = connect(fleet);
    conn.write_all(bytes).expect("the daemon reads");
    let mut text = Vec::new();
    // The daemon may also reset the connection after its response.
    let _ = conn.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// The head of a write with a long deadline, the last one on its connection; `framing` is the header
/// line that says how its body ends.
pub(crate) fn post_head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 10000\r\nConnection: close\r\n{framing}\r\n\r\n"
    )
}

/// A request for a path; the last one on its connection if `last`.
pub(crate) fn get(path: &str, id: &str, last: bool) -> String {
    let close = if last { "Connection: close\r\n" } else { "" };
    format!(
        "GET {path} HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\
         {close}\r\n"
    )
}

/// The ids of the requests that are answered in a connection's bytes, in their order.
pub(crate) fn answered_ids(text: &str) -> Vec<&str> {
    let lines = text.lines();
    lines
        .filter_map(|line| line.strip_prefix("Request-Id: "))
        .collect()
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let fleet = start_fleet();
    fleet.workers[0].set_latency_percent(1_500);
    let ids: Vec<String> = (0..12).map(|at| format!("p-{at}")).collect();
    let requests: String = ids
        .iter()
        .enumerate()
        .map(|(at, id)| get("/pictures/1", id, at + 1 == ids.len()))
        .collect();
    let text = exchange(&fleet, requests.as_bytes());
    assert_eq!(answered_ids(&text), ids);
    assert_eq!(text.matches("HTTP/1.1 200").count(), ids.len());
}

#[test]
fn responses_to_head_requests_have_no_body() {
    let fleet = start_fleet();
    let head = get("/nowhere/", "h-1", false).replacen("GET", "HEAD", 1);
    let text = exchange(&fleet, (head + &get("/nowhere/", "h-2", true)).as_bytes());
    let (first, second) = text.split_once("\r\n\r\n").expect("two responses");
    assert!(first.starts_with("HTTP/1.1 404"), "{first}");
    assert!(second.starts_with("HTTP/1.1 404"), "{second}");
}

#[test]
fn invalid_requests_get_an_error_status_and_affect_no_others() {
    let fleet = start_fleet();
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
        let text = exchange(&fleet, bytes.as_bytes());
        assert!(
            text.starts_with(&format!("HTTP/1.1 {status}")),
            "{bytes:.60}: {text}"
        );
    }
    assert!(fleet.executions.entries().is_empty());
    run_load_served(&fleet, &[0, 1], 300);
}

/// Sends a request to a slow worker with the first part of a second one behind it, and lets the
/// second one be late while the response to the first is due. Returns the connection.
fn pipeline_late(fleet: &Fleet) -> TcpStream {
    let mut config = standin::config(2);
    config.limits.head_timeout = Span::millis(300);
    fleet.store.put_config(&config);
    wait_for_config(fleet, 2);
    for worker in &fleet.workers {
        worker.set_latency_percent(4_000);
    }
    let mut conn = connect(fleet);
    let first = get("/pictures/1", "late-1", false);
    conn.write_all((first + "GET /pictures/2 HT").as_bytes())
        .expect("the daemon reads");
    thread::sleep(Duration::from_millis(600));
    for worker in &fleet.workers {
        worker.set_latency_percent(100);
    }
    conn
}

/// Guards against a timer that is set to a time which is over, again and again, so that the daemon
/// does nothing else.
#[test]
fn others_are_served_while_a_late_request_waits_behind_a_response() {
    let fleet = start_fleet();
    let mut conn = pipeline_late(&fleet);
    let report = run_load(&fleet, &[0], 300);
    assert_eq!(report.count(Outcome::Unanswered), 0, "{}", report.text());
    // The late request ends the connection once the response is sent.
    let mut text = String::new();
    conn.read_to_string(&mut text).expect("an orderly close");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains("HTTP/1.1 408"), "{text}");
}

/// A caller whose request is complete by the time it could be answered isn't late.
#[test]
fn a_request_that_is_completed_behind_a_response_is_served() {
    let fleet = start_fleet();
    let mut conn = pipeline_late(&fleet);
    let rest = get("/pictures/2", "late-2", true).replacen("GET /pictures/2 HT", "", 1);
    conn.write_all(rest.as_bytes()).expect("the daemon reads");
    let mut text = String::new();
    conn.read_to_string(&mut text).expect("an orderly close");
    assert_eq!(answered_ids(&text), ["late-1", "late-2"], "{text}");
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
}

#[test]
fn an_incomplete_head_times_out_with_408() {
    let fleet = start_fleet();
    let text = exchange(&fleet, b"GET / HTTP/1.1\r\nHost: x\r\n");
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

#[test]
fn a_caller_that_expects_100_continue_gets_it() {
    let fleet = start_fleet();
    let mut conn = connect(&fleet);
    conn.write_all(
        b"POST /payouts/1 HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: x\r\n\
          Deadline-Ms: 2000\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\
          Connection: close\r\n\r\n",
    )
    .expect("the daemon reads");
    let mut interim = [0; 25];
    conn.read_exact(&mut interim).expect("an interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    conn.write_all(b"ab").expect("the daemon reads");
    let mut text = String::new();
    conn.read_to_string(&mut text).expect("a response");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[test]
fn chunked_bodies_reach_the_worker() {
    let fleet = start_fleet();
    let text = exchange(
        &fleet,
        b"POST /payouts/1 HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: x\r\n\
          Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    );
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[test]
fn invalid_peer_messages_are_logged_and_ignored() {
    let fleet = start_fleet();
    let dump = state_dump(&fleet, 0);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut peer = fleet.address(0);
    peer.set_port(peer.port() + 4);
    for bytes in [&b"nonsense"[..], &[0; 1_400], &[255; 9]] {
        socket.send_to(bytes, peer).expect("sent");
    }
    let mut stream = TcpStream::connect(peer).expect("the daemon listens");
    stream.write_all(&[255; 64]).expect("the daemon reads");
    wait_until("the rejected message is logged", || {
        fleet
            .log(0)
            .is_ok_and(|log| log.contains("peer-message-refused"))
    });
    assert_eq!(state_dump(&fleet, 0)["config"], dump["config"]);
    run_load_served(&fleet, &[0], 300);
}

/// A daemon that has just started needs some tenths of a second to learn of the configuration and
/// the workers. Several starts are tried, since a busy machine may be slower than the hold is long.
#[test]
fn requests_that_arrive_right_after_the_start_are_served() {
    const STARTS: usize = 5;
    let mut plan = default_plan();
    plan.daemon_centres = vec!["a"];
    let mut fleet = Fleet::start(&plan).expect("a fleet");
    let first_statuses: Vec<String> = (0..STARTS)
        .map(|at| {
            fleet.kill(0);
            fleet
                .store
                .set_fault(StoreFault::Slow(Duration::from_millis(60)));
            fleet.launch(0).expect("it starts");
            let mut conn = None;
            wait_until("the daemon listens", || {
                conn = TcpStream::connect(fleet.address(0)).ok();
                conn.is_some()
            });
            let mut conn = conn.expect("a connection");
            conn.write_all(get("/pictures/1", &format!("early-{at}"), true).as_bytes())
                .expect("the daemon reads");
            let mut text = String::new();
            conn.read_to_string(&mut text).expect("a response");
            text.lines().next().unwrap_or_default().to_owned()
        })
        .collect();
    let served = |line: &String| line.starts_with("HTTP/1.1 200");
    assert!(first_statuses.iter().any(served), "{first_statuses:?}");
}

/// Guards against a listener that sleeps, under edge-triggered polling, with callers in its queue
/// after the process had run out of descriptors.
#[test]
fn callers_that_wait_for_a_descriptor_are_served_once_one_is_free() {
    let script = std::env::temp_dir().join(format!("few-fds-{}.sh", std::process::id()));
    let program = env!("CARGO_BIN_EXE_anvilferryd");
    let text = format!("#!/bin/sh\nulimit -n 48\nexec {program} \"$@\"\n");
    std::fs::write(&script, text).expect("a script");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o700);
    std::fs::set_permissions(&script, mode).expect("executable");
    let mut plan = default_plan();
    plan.daemon_centres = vec!["a"];
    plan.program = script.clone();
    let fleet = Fleet::start(&plan).expect("a fleet");
    let mut conns: Vec<TcpStream> = (0..60).map(|_| connect(&fleet)).collect();
    let mut last = conns.pop().expect("a connection");
    let request = get("/pictures/1", "waited", true);
    last.write_all(request.as_bytes())
        .expect("the kernel takes it");
    std::thread::sleep(Duration::from_millis(300));
    drop(conns);
    last.set_read_timeout(Some(Duration::from_secs(3)))
        .expect("a timeout");
    let mut text = String::new();
    // A timeout leaves the text empty.
    let _ = last.read_to_string(&mut text);
    std::fs::remove_file(&script).expect("the script is there");
    assert_eq!(answered_ids(&text), ["waited"]);
}

/// Guards against work for callers that have left: after a pause, their requests and closes are read
/// together.
#[test]
fn requests_of_callers_that_left_before_they_were_read_cause_no_probe() {
    let fleet = start_fleet();
    let before = metric(&fleet, 0, "anvilferry_probes_total");
    fleet.signal(0, Signal::SIGSTOP).expect("running");
    for at in 0..20 {
        let request = get("/pictures/1", &format!("left-{at}"), false);
        let mut conn = connect(&fleet);
        conn.write_all(request.as_bytes())
            .expect("the kernel takes it");
    }
    fleet.signal(0, Signal::SIGCONT).expect("running");
    // This caller is accepted after those that left, and its request needs no worker.
    let text = exchange(&fleet, get("/nowhere/", "stays", true).as_bytes());
    assert!(text.starts_with("HTTP/1.1 404"), "{text}");
    let after = metric(&fleet, 0, "anvilferry_probes_total");
    assert_eq!(after, before);
    assert!(fleet.executions.entries().is_empty());
}

#[test]
fn a_request_that_begins_just_before_the_idle_timeout_has_the_time_of_a_head() {
    let fleet = start_fleet();
    let mut config = standin::config(2);
    config.limits.idle_timeout = Span::secs(1);
    config.limits.head_timeout = Span::secs(5);
    fleet.store.put_config(&config);
    wait_for_config(&fleet, 2);
    let mut conn = connect(&fleet);
    let request = get("/pictures/1", "late", true);
    let (first, rest) = request.split_at(20);
    thread::sleep(Duration::from_millis(800));
    conn.write_all(first.as_bytes()).expect("the daemon reads");
    thread::sleep(Duration::from_millis(600));
    conn.write_all(rest.as_bytes()).expect("the daemon reads");
    let mut answer = String::new();
    conn.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn a_connection_to_the_readiness_address_that_its_client_leaves_open_is_closed_soon() {
    let fleet = start_fleet();
    let mut conn = TcpStream::connect(fleet.directory(0)).expect("the daemon listens");
    conn.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")
        .expect("the daemon reads");
    let mut answer = Vec::new();
    conn.read_to_end(&mut answer).expect("an answer");
    // Writing fails once the daemon has closed its side too.
    wait_until("the daemon has closed it", || conn.write_all(b"x").is_err());
}
