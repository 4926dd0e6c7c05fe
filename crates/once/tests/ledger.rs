//! At most once, over arbitrary histories and over the model's counter-examples.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

use {
    once::{Begin, Ledger, Limits, Outcome, Ticket},
    quickcheck::quickcheck,
};

const LIMITS: Limits = Limits {
    grace: 1_000,
    keys: 4,
    ticket: 10_000,
};

fn ledger() -> Ledger<u32> {
    Ledger::new("a".into(), 7, LIMITS)
}

fn ticket(daemon: &str, life: u64, expiry: u64) -> Ticket {
    Ticket {
        daemon: daemon.into(),
        expiry,
        life,
    }
}

quickcheck! {
    /// Whatever comes in whatever order: under one ticket a key runs once, and never after it was
    /// called not run under that ticket.
    fn a_key_runs_once_under_a_ticket(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut ledger = ledger();
        let mut now = 0;
        let mut begun: Vec<(String, u64)> = Vec::new();
        for (what, key, wait) in steps {
            now += u64::from(wait) * 20;
            let key = format!("key-{}", key % 3);
            match what % 4 {
                0 | 1 => {
                    // A ticket's end is a whole second, so that some are used more than once.
                    let expiry = (now / 1_000 + 5) * 1_000;
                    let ticket = ticket("a", 7, expiry);
                    if ledger.begin(now, &key, &ticket, 1) == Begin::Run {
                        let use_ = (key, expiry);
                        if begun.contains(&use_) {
                            return false;
                        }
                        begun.push(use_);
                    }
                }
                2 => ledger.end(&key, Outcome::NotRun, 0),
                _ => ledger.end(&key, Outcome::Ran, 1),
            }
        }
        true
    }

    fn any_text_is_a_ticket_or_is_refused(text: String) -> bool {
        text.parse::<Ticket>().is_ok_and(|ticket| ticket.to_string().parse() == Ok(ticket.clone()))
            || text.parse::<Ticket>().is_err()
    }
}

#[test]
fn a_copy_of_a_refused_request_stays_refused() {
    // Counter-example of the model's mutation FORGETS: the caller asks twice, the first is
    // refused as not run, the caller takes another ticket, then the copy arrives.
    let mut ledger = ledger();
    let old = ticket("a", 7, 5_000);
    assert_eq!(ledger.begin(0, "k", &old, 1), Begin::Run);
    ledger.end("k", Outcome::NotRun, 0);
    assert_eq!(ledger.begin(1, "k", &old, 1), Begin::NotRun);
    let new = ticket("a", 7, 6_000);
    assert_eq!(ledger.begin(2, "k", &new, 1), Begin::Run);
    assert_eq!(ledger.begin(3, "k", &old, 1), Begin::Running);
    ledger.end("k", Outcome::NotRun, 0);
    assert_eq!(ledger.begin(4, "k", &old, 1), Begin::Expired);
}

#[test]
fn another_life_and_another_daemon_refuse() {
    // Counter-examples of the mutations NO_LIFE and NO_DAEMON.
    let mut ledger = ledger();
    assert_eq!(
        ledger.begin(0, "k", &ticket("a", 6, 5_000), 1),
        Begin::Foreign
    );
    assert_eq!(
        ledger.begin(0, "k", &ticket("b", 7, 5_000), 1),
        Begin::Foreign
    );
    assert!(ledger.is_empty());
}

#[test]
fn a_lost_answer_is_never_followed_by_a_second_run() {
    // Counter-example of the mutations RESEND and SAYS_NOT_RUN.
    let mut ledger = ledger();
    let ticket = ticket("a", 7, 5_000);
    assert_eq!(ledger.begin(0, "k", &ticket, 1), Begin::Run);
    ledger.end("k", Outcome::Unknown, 0);
    assert_eq!(ledger.begin(1, "k", &ticket, 1), Begin::Lost);
}

#[test]
fn the_answer_is_given_again() {
    let mut ledger = ledger();
    let ticket = ticket("a", 7, 5_000);
    assert_eq!(ledger.begin(0, "k", &ticket, 1), Begin::Run);
    assert_eq!(ledger.begin(1, "k", &ticket, 1), Begin::Running);
    ledger.end("k", Outcome::Ran, 42);
    assert_eq!(ledger.begin(2, "k", &ticket, 1), Begin::Known(42));
    assert_eq!(ledger.begin(3, "k", &ticket, 2), Begin::Mismatch);
}

#[test]
fn a_key_outlives_every_ticket_that_it_can_come_with() {
    let mut ledger = ledger();
    let early = ticket("a", 7, 5_000);
    assert_eq!(ledger.begin(0, "k", &early, 1), Begin::Run);
    ledger.end("k", Outcome::Ran, 1);
    let late = ticket("a", 7, 10_000);
    assert_eq!(ledger.begin(10_999, "k", &late, 1), Begin::Known(1));
    assert_eq!(ledger.begin(11_000, "k", &late, 1), Begin::Expired);
}

#[test]
fn a_request_that_still_runs_is_not_forgotten() {
    let mut ledger = ledger();
    assert_eq!(ledger.begin(0, "k", &ticket("a", 7, 5_000), 1), Begin::Run);
    let later = ticket("a", 7, 20_000);
    assert_eq!(ledger.begin(11_500, "k", &later, 1), Begin::Running);
}

#[test]
fn a_full_memory_refuses_new_keys() {
    let mut ledger = ledger();
    let ticket = ticket("a", 7, 5_000);
    for key in ["1", "2", "3", "4"] {
        assert_eq!(ledger.begin(0, key, &ticket, 1), Begin::Run);
    }
    assert_eq!(ledger.begin(0, "5", &ticket, 1), Begin::Full);
}
