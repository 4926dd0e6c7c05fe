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

#[test]
fn a_request_is_barred_after_three_crashes() {
    let mut log = CrashLog::default();
    for run in 0..MAX_CRASHES as u32 {
        assert_eq!(log.barred(at(0), GUILTY), None);
        let barred = log.record_crash(at(0), GUILTY, run);
        assert_eq!(barred, run as usize + 1 == MAX_CRASHES);
    }
    assert!(log.barred(at(0), GUILTY).is_some());
    assert!(log.barred(at(599), GUILTY).is_some());
    assert_eq!(log.barred(at(600), GUILTY), None);
    assert_eq!(log.barred(at(0), BYSTANDER), None);
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
        log.record_crash(at(0), GUILTY, run);
    }
    log.record_response(at(1), GUILTY);
    log.record_crash(at(2), GUILTY, 2);
    assert_eq!(log.barred(at(2), GUILTY), None);
    for run in 3..5 {
        log.record_crash(at(2), GUILTY, run);
    }
    assert!(log.barred(at(2), GUILTY).is_some());
    log.record_response(at(3), GUILTY);
    assert_eq!(log.barred(at(3), GUILTY), None);
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
    for run in 0..2 {
        log.record_crash(at(0), GUILTY, run);
        log.record_crash(at(0), BYSTANDER, run);
    }
    log.record_crash(at(0), GUILTY, 2);
    log.record_crash(at(0), BYSTANDER, 2);
    assert!(log.barred(at(0), GUILTY).is_some());
    for run in 3..5 {
        log.record_crash(at(1), BYSTANDER, run);
    }
    assert_eq!(log.barred(at(1), BYSTANDER), None);
    log.record_crash(at(1), BYSTANDER, 5);
    assert!(log.barred(at(1), BYSTANDER).is_some());
}

#[test]
fn news_bar_a_request_elsewhere_and_end_that_too() {
    let mut here = CrashLog::default();
    let mut there = CrashLog::default();
    for run in 0..3 {
        here.record_crash(at(0), GUILTY, run);
    }
    let news = here.news(at(1), 8);
    assert_eq!(news.len(), 3);
    for news in news {
        there.adopt(at(1), news);
    }
    assert!(there.barred(at(1), GUILTY).is_some());
    here.record_response(at(2), GUILTY);
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
        log.record_crash(at(0), GUILTY, run);
    }
    assert!(log.news(at(3), 8).is_empty());
    let mut other = CrashLog::default();
    for turn in 0..3 {
        for news in log.barred_news(at(30), turn) {
            other.adopt(at(30), news);
        }
    }
    assert_eq!(log.barred(at(30), GUILTY), other.barred(at(30), GUILTY));
    assert!(other.barred(at(599), GUILTY).is_some());
    assert_eq!(other.barred(at(600), GUILTY), None);
}

#[test]
fn memory_is_bounded_and_the_worst_requests_are_kept() {
    let mut log = CrashLog::default();
    for run in 0..3 {
        log.record_crash(at(0), GUILTY, run);
    }
    for number in 0..10_000 {
        log.record_crash(at(1), Fingerprint(100 + number), 100 + number as u32);
    }
    assert!(log.barred(at(1), GUILTY).is_some());
    assert!(log.len() <= 2_048);
    assert!(log.news(at(1), 8).len() <= 8);
    log.prune(at(61));
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
                let news = CrashNews { age: Span::ZERO, request: GUILTY, run: Some(u32::from(*run)) };
                log.adopt(at(0), news);
            }
            log.barred(at(1), GUILTY)
        };
        barred(&runs) == barred(&shuffled)
    }
}
