//! Changes that operators make.

use {
    crate::scene::{caller, fleet, in_force, play_served, runs_of, state, until},
    standin::Outcome,
    std::{sync::Arc, thread, time::Duration},
    unit::Span,
};

#[test]
fn an_evacuated_data_centre_gets_nothing_until_it_is_taken_back() {
    let fleet = fleet();
    fleet.store.evacuate("b");
    for at in 0..4 {
        until("it is known", || {
            state(&fleet, at)["evacuated"] == serde_json::json!(["b"])
        });
    }
    thread::sleep(Duration::from_millis(200));
    let before = [runs_of(&fleet, "w-2"), runs_of(&fleet, "w-3")];
    play_served(&fleet, &[0, 1, 2, 3], 800);
    assert_eq!([runs_of(&fleet, "w-2"), runs_of(&fleet, "w-3")], before);
    fleet.store.end_evacuation("b");
    until("it gets work", || {
        play_served(&fleet, &[2, 3], 300);
        runs_of(&fleet, "w-2") > before[0]
    });
}

#[test]
fn routes_come_and_go_with_the_configuration() {
    let fleet = fleet();
    let mut caller = caller("c");
    let status =
        |caller: &mut standin::Caller, at: usize| fleet.send(caller, at, "GET", "/new/1").status;
    assert_eq!(status(&mut caller, 0), Some(404));
    let mut config = standin::config(5);
    let mut route = (**config
        .route("gallery.example", "/pictures/")
        .expect("a route"))
    .clone();
    route.prefix = "/new/".into();
    config.add_route("gallery.example", route);
    fleet.store.put_config(&config);
    in_force(&fleet, 5);
    for at in 0..4 {
        assert_eq!(status(&mut caller, at), Some(200));
    }
    fleet.store.put_config(&standin::config(6));
    in_force(&fleet, 6);
    for at in 0..4 {
        assert_eq!(status(&mut caller, at), Some(404));
    }
}

#[test]
fn an_older_configuration_changes_nothing() {
    let fleet = fleet();
    fleet.store.put_config(&standin::config(9));
    in_force(&fleet, 9);
    fleet.store.put_config(&standin::config(8));
    fleet.store.put_config(&standin::config(10));
    in_force(&fleet, 10);
    let log = (0..4)
        .map(|at| fleet.log(at).unwrap_or_default())
        .collect::<String>();
    assert!(!log.contains("\"version\":8"));
}

#[test]
fn a_request_that_takes_longer_than_its_routes_time_is_answered_then() {
    let mut plan = crate::scene::plan();
    plan.work_time = Duration::from_secs(20);
    let fleet = standin::Fleet::start(&plan).expect("a fleet");
    let mut config = standin::config(2);
    for routes in config.hosts.values_mut() {
        for route in routes {
            Arc::make_mut(route).timeout = Span::millis(300);
        }
    }
    fleet.store.put_config(&config);
    in_force(&fleet, 2);
    let mut caller = caller("c");
    for (method, path) in [("GET", "/pictures/1"), ("POST", "/payouts/1")] {
        let attempt = fleet.send(&mut caller, 0, method, path);
        assert_eq!(
            (attempt.outcome, attempt.status),
            (Outcome::Failed, Some(504))
        );
    }
}
