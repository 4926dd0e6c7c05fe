//! A store that comes back from an older copy: what was written since is gone, and revisions are
//! given out again.

use {
    crate::support::{
        run_load_served, start_fleet, state_dump, usable_workers, wait_for_config, wait_until,
    },
    serde_json::{Value, json},
    standin::{Fleet, StoreFault},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// The kind of daemons' entries in the store.
const MEMBERS: &str = "anvilferry-members";
/// How soon operators and workers write again after a restore.
const WRITING_DELAY: Duration = Duration::from_millis(1_500);

/// The store is away for a moment and comes back from the last copy.
fn restore(fleet: &Fleet) {
    fleet.store.set_fault(StoreFault::Closes);
    thread::sleep(Duration::from_millis(300));
    fleet.store.restore();
    fleet.store.set_fault(StoreFault::None);
}

fn wait_for_evacuations(fleet: &Fleet, centres: &Value) {
    for at in 0..fleet.size() {
        wait_until("the evacuations are known", || {
            state_dump(fleet, at)["evacuated"] == *centres
        });
    }
}

fn wait_for_usable(fleet: &Fleet, count: usize) {
    for at in 0..fleet.size() {
        wait_until("the workers are known", || {
            usable_workers(fleet, at) == count
        });
    }
}

/// Checks for a while that a condition holds.
fn holds_for(what: &str, duration: Duration, holds: impl Fn() -> bool) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        assert!(holds(), "{what}");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn changes_after_a_restore_take_effect() {
    let fleet = start_fleet();
    fleet.store.back_up();
    fleet.store.skip_revisions(100);
    fleet.store.put_config(&standin::config(2));
    wait_for_config(&fleet, 2);
    restore(&fleet);
    thread::sleep(WRITING_DELAY);
    fleet.store.write_again();
    fleet.store.put_config(&standin::config(3));
    fleet.store.put_worker(&fleet.workers[0].draining_entry());
    fleet.store.evacuate("b");
    wait_for_config(&fleet, 3);
    wait_for_evacuations(&fleet, &json!(["b"]));
    wait_for_usable(&fleet, 1);
    fleet.store.end_evacuation("b");
    wait_for_evacuations(&fleet, &json!([]));
    run_load_served(&fleet, &[0, 1, 2, 3], 300);
}

#[test]
fn an_older_copy_takes_nothing_back_before_it_is_written_again() {
    let fleet = start_fleet();
    fleet.store.back_up();
    fleet.store.put_config(&standin::config(2));
    fleet.store.put_worker(&fleet.workers[0].draining_entry());
    fleet.store.remove_worker("w-1");
    fleet.store.evacuate("b");
    wait_for_config(&fleet, 2);
    wait_for_evacuations(&fleet, &json!(["b"]));
    wait_for_usable(&fleet, 0);
    restore(&fleet);
    let unchanged = || {
        (0..fleet.size()).all(|at| {
            let state = state_dump(&fleet, at);
            state["config"] == 2
                && state["evacuated"] == json!(["b"])
                && usable_workers(&fleet, at) == 0
        })
    };
    holds_for("nothing is taken back", WRITING_DELAY, unchanged);
    fleet.store.write_again();
    holds_for("nothing is taken back", 2 * WRITING_DELAY, unchanged);
}

#[test]
fn an_evacuation_that_ended_does_not_begin_again() {
    let fleet = start_fleet();
    fleet.store.evacuate("b");
    wait_for_evacuations(&fleet, &json!(["b"]));
    fleet.store.back_up();
    fleet.store.end_evacuation("b");
    wait_for_evacuations(&fleet, &json!([]));
    restore(&fleet);
    let in_use = || (0..fleet.size()).all(|at| state_dump(&fleet, at)["evacuated"] == json!([]));
    holds_for("the data centre stays in use", WRITING_DELAY, in_use);
    fleet.store.write_again();
    holds_for("the data centre stays in use", 2 * WRITING_DELAY, in_use);
}

#[test]
fn what_is_not_written_again_is_gone() {
    let fleet = start_fleet();
    fleet.store.back_up();
    fleet.store.evacuate("b");
    wait_for_evacuations(&fleet, &json!(["b"]));
    restore(&fleet);
    wait_for_evacuations(&fleet, &json!([]));
    let fleet = start_fleet();
    fleet.store.evacuate("b");
    wait_for_evacuations(&fleet, &json!(["b"]));
    fleet.store.back_up();
    fleet.store.end_evacuation("b");
    wait_for_evacuations(&fleet, &json!([]));
    restore(&fleet);
    wait_for_evacuations(&fleet, &json!(["b"]));
}

#[test]
fn daemons_register_again_and_requests_are_served_all_the_while() {
    let fleet = start_fleet();
    assert_eq!(fleet.store.count(MEMBERS), fleet.size());
    // There is no copy yet, so the store comes back empty.
    restore(&fleet);
    assert_eq!(fleet.store.count(MEMBERS), 0);
    run_load_served(&fleet, &[0, 1, 2, 3], 1_000);
    fleet.store.write_again();
    run_load_served(&fleet, &[0, 1, 2, 3], 1_000);
    wait_until("all daemons are registered", || {
        fleet.store.count(MEMBERS) == fleet.size()
    });
    wait_for_usable(&fleet, 4);
}
