//! Each promise with records written by hand: one that breaks it by the smallest step, and one that
//! just holds.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    judge::{Bounds, Entry, Event, Outcome, Promise, Record, RetryBound, Subject, judge},
    unit::{Name, Span, Time},
};

const SERVICE: &str = "s";
const CENTRE: &str = "a";

fn at(millis: u64) -> Time {
    Time::at(Span::millis(millis))
}

fn bounds() -> Bounds {
    Bounds {
        answer_slack: Span::millis(500),
        cold: [(Name::from(SERVICE), 3.0)].into_iter().collect(),
        drain: Span::millis(2_000),
        evacuation: Span::millis(5_000),
        lost: 0,
        memory: 1_000,
        quotas: [(Name::from("account"), 3.0)].into_iter().collect(),
        quota_window: Span::millis(5_000),
        retries: RetryBound {
            extra: 1.0,
            ratio: 0.5,
            window: Span::millis(4_000),
        },
        settle: Span::millis(3_000),
    }
}

/// A record that a test adds to.
#[derive(Default)]
struct Story(Vec<Entry>);

impl Story {
    /// A worker `w` that serves from the start.
    fn new() -> Self {
        Self::default().joined(0, "w")
    }

    fn event(mut self, millis: u64, event: Event) -> Self {
        self.0.push(Entry {
            at: at(millis),
            event,
        });
        self
    }

    fn joined(self, millis: u64, worker: &str) -> Self {
        self.event(
            millis,
            Event::Joined {
                worker: worker.into(),
                centre: CENTRE.into(),
                service: SERVICE.into(),
            },
        )
    }

    /// A request of a connection opened just before, that isn't idempotent if its id begins with `p`.
    fn sent(self, millis: u64, id: &str) -> Self {
        self.event(
            millis,
            Event::Sent {
                request: id.into(),
                account: Some("account".into()),
                daemon: "d".into(),
                idempotent: !id.starts_with('p'),
                max_attempts: 2,
                opened: at(millis),
                service: SERVICE.into(),
                timeout: Span::millis(1_000),
            },
        )
    }

    fn arrived(self, millis: u64, id: &str, worker: &str, cold: bool) -> Self {
        self.event(
            millis,
            Event::Arrived {
                request: id.into(),
                worker: worker.into(),
                cold,
            },
        )
    }

    fn began(self, millis: u64, id: &str, worker: &str) -> Self {
        self.event(
            millis,
            Event::Began {
                request: id.into(),
                worker: worker.into(),
            },
        )
    }

    fn answered(self, millis: u64, id: &str, outcome: Outcome) -> Self {
        self.event(
            millis,
            Event::Answered {
                request: id.into(),
                outcome,
            },
        )
    }

    fn disrupted(self, from: u64, to: u64, subject: Subject) -> Self {
        self.event(
            from,
            Event::Disrupted {
                subject,
                until: at(to),
            },
        )
    }

    fn drained(self, millis: u64) -> Self {
        self.event(millis, Event::Drained { worker: "w".into() })
    }

    fn evacuated(self, millis: u64) -> Self {
        self.event(
            millis,
            Event::Evacuated {
                centre: CENTRE.into(),
            },
        )
    }

    fn returned(self, millis: u64) -> Self {
        self.event(
            millis,
            Event::Returned {
                centre: CENTRE.into(),
            },
        )
    }

    /// The promises that are broken.
    fn broken(self) -> Vec<Promise> {
        let breaches = judge(&Record::new(bounds(), self.0));
        breaches.iter().map(|breach| breach.promise).collect()
    }
}

fn daemon() -> Subject {
    Subject::Daemon("d".into())
}

fn worker() -> Subject {
    Subject::Worker("w".into())
}

#[test]
fn what_is_not_idempotent_runs_at_most_once() {
    let once = || Story::new().sent(0, "p1").began(1, "p1", "w");
    assert_eq!(once().broken(), []);
    assert_eq!(once().began(2, "p1", "w").broken(), [Promise::AtMostOnce]);
    let idempotent = Story::new().sent(0, "g1").began(1, "g1", "w");
    assert_eq!(idempotent.began(2, "g1", "w").broken(), []);
}

