//! Quotas of client accounts over a fleet of real daemons.

use {
    crate::support::{default_plan, state_dump, wait_for_config, wait_until},
    conf::QuotaBounds,
    site::{Account, ApiKeys, KeyDigest},
    standin::{Fleet, FleetPlan, LoadProfile, Report},
    std::{sync::Arc, time::Duration},
    unit::{Rate, Span},
};

const KEY: &str = "key-a";
const DAEMONS: [usize; 4] = [0, 1, 2, 3];
const WINDOW: Span = Span::secs(2);
const SLACK: f64 = 5.0;
const OVERSHOOT: f64 = 0.1;

/// A fleet whose only account may send `rate` requests a second.
fn start_limited(rate: f64) -> Fleet {
    let plan = FleetPlan {
        quotas: Some(QuotaBounds {
            overshoot: OVERSHOOT,
            slack: SLACK,
            window: WINDOW,
        }),
        ..default_plan()
    };
    let fleet = Fleet::start(&plan).expect("a fleet");
    let mut config = standin::config(2);
    let account = Account {
        burst: 0,
        keys: vec![KeyDigest::of(KEY)],
        name: "acme".into(),
        priority: None,
        rate: Rate::per_second(rate),
    };
    config.accounts.insert("acme".into(), Arc::new(account));
    let mut keys = ApiKeys::default();
    keys.insert("acme".into(), vec![KEY.to_owned()]);
    fleet.store.put_config_with(&config, &keys);
    wait_for_config(&fleet, 2);
    wait_until("all daemons know who grants tokens", || {
        DAEMONS.iter().all(|at| {
            let dump = state_dump(&fleet, *at);
            dump["accounts"]["shown"][0]["quota"]["grantor"].is_string()
        })
    });
    fleet
}

fn play(fleet: &Fleet, rate: f64, seconds: u64) -> Report {
    let load = LoadProfile {
        deadline: Span::secs(1),
        duration: Duration::from_secs(seconds),
        keys: vec![KEY.to_owned()],
        rate,
        skew: 0.0,
        write_share: 0.3,
    };
    load.run(fleet, &DAEMONS)
}

/// The most executions that began in a window.
fn busiest_window(fleet: &Fleet) -> usize {
    let mut began: Vec<_> = fleet
        .executions
        .entries()
        .iter()
        .map(|run| run.began)
        .collect();
    began.sort_unstable();
    let window: Duration = WINDOW.into();
    let from = |at: &std::time::Instant| began.partition_point(|other| *other < *at);
    let until = |at: &std::time::Instant| began.partition_point(|other| *other < *at + window);
    let counts = began.iter().map(|at| until(at) - from(at));
    counts.max().unwrap_or_default()
}

/// Guards against daemons that each let an account send its whole quota.
#[test]
fn an_account_that_sends_ten_times_its_rate_is_held_to_it_over_all_daemons() {
    let rate = 20.0;
    let fleet = start_limited(rate);
    play(&fleet, 10.0 * rate, 5);
    let bound = rate * WINDOW.as_secs() * (1.0 + OVERSHOOT) + SLACK;
    let most = busiest_window(&fleet);
    assert!(most as f64 <= bound, "{most} in a window, {bound} allowed");
    let runs = fleet.executions.entries().len();
    assert!(runs as f64 >= rate * 4.0, "{runs} of an allowance of 100");
}

/// Guards against requests within the quota that are refused.
#[test]
fn an_account_within_its_rate_is_served() {
    let fleet = start_limited(60.0);
    let report = play(&fleet, 30.0, 5);
    let refused = report.count(standin::Outcome::NotRun);
    assert!(refused * 100 <= report.requests.len(), "{}", report.text());
}

/// Guards against a fleet that refuses all requests of accounts for long after the daemon that
/// grants their tokens was killed.
#[test]
fn another_daemon_grants_tokens_after_a_kill() {
    let mut fleet = start_limited(60.0);
    let grantor = |fleet: &Fleet, at: usize| {
        let dump = state_dump(fleet, at);
        let text = dump["accounts"]["shown"][0]["quota"]["grantor"].clone();
        text.as_str().map(str::to_owned)
    };
    let first = grantor(&fleet, 0).expect("a grantor");
    let killed = DAEMONS
        .into_iter()
        .find(|at| fleet.directory(*at).ip().to_string() == first)
        .expect("a daemon of the fleet");
    fleet.kill(killed);
    let other = (killed + 1) % DAEMONS.len();
    wait_until("another daemon grants tokens", || {
        grantor(&fleet, other).is_some_and(|next| next != first)
    });
}
