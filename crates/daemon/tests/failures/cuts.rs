//! Daemons that are cut off from all workers, while callers, the store and other daemons reach them.

use {
    crate::support::{default_plan, run_load},
    standin::{Cut, Fleet, FleetPlan, Outcome},
    std::thread,
    std::time::Duration,
};

/// From when after a cut began callers must be served again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Four daemons, of which some are cut off from all workers for longer than the window.
fn cut_fleet(daemons: &[usize], cut: Cut) -> Fleet {
    let fleet = Fleet::start(&FleetPlan {
        proxied: true,
        ..default_plan()
    })
    .expect("a fleet");
    // Connections to workers are open before the cut.
    run_load(&fleet, &[0, 1, 2, 3], 500);
    for daemon in daemons {
        fleet.cut_from_workers(*daemon, Some(cut));
    }
    thread::scope(|scope| {
        scope.spawn(|| run_load(&fleet, &[0, 1, 2, 3], 2_500));
        thread::sleep(STABLE_WINDOW);
    });
    fleet
}

/// Asserts that the first tries at cut daemons are served as well as the users' rule asks: at least
/// two thirds as often as those elsewhere, which are all served here.
fn assert_served_while_cut(cut: Cut) {
    let fleet = cut_fleet(&[0, 2], cut);
    let report = run_load(&fleet, &[0, 2], 1_500);
    let served = report.count(Outcome::Served);
    assert!(
        3 * served >= 2 * report.requests.len(),
        "{cut:?}\n{}",
        report.text()
    );
}

#[test]
fn a_daemon_whose_links_to_all_workers_hang_serves_its_callers() {
    assert_served_while_cut(Cut::Hang);
}

#[test]
fn a_daemon_whose_links_to_all_workers_are_reset_serves_its_callers() {
    assert_served_while_cut(Cut::Reset);
}

#[test]
fn a_daemon_that_opens_no_new_links_to_workers_serves_its_callers() {
    assert_served_while_cut(Cut::RefuseNew);
}
