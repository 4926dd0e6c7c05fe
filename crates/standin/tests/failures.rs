//! Failures with real processes, judged by the workers' log of what ran and by the callers' own
//! log, never by a daemon's word. Every wait is for a condition; only the waits are bounded.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

use {
    nix::sys::signal::Signal,
    standin::{
        demo,
        fleet::Fleet,
        mood::Mood,
        platform::Faults,
        soak::{Calls, Judgement},
    },
    std::{
        net::TcpStream,
        time::{Duration, Instant},
    },
    wire::{Conn, Limits, Request},
};

const LONG: Duration = Duration::from_secs(30);

fn fleet() -> Fleet {
    Fleet::start(demo::plan()).expect("starts")
}

/// Waits until so many more calls were served.
#[track_caller]
fn served(fleet: &Fleet, calls: &Calls, more: u64) {
    let before = calls.served();
    let what = format!("{more} more calls served");
    fleet
        .wait(&what, LONG, |_| calls.served() >= before + more)
        .expect("calls are served");
}

#[track_caller]
fn judge(fleet: &Fleet, calls: Calls) -> Judgement {
    let judgement = calls.judge(fleet).expect("can be asked");
    assert_eq!(judgement.faults(), Vec::<String>::new());
    judgement
}

fn moods(fleet: &Fleet, centre: &str, mood: &Mood) {
    for worker in fleet.workers("submissions") {
        if fleet.worker_centre(&worker) == centre {
            fleet.mood(&worker, mood).expect("answers");
        }
    }
}

#[test]
fn a_killed_daemon_loses_and_doubles_nothing() {
    let mut fleet = fleet();
    let calls = Calls::start(&fleet, 6, 1);
    served(&fleet, &calls, 100);
    fleet.kill(0);
    served(&fleet, &calls, 200);
    fleet.revive(0).expect("starts again");
    fleet.put_list().expect("is taken");
    served(&fleet, &calls, 200);
    fleet.wait_ready().expect("the new life joins");
    judge(&fleet, calls);
}

#[test]
fn a_frozen_daemon_that_goes_on_harms_nobody() {
    let fleet = fleet();
    let calls = Calls::start(&fleet, 6, 2);
    served(&fleet, &calls, 100);
    fleet.signal(1, Signal::SIGSTOP);
    served(&fleet, &calls, 100);
    let worker = fleet.workers("submissions").remove(0);
    fleet.restart(&worker).expect("answers");
    served(&fleet, &calls, 100);
    fleet.signal(1, Signal::SIGCONT);
    served(&fleet, &calls, 200);
    judge(&fleet, calls);
}

#[test]
fn a_platform_that_is_down_stops_only_publishing() {
    let fleet = fleet();
    let calls = Calls::start(&fleet, 6, 3);
    served(&fleet, &calls, 50);
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    fleet.faults(&down).expect("answers");
    served(&fleet, &calls, 200);
    let (status, told) = fleet
        .tool(&["--timeout", "1", "dc", "out", "cascade-a"])
        .expect("runs");
    assert_eq!(status, 1, "{told}");
    fleet.faults(&Faults::default()).expect("answers");
    let (status, told) = fleet
        .tool(&["dc", "out", "cascade-a", "--wait"])
        .expect("runs");
    assert_eq!(status, 0, "{told}");
    served(&fleet, &calls, 50);
    judge(&fleet, calls);
}

#[test]
fn a_daemon_that_starts_while_the_platform_is_down_gets_the_newest_from_peers() {
    let mut fleet = fleet();
    let (status, _) = fleet
        .tool(&["dc", "out", "cascade-d", "--wait"])
        .expect("runs");
    assert_eq!(status, 0);
    let generation = fleet.dump(0).expect("answers")["generation"].clone();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    let old = fleet.daemons[2]
        .process
        .as_ref()
        .map(standin::process::Process::id);
    assert!(old.is_some());
    // The list still names the old life's address: the new one must be started at it.
    fleet
        .kill_and_revive_in_place(2, &down)
        .expect("starts again");
    fleet
        .wait("the new life to serve the newest", LONG, |fleet| {
            fleet.dump(2).is_ok_and(|dump| {
                dump["view"]["standing"] == "serving" && dump["generation"] == generation
            })
        })
        .expect("peers tell it");
}

#[test]
fn a_slow_platform_that_loses_answers_and_watches_delays_no_change_for_long() {
    let fleet = fleet();
    let calls = Calls::start(&fleet, 4, 4);
    let bad = Faults {
        lose: 2,
        slow_ms: 200,
        ..Faults::default()
    };
    fleet.faults(&bad).expect("answers");
    for way in ["out", "in"] {
        let (status, told) = fleet
            .tool(&["dc", way, "cascade-c", "--wait"])
            .expect("runs");
        assert_eq!(status, 0, "{told}");
    }
    served(&fleet, &calls, 50);
    judge(&fleet, calls);
}

