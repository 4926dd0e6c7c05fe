//! The arithmetic of allowances, and limits that change.

use {
    crate::harness::{BOUNDS, Fleet, account, bound},
    conf::QuotaBounds,
    quickcheck::quickcheck,
    quota::{Admission, Allowance, Quota, QuotaAction, RequestId, Voter},
    site::Account,
    unit::{Rate, Span, Time},
};

quickcheck! {
    /// Guards against parts of an allowance that add up to more than the bound.
    fn parts_of_an_allowance_stay_within_the_bound(milli: u32, burst: u16, overshoot: u8, slack: u8) -> bool {
        let rate = f64::from(milli % 2_000_000) / 1e3;
        let bounds = QuotaBounds {
            overshoot: f64::from(overshoot % 50) / 100.0,
            slack: f64::from(slack % 60),
            window: Span::secs(5),
        };
        let allowance = Allowance::new(Rate::per_second(rate).expect("valid"), burst.into(), &bounds);
        let quota = rate * 5.0 + f64::from(burst);
        let bound = quota * (1.0 + bounds.overshoot) + bounds.slack;
        allowance.most_in(bounds.window) <= bound + 1e-6 && allowance.capacity >= bound.min(1.0)
    }
}

/// Guards against a bucket that can't hold what an account may send at once.
#[test]
fn a_bucket_holds_the_burst() {
    for (rate, burst) in [(0.2, 0), (10.0, 50), (200.0, 1_000)] {
        let rate = Rate::per_second(rate).expect("valid");
        let allowance = Allowance::new(rate, burst, &BOUNDS);
        assert!(allowance.capacity >= f64::from(burst) + 8.0);
        assert!(allowance.refill_rate >= rate.as_per_second());
        assert!(allowance.reserve >= 1);
    }
}

#[test]
fn a_burst_is_served_at_once_and_a_second_one_is_not() {
    let mut fleet = Fleet::new(13, 1, &[(2.0, 100)]);
    fleet.run(Span::secs(70));
    let nodes = fleet.all();
    fleet.add_load(0, 2_000.0, Span::millis(50), &nodes);
    fleet.run(Span::secs(1));
    let refused = fleet.records[0].refused.len();
    let admitted = fleet.records[0].admitted.len();
    assert!(admitted >= 95 && refused <= 3, "{admitted} {refused}");
    fleet.add_load(0, 2_000.0, Span::millis(50), &nodes);
    fleet.run(Span::secs(1));
    assert!(fleet.records[0].admitted.len() <= bound(&fleet.accounts[0]) as usize);
}

#[test]
fn a_caller_every_five_seconds_is_served_at_a_small_rate() {
    let mut fleet = Fleet::new(118, 2, &[(0.2, 0)]);
    fleet.run(Span::secs(10));
    for turn in 0..40 {
        let node = turn * 11 % fleet.nodes.len();
        fleet.add_request(0, node);
        fleet.run(Span::secs(5));
    }
    let record = &fleet.records[0];
    assert_eq!(record.refused.len(), 0, "of {}", record.admitted.len());
}

/// Guards against a grantor that keeps the tokens of the former limit.
#[test]
fn a_lowered_limit_is_in_force_after_a_window() {
    let mut fleet = Fleet::new(13, 3, &[(100.0, 200)]);
    let nodes = fleet.all();
    fleet.run(Span::secs(10));
    fleet.add_load(0, 500.0, Span::secs(30), &nodes);
    fleet.run(Span::secs(10));
    fleet.accounts[0] = account(0, 2.0, 0);
    for index in 0..13 {
        fleet.configure(index);
    }
    let changed = fleet.now;
    fleet.run(Span::secs(20));
    let record = &mut fleet.records[0];
    record.admitted.retain(|at| *at >= changed);
    fleet.assert_bounds();
}

#[test]
fn a_raised_limit_is_used() {
    let mut fleet = Fleet::new(13, 4, &[(2.0, 0)]);
    let nodes = fleet.all();
    fleet.run(Span::secs(10));
    fleet.accounts[0] = account(0, 50.0, 0);
    for index in 0..13 {
        fleet.configure(index);
    }
    fleet.run(Span::secs(1));
    let start = fleet.now;
    fleet.add_load(0, 45.0, Span::secs(20), &nodes);
    fleet.run(Span::secs(21));
    assert!(fleet.records[0].refused_share(start) <= 0.01);
}

fn one_daemon(account: &Account) -> (Quota, Time) {
    let now = Time::at(Span::secs(1));
    let mut quota = Quota::new(crate::harness::ip(0), now, fastrand::Rng::with_seed(1));
    quota.configure(now, [account], Some(BOUNDS));
    (quota, now)
}

