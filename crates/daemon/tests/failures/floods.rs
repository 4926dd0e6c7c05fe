//! Bytes without end: the harm of one connection stays its own.

use {
    crate::{
        callers::{CHUNKED_HEAD, connect, get},
        support::{default_plan, new_caller, run_load_served, start_fleet, wait_until},
    },
    peer::{FetchRequest, FrameCodec, PeerRequest},
    site::Revs,
    standin::{Fleet, FleetPlan, Outcome, StoreFault, WorkerFault},
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpStream},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// What a daemon may need, in bytes.
const MAX_MEMORY: u64 = 64 << 20;
/// How many requests are sent at once to workers that answer without end.
const MANY: usize = 40;

/// Reads and drops all that arrives on a connection, in a thread of its own.
fn discard(conn: &TcpStream) -> JoinHandle<()> {
    let mut conn = conn.try_clone().expect("a second handle");
    thread::spawn(move || {
        let mut chunk = vec![0; 64 << 10];
        while conn.read(&mut chunk).is_ok_and(|size| size > 0) {}
    })
}

/// Sends reads to the first daemon until one of them is at a worker with this fault, which then ends
/// for later requests. Returns the connections, whose responses are dropped.
fn begin_flood(fleet: &Fleet, fault: WorkerFault) -> Vec<TcpStream> {
    for worker in &fleet.workers {
        worker.set_fault(fault);
    }
    let conns: Vec<TcpStream> = (0..3)
        .map(|at| {
            let mut conn = connect(fleet);
            let request = get("/pictures/1", &format!("flood-{at}"), false);
            conn.write_all(request.as_bytes())
                .expect("the daemon reads");
            discard(&conn);
            conn
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::None);
    }
    conns
}

/// Asserts that a daemon serves all other requests while workers send without end.
fn others_are_served_beside(fault: WorkerFault) {
    let fleet = start_fleet();
    let conns = begin_flood(&fleet, fault);
    run_load_served(&fleet, &[0], 1_000);
    drop(conns);
}

#[test]
fn others_are_served_beside_a_response_without_end() {
    others_are_served_beside(WorkerFault::FloodsBody);
}

#[test]
fn others_are_served_beside_interim_responses_without_end() {
    others_are_served_beside(WorkerFault::FloodsInterim);
}

/// Guards against responses to probes that fill the daemon's memory, too.
#[test]
fn others_are_served_beside_responses_to_probes_without_end() {
    let fleet = start_fleet();
    fleet.workers[0].set_fault(WorkerFault::FloodsProbes);
    run_load_served(&fleet, &[0], 1_000);
    let peak = fleet.peak_memory(0).expect("a running daemon");
    assert!(peak <= MAX_MEMORY, "{peak} bytes");
}

#[test]
fn others_are_served_beside_bytes_without_end_on_idle_connections() {
    others_are_served_beside(WorkerFault::FloodsIdle);
}

/// Guards against bytes that are no answer and fill the daemon's memory: those of many requests count
/// together. Workers send them until the daemon closes the connection.
#[test]
fn answers_without_end_to_many_requests_cost_bounded_memory() {
    for fault in [
        WorkerFault::FloodsBody,
        WorkerFault::FloodsErrors,
        WorkerFault::FloodsHead,
        WorkerFault::FloodsOther,
        WorkerFault::FloodsRefusal,
        WorkerFault::FloodsUnsigned,
    ] {
        let fleet = Fleet::start(&FleetPlan {
            daemon_centres: vec!["a"],
            ..default_plan()
        })
        .expect("a fleet");
        for worker in &fleet.workers {
            worker.set_fault(fault);
        }
        let conns: Vec<TcpStream> = (0..MANY)
            .map(|at| {
                let mut conn = connect(&fleet);
                let request = get("/pictures/1", &format!("flood-{at}"), false);
                conn.write_all(request.as_bytes())
                    .expect("the daemon reads");
                conn
            })
            .collect();
        thread::sleep(Duration::from_millis(2_500));
        let peak = fleet.peak_memory(0).expect("a running daemon");
        assert!(peak <= MAX_MEMORY, "{fault:?}: {peak} bytes");
        for worker in &fleet.workers {
            worker.set_fault(WorkerFault::None);
        }
        drop(conns);
        wait_until("the daemon serves again", || {
            let mut caller = new_caller("after");
            fleet.send(&mut caller, 0, "GET", "/pictures/1").outcome == Outcome::Served
        });
    }
}