#[test]
fn what_is_reported_as_not_run_never_runs() {
    let refused = || {
        Story::new()
            .sent(0, "p1")
            .answered(9, "p1", Outcome::NotRun)
    };
    assert_eq!(refused().broken(), []);
    assert_eq!(refused().began(1, "p1", "w").broken(), [Promise::NotRun]);
    // Also after the promise was given.
    assert_eq!(refused().began(999, "p1", "w").broken(), [Promise::NotRun]);
    let failed = Story::new().sent(0, "p1").began(1, "p1", "w");
    assert_eq!(failed.answered(9, "p1", Outcome::Failed).broken(), []);
}

#[test]
fn workers_run_only_what_was_sent() {
    assert_eq!(
        Story::new().began(1, "x", "w").broken(),
        [Promise::Requested]
    );
}

#[test]
fn a_request_reaches_no_more_workers_than_its_route_allows() {
    let two = || {
        Story::new()
            .sent(0, "g1")
            .began(1, "g1", "w")
            .began(2, "g1", "v")
    };
    assert_eq!(two().broken(), []);
    assert_eq!(two().began(3, "g1", "u").broken(), [Promise::MaxAttempts]);
    // One that was cut off meanwhile doesn't count.
    let cut = two().began(3, "g1", "u").disrupted(1, 2, worker());
    assert_eq!(cut.broken(), []);
}

#[test]
fn callers_get_their_own_answers() {
    let answer = |outcome| Story::new().sent(0, "g1").answered(9, "g1", outcome);
    assert_eq!(answer(Outcome::Served).broken(), []);
    assert_eq!(answer(Outcome::Failed).broken(), []);
    assert_eq!(answer(Outcome::Wrong).broken(), [Promise::OwnAnswer]);
}

#[test]
fn what_was_taken_is_answered() {
    let closed = || {
        Story::new()
            .sent(100, "g1")
            .arrived(101, "g1", "w", false)
            .answered(200, "g1", Outcome::Closed)
    };
    assert_eq!(closed().broken(), [Promise::Answered]);
    // A disruption excuses it that meets the time of the connection, or of the worker's work.
    for (from, to, excused) in [
        (0, 99, false),
        (0, 100, true),
        (200, 300, true),
        (201, 300, false),
    ] {
        let expected = if excused {
            vec![]
        } else {
            vec![Promise::Answered]
        };
        for subject in [daemon(), worker()] {
            let story = closed().disrupted(from, to, subject);
            assert_eq!(story.broken(), expected, "{from} {to}");
        }
    }
}

#[test]
fn a_cold_worker_gets_no_more_in_a_second_than_it_bears() {
    let fill = |last: u64, cold: bool| {
        let mut story = Story::new();
        for (index, millis) in [1_000, 1_400, 1_999, last].into_iter().enumerate() {
            let id = format!("g{index}");
            story = story
                .sent(millis, &id)
                .arrived(millis, &id, "w", cold)
                .answered(millis + 1, &id, Outcome::Served);
        }
        story
    };
    assert_eq!(fill(1_999, true).broken(), [Promise::ColdStart]);
    assert_eq!(fill(2_000, true).broken(), []);
    assert_eq!(fill(1_999, false).broken(), []);
    // One that was sent before the second doesn't count in it.
    let late = fill(1_999, true)
        .0
        .into_iter()
        .map(|mut entry| {
            if matches!(&entry.event, Event::Sent { request, .. } if &**request == "g3") {
                entry.at = at(999);
            }
            entry
        })
        .collect();
    assert_eq!(Story(late).broken(), []);
}

#[test]
fn a_draining_worker_gets_nothing_after_its_bound() {
    let reached = |millis| {
        Story::new()
            .drained(1_000)
            .sent(millis, "g1")
            .arrived(millis, "g1", "w", false)
            .answered(millis + 1, "g1", Outcome::Served)
    };
    assert_eq!(reached(3_000).broken(), []);
    let broken = [Promise::Drain];
    assert_eq!(Story(reached(3_001).0).broken(), broken);
    // It is another process run that starts under the id.
    assert_eq!(reached(3_001).joined(2_000, "w").broken(), []);
    // Changes spread late during a disruption, and for the settling time after it.
    assert_eq!(
        reached(3_001).disrupted(3_001, 9_000, daemon()).broken(),
        []
    );
    assert_eq!(
        reached(4_001)
            .disrupted(0, 1_001, Subject::Spreading)
            .broken(),
        [],
    );
    let before = Story::new().drained(4_001).sent(6_002, "g1");
    let before = before
        .arrived(6_002, "g1", "w", false)
        .answered(6_003, "g1", Outcome::Served)
        .disrupted(0, 1_000, Subject::Spreading);
    assert_eq!(before.broken(), broken);
}

