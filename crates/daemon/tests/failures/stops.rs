//! Planned stops: callers whose requests have just been accepted get responses.

use {
    crate::{
        callers::{answered_ids, connect, get},
        support::{default_plan, start_fleet},
    },
    nix::sys::signal::Signal,
    standin::{Fleet, StoreFault},
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
};

/// When a stopping daemon closes its listener: six tenths of the stop grace period of 6 s.
const LISTENER_CLOSES: Duration = Duration::from_millis(3_600);
/// When a stopping daemon without callers ends.
const ENDS_WITHOUT_CALLERS: Duration = Duration::from_millis(2_500);

/// Reads until the daemon closes the connection. A reset leaves what came before it.
fn read_all(mut conn: TcpStream) -> String {
    let mut text = Vec::new();
    let _ = conn.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Connects `count` callers, each of which sends one request.
fn send_requests(fleet: &Fleet, count: usize) -> Vec<TcpStream> {
    let send = |at: usize| {
        let mut conn = connect(fleet);
        let request = get("/pictures/1", &format!("s-{at}"), false);
        conn.write_all(request.as_bytes())
            .expect("the kernel takes it");
        conn
    };
    (0..count).map(send).collect()
}

/// Stops a daemon that is busy around a moment after the signal, so that requests wait in the queue
/// of its listener at that moment, and asserts that they are answered.
fn queued_requests_are_answered(fleet: &Fleet, moment: Duration) {
    let stopped = Instant::now();
    fleet.signal(0, Signal::SIGTERM).expect("running");
    thread::sleep(moment - Duration::from_millis(500));
    fleet.signal(0, Signal::SIGSTOP).expect("running");
    let conns = send_requests(fleet, 20);
    thread::sleep((moment + Duration::from_millis(300)).saturating_sub(stopped.elapsed()));
    fleet.signal(0, Signal::SIGCONT).expect("running");
    for (at, conn) in conns.into_iter().enumerate() {
        let text = read_all(conn);
        assert_eq!(answered_ids(&text), [format!("s-{at}")], "{text}");
    }
}

#[test]
fn requests_that_wait_in_the_queue_as_the_listener_closes_are_answered() {
    let fleet = start_fleet();
    let _idle = connect(&fleet);
    queued_requests_are_answered(&fleet, LISTENER_CLOSES);
}

#[test]
fn requests_that_wait_in_the_queue_as_the_daemon_ends_are_answered() {
    let fleet = start_fleet();
    queued_requests_are_answered(&fleet, ENDS_WITHOUT_CALLERS);
}

#[test]
fn requests_held_at_the_start_are_answered_if_the_daemon_is_stopped() {
    let mut fleet = Fleet::start(&default_plan()).expect("a fleet");
    fleet.kill(0);
    fleet.store.set_fault(StoreFault::Hangs);
    fleet.launch(0).expect("it starts");
    thread::sleep(Duration::from_millis(100));
    let conns = send_requests(&fleet, 3);
    fleet.signal(0, Signal::SIGTERM).expect("running");
    fleet.signal(0, Signal::SIGTERM).expect("running");
    fleet.signal(0, Signal::SIGHUP).expect("running");
    for (at, conn) in conns.into_iter().enumerate() {
        let text = read_all(conn);
        assert_eq!(answered_ids(&text), [format!("s-{at}")], "{text}");
    }
}