/// Guards against responses of the store that fill the daemons' memory, too.
#[test]
fn callers_are_served_beside_responses_of_the_store_without_end() {
    let fleet = start_fleet();
    fleet.store.set_fault(StoreFault::Floods);
    run_load_served(&fleet, &[0, 1, 2, 3], 3_000);
    for at in 0..fleet.size() {
        let peak = fleet.peak_memory(at).expect("a running daemon");
        assert!(peak <= MAX_MEMORY, "{peak} bytes");
    }
}

/// Guards against requests of another daemon, or of a stranger, that pile up.
#[test]
fn callers_are_served_beside_requests_for_changes_without_end() {
    let fleet = start_fleet();
    let mut address = fleet.address(0);
    // The internal port.
    address.set_port(address.port() + 4);
    let mut conn = TcpStream::connect(address).expect("the daemon listens");
    discard(&conn);
    let request = PeerRequest::Fetch(FetchRequest {
        revs: Revs::default(),
    });
    let frame = FrameCodec::encode(&request).expect("a small frame");
    let flood = thread::spawn(move || {
        let part = frame.repeat(2_000);
        let end = Instant::now() + Duration::from_secs(8);
        while Instant::now() < end && conn.write_all(&part).is_ok() {}
    });
    run_load_served(&fleet, &[0], 1_000);
    flood.join().expect("the flood ends");
    let peak = fleet.peak_memory(0).expect("a running daemon");
    assert!(peak <= MAX_MEMORY, "{peak} bytes");
}

/// Guards against messages that pile up for all connections together, though each keeps to the limit:
/// to the internal port with a frame that announces a long message, to the directory with a body.
#[test]
fn long_messages_on_many_connections_cost_bounded_memory() {
    let fleet = start_fleet();
    let mut internal = fleet.address(0);
    internal.set_port(internal.port() + 4);
    let frame = (8_u32 << 20).to_be_bytes().to_vec();
    let post = b"POST /v1/resolve HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n".to_vec();
    let part = vec![b'.'; 1 << 20];
    for (address, head, conns) in [(internal, frame, 30), (fleet.directory(0), post, 120)] {
        let open: Vec<TcpStream> = (0..conns)
            .map(|_| {
                let mut conn = TcpStream::connect(address).expect("the daemon listens");
                conn.set_write_timeout(Some(Duration::from_millis(500)))
                    .expect("a timeout");
                // The daemon may close the connection at any time.
                let _ = conn.write_all(&head);
                let _ = conn.write_all(&part[1..]);
                for _ in 1..conns / 5 {
                    let _ = conn.write_all(&part);
                }
                conn
            })
            .collect();
        let peak = fleet.peak_memory(0).expect("a running daemon");
        assert!(peak <= MAX_MEMORY, "{address}: {peak} bytes");
        drop(open);
    }
    run_load_served(&fleet, &[0], 300);
}

/// Asserts that a daemon serves all other callers while one sends `head` and then `part` again and
/// again.
fn others_are_served_beside_caller(head: &str, part: &str) {
    let fleet = start_fleet();
    let mut conn = connect(&fleet);
    discard(&conn);
    let (head, part) = (head.to_owned(), part.repeat(200));
    let mut sender = conn.try_clone().expect("a second handle");
    let flood = thread::spawn(move || {
        let mut going = sender.write_all(head.as_bytes()).is_ok();
        while going {
            going = sender.write_all(part.as_bytes()).is_ok();
        }
    });
    run_load_served(&fleet, &[0], 1_000);
    // The daemon may have closed the connection.
    let _ = conn.shutdown(Shutdown::Both);
    let _ = conn.flush();
    flood.join().expect("the flood ends");
}

#[test]
fn others_are_served_beside_pipelined_requests_without_end() {
    others_are_served_beside_caller("", &get("/nowhere/", "flood", false));
}

#[test]
fn others_are_served_beside_chunk_extensions_without_end() {
    others_are_served_beside_caller(CHUNKED_HEAD, "1;extension=value\r\nx\r\n");
}

#[test]
fn others_are_served_beside_trailers_without_end() {
    others_are_served_beside_caller(&format!("{CHUNKED_HEAD}0\r\n"), "Trailer: value\r\n");
}

/// Guards against responses that pile up for a caller that sends requests and reads nothing.
#[test]
fn a_caller_that_reads_nothing_costs_bounded_memory() {
    let fleet = start_fleet();
    let mut conn = connect(&fleet);
    conn.set_write_timeout(Some(Duration::from_millis(500)))
        .expect("a timeout");
    let part = get("/nowhere/", "flood", false).repeat(500);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end && conn.write_all(part.as_bytes()).is_ok() {}
    run_load_served(&fleet, &[0], 300);
    let peak = fleet.peak_memory(0).expect("a running daemon");
    assert!(peak <= MAX_MEMORY, "{peak} bytes");
}
