//! Limits that hold as a sum over the fleet, and the verdicts.

use {
    crate::simulation::{Fault, Outcome, PARAMS, Scenario, object, play},
    rollout::{Conditions, Evidence, Report, Rollout, Side},
    site::RolloutState,
    unit::{Span, Time},
};

const SEEDS: u64 = 3;
const THIRD: Fault = Fault::Fails {
    part: 1.0 / 3.0,
    from: Span::ZERO,
};

fn plays(scenario: Scenario) -> Vec<Outcome> {
    (0..SEEDS).map(|seed| play(&scenario, seed)).collect()
}

#[test]
fn a_bad_version_is_rolled_back_within_its_exposure() {
    // Guards against shares that add up to more than the fleet's, and against a late verdict.
    for (daemons, rate) in [(13, 200.0), (13, 800.0), (130, 200.0)] {
        for fault in [THIRD, Fault::Slow(4.0)] {
            for outcome in plays(Scenario::new(daemons, rate, fault)) {
                assert_eq!(outcome.state, Some(RolloutState::RolledBack), "{outcome:?}");
                assert!(outcome.overshoot(&PARAMS) <= 0.0, "{outcome:?}");
                assert_eq!(outcome.late_sends, 0, "{outcome:?}");
            }
        }
    }
}

#[test]
fn a_good_version_is_completed_and_no_request_goes_to_the_old_one_then() {
    // Guards against a state that is written before all daemons have shifted.
    for (daemons, rate) in [(13, 50.0), (13, 800.0), (130, 200.0)] {
        for outcome in plays(Scenario::new(daemons, rate, Fault::None)) {
            assert_eq!(outcome.state, Some(RolloutState::Completed), "{outcome:?}");
            assert_eq!(outcome.old_after, 0, "{outcome:?}");
        }
    }
}

#[test]
fn a_disruption_of_both_versions_leads_to_no_verdict_against_one() {
    // Guards against a comparison with the target's own past in place of the old version's present.
    let mut scenario = Scenario::new(13, 200.0, Fault::None);
    scenario.disruption = Some((Span::secs(15), Span::secs(22)));
    for outcome in plays(scenario) {
        assert_eq!(outcome.state, Some(RolloutState::Completed), "{outcome:?}");
    }
}

#[test]
fn a_fault_that_begins_late_is_found() {
    // Guards against counts in which late failures are lost among early successes.
    let fault = Fault::Fails {
        part: 1.0 / 3.0,
        from: Span::secs(25),
    };
    for outcome in plays(Scenario::new(13, 800.0, fault)) {
        assert_eq!(outcome.state, Some(RolloutState::RolledBack), "{outcome:?}");
        assert_eq!(outcome.late_sends, 0, "{outcome:?}");
    }
}

#[test]
fn a_bad_version_is_stopped_while_the_store_takes_no_write() {
    // Guards against exposure that goes on until a verdict is written.
    let mut scenario = Scenario::new(13, 800.0, THIRD);
    scenario.store_down = true;
    for outcome in plays(scenario) {
        assert_eq!(outcome.state, None, "{outcome:?}");
        assert!(outcome.bad >= 30, "{outcome:?}");
        assert_eq!(outcome.late_sends, 0, "{outcome:?}");
    }
}

#[test]
fn halves_that_do_not_hear_each_other_stop_within_one_bound_together() {
    // Guards against a bound on bad responses that each part of the fleet uses up by itself.
    let mut scenario = Scenario::new(14, 800.0, THIRD);
    scenario.store_down = true;
    scenario.split_at = Some(Span::ZERO);
    for outcome in plays(scenario) {
        assert_eq!(outcome.late_sends, 0, "{outcome:?}");
        assert!(outcome.overshoot(&PARAMS) <= 0.0, "{outcome:?}");
    }
}

