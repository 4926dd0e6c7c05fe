//! A store that fails, loses responses, compacts its history or holds entries that can't be
//! decoded.

use {
    crate::support::{
        default_plan, run_load_served, start_fleet, state_dump, usable_workers, wait_for_config,
        wait_until,
    },
    serde_json::json,
    site::{Worker, WorkerState},
    standin::{Fleet, FleetPlan, PAGE_SIZE, StoreFault},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// How long the store is silent in a test: two daemons' probes fail, and the next one succeeds.
const SILENCE: Duration = Duration::from_millis(1_600);
/// After so long without a fault, the users' bounds hold again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long after its acknowledgement a version of the configuration may take to be in force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

#[test]
fn requests_are_served_while_the_store_fails_and_changes_follow_its_recovery() {
    for (version, fault) in [
        (2, StoreFault::Unavailable),
        (3, StoreFault::Closes),
        (4, StoreFault::Hangs),
        (5, StoreFault::Slow(Duration::from_millis(300))),
    ] {
        let fleet = start_fleet();
        fleet.store.set_fault(fault);
        run_load_served(&fleet, &[0, 1, 2, 3], 1_500);
        fleet.store.put_config(&standin::config(version));
        fleet.store.set_fault(StoreFault::None);
        wait_for_config(&fleet, version);
    }
}

/// Guards against a fleet that waits for watches which went into a silence of the store, and takes
/// itself for up to date. Each round meets the daemons' probes at another moment.
#[test]
fn changes_after_a_short_silence_of_the_store_take_effect_in_time() {
    // Of the daemons of one data centre, one watches the store.
    let fleet = Fleet::start(&FleetPlan {
        daemon_centres: vec!["a", "a"],
        ..default_plan()
    })
    .expect("a fleet");
    for round in 0..4 {
        thread::sleep(Duration::from_millis(170 * round));
        fleet.store.set_fault(StoreFault::Silent);
        thread::sleep(SILENCE);
        fleet.store.set_fault(StoreFault::None);
        thread::sleep(STABLE_WINDOW);
        let version = 2 + round;
        let written = Instant::now();
        fleet.store.put_config(&standin::config(version));
        wait_for_config(&fleet, version);
        let took = written.elapsed();
        assert!(took < CONFIG_APPLY, "round {round}: {took:?}");
    }
}

/// Guards against watches that wait on channels which have gone silent for good, while checks are
/// answered by a copy of the store that doesn't have the change yet.
#[test]
fn changes_take_effect_in_time_though_open_channels_to_the_store_went_silent() {
    let fleet = Fleet::start(&FleetPlan {
        daemon_centres: vec!["a", "a", "b", "b"],
        proxied: true,
        ..default_plan()
    })
    .expect("a fleet");
    fleet.store.set_copy_age(Duration::from_secs(3));
    for round in 0..3 {
        // The watches began at different times before the silence.
        thread::sleep(Duration::from_millis(900 * round));
        for proxy in &fleet.store_proxies {
            proxy.silence_waiting();
        }
        thread::sleep(STABLE_WINDOW);
        let version = 2 + round;
        let written = Instant::now();
        fleet.store.put_config(&standin::config(version));
        fleet.store.evacuate("b");
        wait_for_config(&fleet, version);
        for at in 0..fleet.size() {
            wait_until("the evacuation is known", || {
                state_dump(&fleet, at)["evacuated"] == json!(["b"])
            });
        }
        let took = written.elapsed();
        assert!(took < CONFIG_APPLY, "round {round}: {took:?}");
        fleet.store.end_evacuation("b");
    }
}

#[test]
fn changes_lost_from_a_compacted_history_are_found() {
    let fleet = start_fleet();
    fleet.store.put_config(&standin::config(2));
    fleet.store.put_worker(&fleet.workers[0].draining_entry());
    fleet.store.evacuate("b");
    fleet.store.compact();
    wait_for_config(&fleet, 2);
    for at in 0..4 {
        wait_until("the changes are known", || usable_workers(&fleet, at) == 1);
    }
}

#[test]
fn daemons_register_once_although_responses_are_lost() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    fleet.kill(1);
    fleet.store.drop_responses(2);
    for at in [0, 1] {
        fleet.launch(at).expect("it starts");
        fleet.wait_ready(at).expect("ready");
    }
    wait_until("all daemons know each other", || {
        (0..4).all(|at| {
            let state = state_dump(&fleet, at);
            state["members"]
                .as_array()
                .is_some_and(|members| members.len() == 3)
        })
    });
    assert_eq!(fleet.store.count("anvilferry-members"), 4);
}

#[test]
fn entries_that_can_not_be_decoded_are_skipped() {
    let fleet = Fleet::start(&default_plan()).expect("a fleet");
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
    wait_until("the undecodable entry is logged", || {
        (0..4).any(|at| {
            fleet
                .log(at)
                .is_ok_and(|log| log.contains("\"object\":\"bad-4\""))
        })
    });
    run_load_served(&fleet, &[0, 1, 2, 3], 500);
}

#[test]
fn workers_whose_entries_lapsed_while_the_store_failed_are_used_once_they_return() {
    let fleet = start_fleet();
    fleet.store.set_fault(StoreFault::Hangs);
    run_load_served(&fleet, &[0, 1, 2, 3], 300);
    for worker in &fleet.workers {
        fleet.store.remove_worker(&worker.entry.id);
    }
    fleet.store.set_fault(StoreFault::None);
    for at in 0..4 {
        wait_until("the lapsed entries are known", || {
            usable_workers(&fleet, at) == 0
        });
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
        wait_until("the returned workers are usable", || {
            usable_workers(&fleet, at) == 4
        });
    }
    run_load_served(&fleet, &[0, 1, 2, 3], 300);
}

#[test]
fn one_daemon_of_each_data_centre_watches_the_store() {
    let fleet = start_fleet();
    wait_until("the others have stopped watching", || {
        (0..4)
            .filter(|at| state_dump(&fleet, *at)["watch"] == "live")
            .count()
            == 2
    });
    wait_for_config(&fleet, 1);
}

/// Guards against a list of workers that can't be continued after an entry of another writer, whose
/// name holds characters with a meaning in a request target. It is the last one on the first page.
#[test]
fn a_daemon_restarts_while_an_odd_name_ends_a_page_of_the_list_of_workers() {
    let odd_names = [
        "&after=zz",
        "+",
        "#",
        "%",
        "%41",
        " ",
        "?",
        "/",
        "\"\\",
        "ü\u{1F980}",
        "\r\nx: y",
        "\u{0}",
    ];
    let mut fleet = Fleet::start(&FleetPlan {
        daemon_centres: vec!["a"],
        ..default_plan()
    })
    .expect("a fleet");
    let entry = json!({"state": "odd"});
    for place in 1..PAGE_SIZE {
        let name = format!("a-{place:02}");
        fleet.store.put("servers", &name, entry.clone());
    }
    for odd in odd_names {
        let name = format!("b-{odd}");
        fleet.store.put("servers", &name, entry.clone());
        fleet.kill(0);
        fleet.launch(0).expect("it starts");
        fleet.wait_ready(0).expect("ready");
        wait_until(&format!("the workers beside {name:?} are known"), || {
            usable_workers(&fleet, 0) == 4
        });
        fleet.store.remove_worker(&name);
    }
    run_load_served(&fleet, &[0], 500);
}
