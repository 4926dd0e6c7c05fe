//! Large bodies of requests, and the memory that they take.

use {
    crate::{
        callers::{connect, post_head},
        support::{default_plan, new_caller, wait_for_config},
    },
    site::RouteKind,
    standin::{Fleet, FleetPlan, Outcome, WorkerFault},
    std::{
        io::{Read, Write},
        sync::Arc,
        thread,
        time::Duration,
    },
    unit::Span,
};

const CALLERS: usize = 40;
const BODY_BYTES: usize = 4 << 20;
/// How much of its body a caller sends at once, and the pause until it goes on.
const PART_BYTES: usize = 256 << 10;
const PAUSE: Duration = Duration::from_millis(40);
/// What a daemon may hold of bodies at most here, with what it needs besides.
const MAX_MEMORY: u64 = 80 << 20;

/// Starts a fleet of one daemon that takes large bodies.
fn start_fleet() -> Fleet {
    let fleet = Fleet::start(&FleetPlan {
        daemon_centres: vec!["a"],
        ..default_plan()
    })
    .expect("a fleet");
    let mut config = standin::config(2);
    config.limits.body_bytes = 64 << 20;
    config.limits.head_timeout = Span::secs(5);
    for route in config.hosts.values_mut().flatten() {
        let route = Arc::make_mut(route);
        if route.kind == RouteKind::AtMostOnce {
            route.kind = RouteKind::Upload;
            (route.objective, route.timeout) = (Span::secs(5), Span::secs(10));
        }
    }
    fleet.store.put_config(&config);
    wait_for_config(&fleet, 2);
    fleet
}

/// Sends a large body in parts; returns the status.
fn upload(fleet: &Fleet, at: usize, chunked: bool) -> String {
    let mut conn = connect(fleet);
    conn.set_read_timeout(Some(Duration::from_secs(60)))
        .expect("a timeout");
    let framing = if chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {BODY_BYTES}")
    };
    let head = post_head(&format!("/payouts/{at}"), &format!("u{at}"), &framing);
    conn.write_all(head.as_bytes()).expect("the daemon reads");
    let part = vec![b'x'; PART_BYTES];
    for _ in 0..BODY_BYTES / PART_BYTES {
        if chunked {
            let size = format!("{PART_BYTES:x}\r\n");
            conn.write_all(size.as_bytes()).expect("the daemon reads");
        }
        conn.write_all(&part).expect("the daemon reads");
        if chunked {
            conn.write_all(b"\r\n").expect("the daemon reads");
        }
        thread::sleep(PAUSE);
    }
    if chunked {
        conn.write_all(b"0\r\n\r\n").expect("the daemon reads");
    }
    let mut text = String::new();
    conn.read_to_string(&mut text).expect("a response");
    text.lines().next().unwrap_or_default().to_owned()
}

/// Guards against memory that grows with the callers of large bodies: 40 bodies of 4 MiB arrive
/// slowly and at the same time.
#[test]
fn many_slow_callers_of_large_bodies_take_bounded_memory() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        // 0.3 s for each, so that complete bodies wait for their responses, too.
        worker.set_fault(WorkerFault::Slow(15));
    }
    let mut reader = new_caller("reader");
    let statuses: Vec<String> = thread::scope(|scope| {
        let uploads: Vec<_> = (0..CALLERS)
            .map(|at| {
                let fleet = &fleet;
                scope.spawn(move || upload(fleet, at, at % 2 == 0))
            })
            .collect();
        for _ in 0..4 {
            let read = fleet.send(&mut reader, 0, "GET", "/pictures/1");
            assert_eq!(read.outcome, Outcome::Served, "small requests go on");
            thread::sleep(PAUSE);
        }
        let uploads = uploads.into_iter();
        uploads
            .map(|upload| upload.join().expect("it ends"))
            .collect()
    });
    let served = statuses.iter().filter(|status| status.contains(" 200 "));
    assert_eq!(served.count(), CALLERS, "{statuses:?}");
    let peak = fleet.peak_memory(0).expect("running");
    println!("peak memory: {} KB", peak >> 10);
    assert!(peak < MAX_MEMORY, "{} KB of memory", peak >> 10);
}

/// Sends the head of an upload with a timeout of 300 ms for heads, and then parts of its body, each
/// after a pause. Returns the response.
fn upload_slowly(parts: usize) -> String {
    let fleet = start_fleet();
    let mut config = standin::config(3);
    config.limits.head_timeout = Span::millis(300);
    fleet.store.put_config(&config);
    wait_for_config(&fleet, 3);
    let mut conn = connect(&fleet);
    let head = post_head("/payouts/1", "slow", "Content-Length: 10");
    conn.write_all(head.as_bytes()).expect("the daemon reads");
    for _ in 0..parts {
        thread::sleep(Duration::from_millis(120));
        conn.write_all(b".").expect("the daemon reads");
    }
    let mut text = String::new();
    conn.read_to_string(&mut text).expect("a response");
    text
}

/// Guards against a body on a slow link that is taken for a head that is late.
#[test]
fn a_body_that_arrives_steadily_has_more_time_than_a_head() {
    let text = upload_slowly(10);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[test]
fn a_body_that_stops_arriving_times_out_with_408() {
    let text = upload_slowly(9);
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}
