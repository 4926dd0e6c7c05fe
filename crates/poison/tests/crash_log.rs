//! What bars a request, and what doesn't.

use {
    poison::{CrashLog, CrashNews, Fingerprint, MAX_CRASHES},
    unit::{Span, Time},
};

const GUILTY: Fingerprint = Fingerprint(1);
const BYSTANDER: Fingerprint = Fingerprint(2);

fn at(seconds: u64) -> Time {
    Time::at(Span::secs(1_000 + seconds))
}

/// A worker crashes with a request in flight, 20 ms after that of the run before it.
fn crash(log: &mut CrashLog, seconds: u64, request: Fingerprint, run: u32) -> bool {
    let moment = at(seconds) + Span::millis(20 * u64::from(run));
    log.record_crash(moment, request, run)
}

#[test]
fn a_request_is_barred_after_three_crashes() {
    let mut log = CrashLog::default();
    for run in 0..MAX_CRASHES as u32 {
        assert_eq!(log.barred(at(0), GUILTY), None);
        let barred = crash(&mut log, 0, GUILTY, run);
        assert_eq!(barred, run as usize + 1 == MAX_CRASHES);
    }
    assert!(log.barred(at(1), GUILTY).is_some());
    assert!(log.barred(at(600), GUILTY).is_some());
    assert_eq!(log.barred(at(601), GUILTY), None);
    assert_eq!(log.barred(at(1), BYSTANDER), None);
}

/// Guards against healthy requests that are barred since they come often, when a data centre's workers
/// end at once.
#[test]
fn workers_that_crash_at_the_same_moment_count_once() {
    let mut log = CrashLog::default();
    for run in 0..12 {
        assert!(!log.record_crash(at(0) + Span::micros(400 * u64::from(run)), GUILTY, run));
    }
    assert_eq!(log.barred(at(0), GUILTY), None);
}

#[test]
fn one_worker_counts_once() {
    let mut log = CrashLog::default();
    for _ in 0..9 {
        assert!(!log.record_crash(at(0), GUILTY, 7));
    }
    assert_eq!(log.barred(at(0), GUILTY), None);
}

#[test]
fn a_response_ends_what_was_held_against_a_request() {
    let mut log = CrashLog::default();
    for run in 0..2 {
        crash(&mut log, 0, GUILTY, run);
    }
    log.record_served(at(1), GUILTY);
    crash(&mut log, 2, GUILTY, 2);
    assert_eq!(log.barred(at(3), GUILTY), None);
    for run in 3..5 {
        crash(&mut log, 2, GUILTY, run);
    }
    assert!(log.barred(at(3), GUILTY).is_some());
    log.record_served(at(4), GUILTY);
    assert_eq!(log.barred(at(4), GUILTY), None);
}

#[test]
fn crashes_far_apart_bar_nothing() {
    let mut log = CrashLog::default();
    for run in 0..20 {
        log.record_crash(at(u64::from(run) * 31), GUILTY, run);
        assert_eq!(log.barred(at(u64::from(run) * 31), GUILTY), None);
    }
}

/// Guards against healthy requests that are barred because they were in flight at the same workers.
#[test]
fn crashes_that_a_barred_request_explains_are_held_against_no_other() {
    let mut log = CrashLog::default();
    for run in 0..3 {
        crash(&mut log, 0, GUILTY, run);
        crash(&mut log, 0, BYSTANDER, run);
    }
    assert!(log.barred(at(1), GUILTY).is_some());
    for run in 3..5 {
        crash(&mut log, 1, BYSTANDER, run);
    }
    assert_eq!(log.barred(at(2), BYSTANDER), None);
    crash(&mut log, 1, BYSTANDER, 5);
    assert!(log.barred(at(2), BYSTANDER).is_some());
}

#[test]
fn news_bar_a_request_elsewhere_and_end_that_too() {
    let mut here = CrashLog::default();
    let mut there = CrashLog::default();
    for run in 0..3 {
        crash(&mut here, 0, GUILTY, run);
    }
    let news = here.news(at(1), 8);
    assert_eq!(news.len(), 3);
    for news in news {
        there.adopt(at(1), news);
    }
    assert!(there.barred(at(1), GUILTY).is_some());
    here.record_served(at(2), GUILTY);
    for news in here.news(at(2), 8) {
        there.adopt(at(2), news);
    }
    assert_eq!(there.barred(at(2), GUILTY), None);
    // A crash from before the response that arrives late changes nothing.
    for run in 0..3 {
        let late = CrashNews {
            age: Span::secs(3),
            request: GUILTY,
            run: Some(run),
        };
        assert!(!there.adopt(at(3), late));
    }
    assert_eq!(there.barred(at(3), GUILTY), None);
}

#[test]
fn old_news_is_not_told_but_bars_are() {
    let mut log = CrashLog::default();
    for run in 0..3 {
        crash(&mut log, 0, GUILTY, run);
    }
    assert!(log.news(at(4), 8).is_empty());
    let mut other = CrashLog::default();
    for turn in 0..3 {
        for news in log.barred_news(at(30), turn) {
            other.adopt(at(30), news);
        }
    }
    assert_eq!(log.barred(at(30), GUILTY), other.barred(at(30), GUILTY));
    assert!(other.barred(at(600), GUILTY).is_some());
    assert_eq!(other.barred(at(601), GUILTY), None);
}

/// Guards against a daemon that takes all that happened before its start for one moment.
#[test]
fn a_daemon_that_has_just_started_learns_what_happened_before() {
    let mut log = CrashLog::default();
    for run in 0..3 {
        crash(&mut log, 0, GUILTY, run);
    }
    let mut other = CrashLog::default();
    for news in log.barred_news(at(30), 0) {
        other.adopt(Time::ZERO, news);
    }
    let left = log.barred(at(30), GUILTY);
    assert!(left.is_some());
    assert_eq!(other.barred(Time::ZERO, GUILTY), left);
}

#[test]
fn memory_is_bounded_and_the_worst_requests_are_kept() {
    let mut log = CrashLog::default();
    for run in 0..3 {
        crash(&mut log, 0, GUILTY, run);
    }
    for number in 0..10_000 {
        log.record_crash(at(1), Fingerprint(100 + number), 100 + number as u32);
    }
    assert!(log.barred(at(1), GUILTY).is_some());
    assert!(log.len() <= 2_048);
    assert!(log.news(at(1), 8).len() <= 8);
    log.prune(at(300));
    assert_eq!(log.len(), 1);
    log.prune(at(601));
    assert!(log.is_empty());
}

quickcheck::quickcheck! {
    /// Daemons that learn the same in different orders bar the same requests.
    fn order_of_news_matters_not_for_one_request(runs: Vec<u8>, seed: u64) -> bool {
        let mut shuffled = runs.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let barred = |runs: &[u8]| {
            let mut log = CrashLog::default();
            for run in runs {
                let age = Span::millis(u64::from(*run) * 7);
                let news = CrashNews { age, request: GUILTY, run: Some(u32::from(*run)) };
                log.adopt(at(0), news);
            }
            log.barred(at(1), GUILTY).is_some()
        };
        barred(&runs) == barred(&shuffled)
    }
}
