//! The store fails, loses answers, forgets its history and holds entries that can't be read.

use {
    crate::scene::{fleet, in_force, plan, play_served, state, until, usable},
    serde_json::json,
    site::{Worker, WorkerState},
    standin::{Fleet, StoreFault},
    std::time::Duration,
};

#[test]
fn serving_goes_on_whatever_the_store_does_and_changes_follow_its_return() {
    for (version, mood) in [
        (2, StoreFault::Unavailable),
        (3, StoreFault::Closes),
        (4, StoreFault::Hangs),
        (5, StoreFault::Slow(Duration::from_millis(300))),
    ] {
        let fleet = fleet();
        fleet.store.set_fault(mood);
        play_served(&fleet, &[0, 1, 2, 3], 1_500);
        fleet.store.put_config(&standin::config(version));
        fleet.store.set_fault(StoreFault::None);
        in_force(&fleet, version);
    }
}

#[test]
fn changes_that_fall_into_a_gap_of_the_history_are_found() {
    let fleet = fleet();
    fleet.store.put_config(&standin::config(2));
    fleet.store.put_worker(&fleet.workers[0].draining_entry());
    fleet.store.evacuate("b");
    fleet.store.compact();
    in_force(&fleet, 2);
    for at in 0..4 {
        until("the changes are known", || usable(&fleet, at) == 1);
    }
}

#[test]
fn every_daemon_registers_once_though_answers_are_lost() {
    let mut fleet = fleet();
    fleet.kill(0);
    fleet.kill(1);
    fleet.store.drop_responses(2);
    for at in [0, 1] {
        fleet.launch(at).expect("it starts");
        fleet.wait_ready(at).expect("ready");
    }
    until("all are known to each other", || {
        (0..4).all(|at| {
            let state = state(&fleet, at);
            state["members"]
                .as_array()
                .is_some_and(|members| members.len() == 3)
        })
    });
    assert_eq!(fleet.store.count("anvilferry-members"), 4);
}

#[test]
fn entries_that_can_not_be_read_name_no_worker_and_stop_no_other() {
    let fleet = Fleet::start(&plan()).expect("a fleet");
    for (name, spec) in [
        ("bad-1", json!(null)),
        ("bad-2", json!("text")),
        ("bad-3", json!({"service": 3})),
        ("bad-4", json!({})),
    ] {
        fleet.store.put("servers", name, spec);
    }
    let other = Worker {
        id: "other".into(),
        service: "unknown".into(),
        ..fleet.workers[0].entry.clone()
    };
    fleet.store.put_worker(&other);
    until("it is logged", || {
        (0..4).any(|at| {
            fleet
                .log(at)
                .is_ok_and(|log| log.contains("\"object\":\"bad-4\""))
        })
    });
    play_served(&fleet, &[0, 1, 2, 3], 500);
}

#[test]
fn workers_whose_entries_lapse_while_the_store_is_away_are_used_until_they_are_back() {
    let fleet = fleet();
    fleet.store.set_fault(StoreFault::Hangs);
    play_served(&fleet, &[0, 1, 2, 3], 300);
    for worker in &fleet.workers {
        fleet.store.remove_worker(&worker.entry.id);
    }
    fleet.store.set_fault(StoreFault::None);
    for at in 0..4 {
        until("the lapse is known", || usable(&fleet, at) == 0);
    }
    for worker in &fleet.workers {
        let entry = Worker {
            heartbeats: 9,
            state: WorkerState::Ready,
            ..worker.entry.clone()
        };
        fleet.store.put_worker(&entry);
    }
    for at in 0..4 {
        until("they are back", || usable(&fleet, at) == 4);
    }
    play_served(&fleet, &[0, 1, 2, 3], 300);
}

#[test]
fn one_daemon_of_each_data_centre_watches_the_store_for_all() {
    let fleet = fleet();
    until("the others have stopped watching", || {
        (0..4)
            .filter(|at| state(&fleet, *at)["watch"] == "live")
            .count()
            == 2
    });
    in_force(&fleet, 1);
}