#[test]
fn two_operators_race() {
    let fleet = fleet();
    let told = std::thread::scope(|scope| {
        let one = scope.spawn(|| fleet.tool(&["dc", "out", "cascade-a", "--by", "ann"]));
        let two = scope.spawn(|| fleet.tool(&["dc", "out", "cascade-b", "--by", "bob"]));
        [one.join(), two.join()].map(|ended| ended.expect("runs").expect("runs"))
    });
    assert!(told.iter().all(|(status, _)| *status == 0), "{told:?}");
    let (_, status) = fleet.tool(&["status"]).expect("runs");
    assert!(
        status.contains("cascade-a is out") && status.contains("cascade-b is out"),
        "{status}"
    );
}

#[test]
fn workers_that_turn_cold_are_never_given_more_than_they_bear() {
    let fleet = fleet();
    let calls = Calls::start(&fleet, 12, 5);
    served(&fleet, &calls, 100);
    for worker in fleet.workers("submissions") {
        fleet.restart(&worker).expect("answers");
        served(&fleet, &calls, 60);
    }
    judge(&fleet, calls);
}

#[test]
fn silent_connections_cost_no_call() {
    let fleet = fleet();
    let calls = Calls::start(&fleet, 6, 6);
    served(&fleet, &calls, 100);
    let mute = Mood {
        mute: true,
        ..Mood::default()
    };
    moods(&fleet, "cascade-a", &mute);
    served(&fleet, &calls, 200);
    judge(&fleet, calls);
}

#[test]
fn a_data_centre_out_and_in_under_payments() {
    let fleet = fleet();
    let calls = Calls::start(&fleet, 8, 7);
    served(&fleet, &calls, 100);
    let (status, told) = fleet
        .tool(&["dc", "out", "cascade-b", "--wait"])
        .expect("runs");
    assert_eq!(status, 0, "{told}");
    // Work that was sent before may still begin; then nothing new arrives there.
    served(&fleet, &calls, 100);
    let before = calls.work_in(&fleet, "cascade-b").expect("answers");
    served(&fleet, &calls, 200);
    assert_eq!(calls.work_in(&fleet, "cascade-b").expect("answers"), before);
    let (status, told) = fleet
        .tool(&["dc", "in", "cascade-b", "--wait"])
        .expect("runs");
    assert_eq!(status, 0, "{told}");
    fleet
        .wait("work to return", LONG, |fleet| {
            calls
                .work_in(fleet, "cascade-b")
                .is_ok_and(|now| now > before)
        })
        .expect("it returns");
    judge(&fleet, calls);
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let mut fleet = fleet();
    let calls = Calls::start(&fleet, 6, 8);
    served(&fleet, &calls, 100);
    let worker = fleet.workers("submissions").remove(3);
    fleet.leaving.insert(worker.clone());
    fleet.put_list().expect("is taken");
    fleet
        .wait("every daemon to close it", LONG, |fleet| {
            fleet.dumps().iter().all(|dump| {
                let workers = dump["services"]["submissions"]["desk"]["workers"].as_array();
                workers.is_some_and(|all| {
                    all.iter()
                        .any(|own| own["name"] == *worker && own["state"] == "closed")
                })
            })
        })
        .expect("the list spreads");
    served(&fleet, &calls, 50);
    let ran = |fleet: &Fleet| fleet.counts().expect("answers")[&worker].ran;
    let before = ran(&fleet);
    served(&fleet, &calls, 200);
    assert_eq!(ran(&fleet), before);
    judge(&fleet, calls);
}

#[test]
fn a_planned_stop_is_graceful() {
    let mut fleet = fleet();
    let calls = Calls::start(&fleet, 6, 9);
    served(&fleet, &calls, 100);
    assert!(fleet.stop(1, LONG), "it ends by itself");
    served(&fleet, &calls, 100);
    let judgement = judge(&fleet, calls);
    assert_eq!(
        judgement.unknown, 0,
        "no call is left in doubt by a planned stop"
    );
}

#[test]
fn a_read_whose_workers_break_off_is_never_called_not_run() {
    let fleet = fleet();
    let address = fleet.callers()[0];
    let ran = |fleet: &Fleet| -> u64 {
        fleet
            .counts()
            .expect("answers")
            .values()
            .map(|count| count.ran)
            .sum()
    };
    let mut begun = 0;
    for _ in 0..8 {
        let sock = TcpStream::connect(address).expect("connects");
        let mut conn = Conn::new(sock, Limits::default()).expect("is set");
        let mut request = Request::new("GET", "/s/submissions/gallery");
        request.headers.add("Host", address);
        request.headers.add("X-Break", 1);
        let before = ran(&fleet);
        conn.write_request(&request).expect("is sent");
        let end = Instant::now() + LONG;
        let response = conn.read_response(1 << 20, false, end).expect("answers");
        let outcome = response.headers.get("anvilferry-outcome");
        // Once all workers are left out, a request may truly not run.
        if ran(&fleet) > before {
            assert_eq!(outcome, Some("unknown"), "a worker began it");
            begun += 1;
        }
    }
    assert!(begun > 0, "some must run");
}

/// Pairs of failures, by seed.
#[test]
fn pairs_of_failures() {
    for seed in 0..8 {
        let judgement = standin::soak::pair(seed).expect("runs");
        assert_eq!(judgement.faults(), Vec::<String>::new(), "seed {seed}");
    }
}