#[test]
fn a_verdict_that_the_store_has_lost_is_written_again_and_holds_meanwhile() {
    // Guards against a second verdict after the store came back from an older copy.
    let mut rng = fastrand::Rng::with_seed(1);
    let back = site::Rollout {
        state: Some(RolloutState::RolledBack),
        ..object(Span::secs(60))
    };
    let mut rollout = Rollout::new(back, PARAMS, Time::ZERO, &mut rng);
    assert_eq!(rollout.decide(Time::ZERO, &[], true), None);
    rollout.update(object(Span::secs(60)));
    assert_eq!(rollout.phase(), rollout::Phase::RolledBack);
    let order = rollout::Order::Write(RolloutState::RolledBack, None);
    assert_eq!(rollout.decide(Time::ZERO, &[], true), Some(order));
}

#[test]
fn news_of_four_reports_stays_small() {
    // Guards against heartbeats beyond the budget: 30 of them a second, 8 KB a second for rollouts.
    let mut rng = fastrand::Rng::with_seed(1);
    let mut rollout = Rollout::new(object(Span::secs(60)), PARAMS, Time::ZERO, &mut rng);
    let mut counts = Evidence::default();
    for route in [u16::MAX, u16::MAX - 1, u16::MAX - 2] {
        for _ in 0..300 {
            counts.record(route, Side::Old, rollout::Outcome::Served);
        }
        for _ in 0..30 {
            counts.record(route, Side::Target, rollout::Outcome::Served);
        }
    }
    let reports = (0..4).map(|daemon| Report {
        daemon: u32::MAX - daemon,
        incarnation: u32::MAX,
        ..report(900, counts.clone())
    });
    let mut news = rollout.news(Time::at(Span::secs(30)), 0);
    news.reports = reports.collect();
    news.medians = vec![(u16::MAX, 50_000); 3];
    let bytes = bincode::serde::encode_to_vec(&news, bincode::config::standard());
    let bytes = bytes.expect("encodable").len();
    assert!(bytes <= 270, "{bytes} bytes");
}

#[test]
fn a_report_counts_once_however_often_and_in_whatever_order_it_arrives() {
    // Guards against counts that grow with the number of daemons that pass them on.
    let mut rng = fastrand::Rng::with_seed(1);
    let mut rollout = Rollout::new(object(Span::secs(60)), PARAMS, Time::ZERO, &mut rng);
    let mut counts = Evidence::default();
    counts.record(1, Side::Target, rollout::Outcome::Failed);
    let early = report(1, counts.clone());
    counts.record(1, Side::Target, rollout::Outcome::Served);
    let late = report(2, counts);
    for reports in [vec![late.clone(), early.clone()], vec![early, late]] {
        let mut news = rollout.news(Time::ZERO, 0);
        news.reports = reports;
        rollout.adopt(Time::ZERO, news);
    }
    rollout.tick(Time::ZERO, conditions(13, Span::ZERO), 0);
    let total = rollout.evidence().total().target;
    assert_eq!((total.requests, total.failed), (2, 1));
}

#[test]
fn a_daemon_that_hears_nobody_and_has_an_old_view_exposes_nothing() {
    // Guards against a daemon that goes on where no verdict can reach it.
    let mut rng = fastrand::Rng::with_seed(1);
    let mut rollout = Rollout::new(object(Span::secs(60)), PARAMS, Time::ZERO, &mut rng);
    let now = Time::at(Span::secs(10));
    assert!(rollout.is_halted(now), "nothing is known of the fleet yet");
    rollout.tick(now, conditions(1, Span::secs(3)), 0);
    assert!(!rollout.is_halted(now));
    rollout.tick(now, conditions(1, Span::secs(4)), 0);
    assert!(rollout.is_halted(now));
    rollout.tick(now, conditions(13, Span::secs(9)), 0);
    assert!(!rollout.is_halted(now), "the store is down for all");
    let resumed = now + Span::secs(2);
    assert!(rollout.is_halted(resumed), "the process was paused");
}

fn conditions(alive: usize, staleness: Span) -> Conditions {
    Conditions {
        alive,
        registered: 13,
        staleness,
    }
}

fn report(sequence: u32, counts: Evidence) -> Report {
    Report {
        counts,
        daemon: 1,
        incarnation: 1,
        sequence,
        settled: false,
    }
}
