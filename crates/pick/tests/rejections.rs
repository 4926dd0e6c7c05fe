//! Outlier ejection: which workers are demoted for their rejections, for how long, and who tries
//! them again.

#![allow(clippy::panic, reason = "a test fails by panicking")]

use {
    fastrand::Rng,
    pick::{AttemptOutcome, Criteria, RejectionNews, Selection, WorkerKey, WorkerTable},
    site::{Worker, WorkerState},
    std::net::{Ipv4Addr, SocketAddrV4},
    unit::{Name, Span, Time},
};

const START: u64 = 10_000;
/// The rejections in a row from which on a worker is left out.
const LEFT_OUT: u64 = 4;

fn at(millis: u64) -> Time {
    Time::at(Span::millis(millis))
}

fn table(workers: usize) -> (WorkerTable, Vec<WorkerKey>) {
    let mut table = WorkerTable::new("front-1".into(), "a".into(), Time::ZERO);
    let worker = |index: usize| Worker {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        heartbeats: 1,
        started_ms: 1,
        centre: "a".into(),
        cold_remaining: Span::ZERO,
        id: Name::from(format!("worker-{index}").as_str()),
        service: "s".into(),
        slots: 4,
        state: WorkerState::Ready,
        version: Name::default(),
    };
    let keys: Vec<WorkerKey> = (0..workers)
        .map(|index| table.upsert(worker(index), at(0)))
        .collect();
    for key in &keys {
        table.record_sent(*key, at(0), false);
        table.record_outcome(*key, at(0), AttemptOutcome::Cancelled, Span::ZERO);
    }
    (table, keys)
}

/// Has a worker reject `count` requests, one after the other, and returns when the last one ended.
fn reject(table: &mut WorkerTable, key: WorkerKey, count: u64) -> u64 {
    for millis in START..START + count {
        table.record_rejected(key, at(millis), at(millis));
    }
    START + count - 1
}

fn ranking(table: &WorkerTable, now: u64) -> Vec<Selection> {
    let criteria = Criteria {
        canary: false,
        skip_busy: false,
        excluded: &[],
        service: "s",
    };
    let mut rng = Rng::with_seed(7);
    table.rank(at(now), &criteria, &mut rng).collect()
}

fn is_ranked(table: &WorkerTable, key: WorkerKey, now: u64) -> bool {
    let ranking = ranking(table, now);
    ranking.iter().any(|selection| selection.key == key)
}

/// Guards against a worker that keeps its rank because its probes succeed.
#[test]
fn a_worker_that_rejects_repeatedly_ranks_last_and_then_is_left_out() {
    let (mut table, keys) = table(3);
    let end = reject(&mut table, keys[0], 2);
    let order = ranking(&table, end);
    assert_eq!(order.len(), 3);
    assert_eq!(order[2].key, keys[0]);
    assert!(order[2].demoted);
    let end = reject(&mut table, keys[0], LEFT_OUT);
    assert!(!is_ranked(&table, keys[0], end));
    assert!(!table.may_send(keys[0], at(end)));
}

/// Guards against a full stop: each further rejection leaves the worker out for longer, but never
/// for more than two seconds where one daemon tries it.
#[test]
fn a_worker_is_left_out_for_longer_with_each_rejected_trial() {
    let (mut table, keys) = table(3);
    let mut now = reject(&mut table, keys[0], LEFT_OUT);
    let mut spans = Vec::new();
    for _ in 0..4 {
        let out = (0..5_000).find(|span| is_ranked(&table, keys[0], now + span));
        let out = out.unwrap_or(5_000);
        spans.push(out);
        now += out;
        table.record_rejected(keys[0], at(now), at(now));
    }
    assert_eq!(spans, [400, 800, 1_600, 1_600]);
}

/// Guards against a herd of requests at a worker that is tried again.
#[test]
fn a_worker_is_tried_by_one_request_at_a_time_until_it_runs_one() {
    let (mut table, keys) = table(3);
    let trial = reject(&mut table, keys[0], LEFT_OUT) + 400;
    assert!(table.may_send(keys[0], at(trial)));
    table.record_sent(keys[0], at(trial), false);
    assert!(!table.may_send(keys[0], at(trial + 1)));
    table.record_outcome(keys[0], at(trial + 9), AttemptOutcome::Failed, Span::ZERO);
    assert!(table.record_accepted(keys[0], at(trial + 9), at(trial)));
    table.record_sent(keys[0], at(trial + 10), false);
    assert!(table.may_send(keys[0], at(trial + 10)));
    let order = ranking(&table, trial + 10);
    assert!(order.iter().all(|selection| !selection.demoted));
}

/// Guards against a late end: a request that was accepted before the rejections shows nothing.
#[test]
fn a_request_that_ran_since_before_the_rejections_doesnt_end_them() {
    let (mut table, keys) = table(3);
    let end = reject(&mut table, keys[0], LEFT_OUT);
    assert!(!table.record_accepted(keys[0], at(end + 1), at(START - 50)));
    assert!(!table.may_send(keys[0], at(end + 1)));
}

/// Guards against counting a burst several times: requests that were in flight together are one
/// piece of evidence.
#[test]
fn rejections_of_requests_in_flight_together_count_once() {
    let (mut table, keys) = table(3);
    for millis in 0..8 {
        table.record_rejected(keys[0], at(START + 10 + millis), at(START));
    }
    let rejections = table.get(keys[0]).map(pick::WorkerRecord::rejections);
    assert_eq!(rejections, Some(1));
}

/// Guards against leaving out so many workers that the others can't carry the load.
#[test]
fn no_more_than_half_of_the_workers_are_left_out() {
    let (mut table, keys) = table(4);
    for key in &keys[..2] {
        reject(&mut table, *key, LEFT_OUT);
    }
    let now = START + LEFT_OUT;
    assert_eq!(ranking(&table, now).len(), 2);
    reject(&mut table, keys[2], LEFT_OUT);
    let order = ranking(&table, now);
    assert_eq!(order.len(), 4);
    assert_eq!(order[0].key, keys[3]);
    assert!(table.may_send(keys[0], at(now)));
}

/// Guards against a fleet in which each daemon must be rejected itself: the news reach the others,
/// which then leave the trials to one of them for some time.
#[test]
fn daemons_tell_each_other_of_a_worker_that_rejects_and_of_its_return() {
    let (mut first, keys) = table(3);
    let (mut second, _) = table(3);
    let other: Name = "front-2".into();
    let centre: Name = "a".into();
    second.set_members([(&other, &centre)].into_iter());
    let mut rng = Rng::with_seed(1);
    let end = reject(&mut first, keys[0], LEFT_OUT);
    let news = first.rejection_news(at(end + 100), 9, &mut rng);
    assert_eq!(news.len(), 1);
    assert_eq!(
        second.adopt_rejection(at(end + 100), news[0]),
        Some(keys[0])
    );
    assert!(!is_ranked(&second, keys[0], end + 100));
    let older = RejectionNews {
        age: Span::millis(150),
        streak: 0,
        ..news[0]
    };
    assert_eq!(second.adopt_rejection(at(end + 100), older), None);
    first.record_accepted(keys[0], at(end + 500), at(end + 410));
    let news = first.rejection_news(at(end + 600), 9, &mut rng);
    assert_eq!(
        second.adopt_rejection(at(end + 600), news[0]),
        Some(keys[0])
    );
    assert!(is_ranked(&second, keys[0], end + 600));
    assert!(
        first
            .rejection_news(at(end + 6_000), 9, &mut rng)
            .is_empty()
    );
}