#[test]
fn an_evacuated_data_centre_gets_nothing_after_its_bound() {
    let reached = |millis| {
        Story::new()
            .evacuated(1_000)
            .sent(millis, "g1")
            .arrived(millis, "g1", "w", false)
            .answered(millis + 1, "g1", Outcome::Served)
    };
    assert_eq!(reached(6_000).broken(), []);
    assert_eq!(reached(6_001).broken(), [Promise::Evacuation]);
    assert_eq!(
        reached(6_001).returned(6_002).broken(),
        [Promise::Evacuation]
    );
    assert_eq!(reached(6_001).returned(6_001).broken(), []);
    assert_eq!(
        reached(6_001).disrupted(0, 1, Subject::Spreading).broken(),
        [],
    );
}

#[test]
fn retries_keep_within_their_budget() {
    // Two requests allow 0.5 x 2 + 1 retries in a window.
    let retries = |count: u64| {
        let mut story = Story::new().sent(1_000, "g1").sent(1_001, "g2");
        for index in 0..=count {
            story = story.arrived(2_000 + index, "g1", "w", false);
        }
        story
            .answered(3_000, "g1", Outcome::Failed)
            .answered(3_000, "g2", Outcome::Failed)
    };
    let broken = |story: Story| -> Vec<Promise> {
        let retry = |promise: &Promise| *promise == Promise::RetryBudget;
        story.broken().into_iter().filter(retry).collect()
    };
    assert_eq!(broken(retries(2)), []);
    assert_eq!(broken(retries(3)), [Promise::RetryBudget]);
}

#[test]
fn an_account_runs_no_more_than_its_quota_in_a_window() {
    let run = |last: u64| {
        let mut story = Story::new();
        for (index, millis) in [1_000, 2_000, 3_000, last].into_iter().enumerate() {
            let id = format!("g{index}");
            story = story.sent(millis, &id).began(millis, &id, "w").answered(
                millis + 1,
                &id,
                Outcome::Served,
            );
        }
        story
    };
    assert_eq!(run(5_999).broken(), [Promise::Quota]);
    assert_eq!(run(6_000).broken(), []);
}

#[test]
fn most_overdue_requests_are_answered_soon_after_the_timeout() {
    let answers = |times: &[u64]| {
        let mut story = Story::new();
        for (index, millis) in times.iter().enumerate() {
            let id = format!("g{index}");
            story = story.sent(0, &id);
            if *millis > 0 {
                story = story.answered(*millis, &id, Outcome::Failed);
            }
        }
        story
    };
    assert_eq!(answers(&[1_000, 1_000]).broken(), []);
    // Of two that are overdue one may be late.
    assert_eq!(answers(&[1_500, 1_501]).broken(), []);
    assert_eq!(
        answers(&[1_001, 1_501, 1_501]).broken(),
        [Promise::AnsweredByTimeout; 2]
    );
    // One that is never answered is late once the record goes on for so long.
    let silent = || answers(&[0]);
    assert_eq!(silent().joined(1_500, "v").broken(), []);
    assert_eq!(
        silent().joined(1_501, "v").broken(),
        [Promise::AnsweredByTimeout]
    );
    let disrupted = silent()
        .joined(1_501, "v")
        .disrupted(1_500, 1_600, daemon());
    assert_eq!(disrupted.broken(), []);
}

#[test]
fn a_daemon_takes_no_more_memory_than_it_may() {
    let peak = |bytes| {
        let daemon = "d".into();
        Story::new().event(9, Event::PeakMemory { daemon, bytes })
    };
    assert_eq!(peak(1_000).broken(), []);
    assert_eq!(peak(1_001).broken(), [Promise::Memory]);
}