/// Guards against requests that wait forever after their account's quota has changed.
#[test]
fn waiting_requests_are_decided_when_their_account_goes() {
    let limited = account(0, 2.0, 0);
    let (mut quota, now) = one_daemon(&limited);
    let id = RequestId(1);
    let wait = Span::millis(150);
    assert_eq!(
        quota.admit(now, id, &limited.name, wait),
        Admission::Waiting
    );
    quota.configure(now, [], Some(BOUNDS));
    let actions = quota.take_actions();
    assert!(matches!(actions[..], [QuotaAction::Refuse(other, _)] if other == id));

    let (mut quota, now) = one_daemon(&limited);
    assert_eq!(
        quota.admit(now, id, &limited.name, wait),
        Admission::Waiting
    );
    let unlimited = Account {
        rate: None,
        ..limited
    };
    quota.configure(now, [&unlimited], Some(BOUNDS));
    assert_eq!(quota.take_actions(), [QuotaAction::Admit(id)]);
}

/// Guards against an account that gets a daemon's share of its reserve once more with each change of
/// the configuration that drops it for a moment.
#[test]
fn an_account_that_comes_back_has_used_its_reserve() {
    let limited = account(0, 10.0, 50);
    let (mut quota, started) = one_daemon(&limited);
    // No daemon answers, so there is no grantor.
    let voters = (0..3).map(|at| Voter {
        eligible: true,
        ip: crate::harness::ip(at),
        reads: true,
    });
    quota.set_members(started, voters.collect());
    let now = started + BOUNDS.window;
    let mut next = 0;
    let mut admit = |quota: &mut Quota, now: Time| {
        // Requests that wait are decided first.
        quota.tick(now);
        let actions = quota.take_actions();
        let is_admitted = |action: &&QuotaAction| matches!(action, QuotaAction::Admit(_));
        let mut admitted = actions.iter().filter(is_admitted).count();
        for _ in 0..100 {
            next += 1;
            let admission = quota.admit(now, RequestId(next), &limited.name, Span::ZERO);
            admitted += usize::from(admission == Admission::Admitted);
        }
        admitted
    };
    let first = admit(&mut quota, now);
    assert!(first > 0);
    quota.configure(now, [], Some(BOUNDS));
    quota.configure(now, [&limited], Some(BOUNDS));
    assert_eq!(admit(&mut quota, now + Span::secs(1)), 0);
    assert_eq!(admit(&mut quota, now + BOUNDS.window), first);
}

/// Guards against decisions on requests whose caller is gone.
#[test]
fn a_cancelled_request_gets_no_decision() {
    let limited = account(0, 2.0, 0);
    let (mut quota, now) = one_daemon(&limited);
    let wait = Span::millis(150);
    assert_eq!(
        quota.admit(now, RequestId(1), &limited.name, wait),
        Admission::Waiting
    );
    quota.cancel(&limited.name, RequestId(1));
    quota.tick(now + Span::secs(1));
    assert_eq!(quota.take_actions(), []);
}

#[test]
fn a_request_is_refused_when_its_wait_is_over() {
    let limited = account(0, 2.0, 0);
    let (mut quota, now) = one_daemon(&limited);
    let wait = Span::millis(150);
    assert_eq!(
        quota.admit(now, RequestId(1), &limited.name, wait),
        Admission::Waiting
    );
    assert!(quota.next_tick().is_some_and(|at| at <= now + wait));
    quota.tick(now + Span::millis(149));
    assert_eq!(quota.take_actions(), []);
    quota.tick(now + wait);
    assert!(matches!(
        quota.take_actions()[..],
        [QuotaAction::Refuse(RequestId(1), _)]
    ));
}

/// Guards against refused callers that all come back at one moment.
#[test]
fn refused_callers_are_told_different_times() {
    let limited = account(0, 2.0, 0);
    let (mut quota, now) = one_daemon(&limited);
    let mut delays = Vec::new();
    for index in 0..20 {
        let id = RequestId(index);
        quota.admit(now, id, &limited.name, Span::ZERO);
    }
    quota.tick(now);
    for action in quota.take_actions() {
        if let QuotaAction::Refuse(_, delay) = action {
            delays.push(delay);
        }
    }
    assert_eq!(delays.len(), 20);
    delays.sort();
    let (first, last) = (delays[0], delays[19]);
    assert!(
        last.saturating_sub(first) >= Span::secs(8),
        "{first:?} {last:?}"
    );
}

/// Guards against quotas where a deployment has no bounds or no limit for the account.
#[test]
fn requests_without_a_quota_are_admitted() {
    let limited = account(0, 2.0, 0);
    let (mut quota, now) = one_daemon(&limited);
    let unlimited = Account {
        rate: None,
        ..account(1, 0.0, 0)
    };
    quota.configure(now, [&limited, &unlimited], Some(BOUNDS));
    let admit = |quota: &mut Quota, name: &str| quota.admit(now, RequestId(1), name, Span::ZERO);
    assert_eq!(admit(&mut quota, &unlimited.name), Admission::Admitted);
    assert_eq!(admit(&mut quota, "unknown"), Admission::Admitted);
    quota.configure(now, [&limited], None);
    assert_eq!(admit(&mut quota, &limited.name), Admission::Admitted);
    assert_eq!(quota.next_tick(), None);
}
