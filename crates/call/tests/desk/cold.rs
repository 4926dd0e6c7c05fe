//! Workers that have just started.

use {
    crate::scene::{Scene, bounds, free, route},
    call::{AttemptEnding, CallAction, CallEvent, Policy},
    site::{HealthReport, Idempotency},
    std::sync::Arc,
    unit::{Map, Name, Span},
};

fn cold() -> HealthReport {
    HealthReport {
        cold_remaining: Span::secs(1),
        ..free()
    }
}

/// Makes the daemon one of thirteen.
fn join_twelve(scene: &mut Scene) {
    let names = (1..13).map(|number| format!("front-b-{number}"));
    let members: Map<Name, Name> = names
        .map(|name| (name.as_str().into(), "b".into()))
        .collect();
    scene.desk.table.set_members(members);
}

#[test]
fn a_cold_worker_gets_no_more_from_a_daemon_than_its_share() {
    let mut scene = Scene::new(&["x"]);
    join_twelve(&mut scene);
    let route = Arc::new(route("r", Idempotency::Idempotent));
    let mut sent = 0;
    for _ in 0..50 {
        scene.begin(&route);
        let others = scene.pass_telling(Span::millis(19), &cold());
        sent += others
            .iter()
            .filter(|action| matches!(action, CallAction::Send(..)))
            .count();
    }
    let bound = 14.0 * bounds().cold_factor + bounds().cold_slack;
    assert!((1..=2).contains(&sent), "{sent} of {bound}");
}

#[test]
fn a_worker_that_may_have_turned_cold_since_it_was_asked_gets_no_more_than_a_cold_one() {
    let mut policy = Policy::new(bounds());
    policy.bounds.probe_rate = 4.0;
    let mut scene = Scene::with_policy(&["x"], policy);
    join_twelve(&mut scene);
    let route = Arc::new(route("r", Idempotency::Idempotent));
    let (mut asked, mut unasked) = (0, 0);
    for _ in 0..100 {
        scene.pass(Span::millis(10));
        scene.begin(&route);
        while !scene.actions.is_empty() {
            match scene.take() {
                CallAction::Probe { link, .. } => {
                    asked += 1;
                    scene.told(link, free());
                }
                CallAction::Connect { link, .. } => {
                    unasked += 1;
                    scene.step(CallEvent::ConnectEnded(link, Ok(())));
                }
                CallAction::Send(_, link, _) => scene.answered(link, AttemptEnding::Served),
                _ => {}
            }
        }
    }
    // The daemon's share of what a cold worker bears, and few after each question.
    assert!(
        unasked <= 2 + 2 * asked,
        "{unasked} after {asked} questions"
    );
}

#[test]
fn a_warm_worker_is_taken_before_the_share_of_a_cold_one_is_spent() {
    let mut scene = Scene::new(&["x", "y"]);
    let route = Arc::new(route("r", Idempotency::Idempotent));
    let names = (1..40).map(|number| format!("front-b-{number}"));
    let members: Map<Name, Name> = names
        .map(|name| (name.as_str().into(), "b".into()))
        .collect();
    scene.desk.table.set_members(members);
    for _ in 0..10 {
        scene.pass(Span::millis(20));
        scene.begin(&route);
        loop {
            match scene.take() {
                CallAction::Probe { link, .. } if &*scene.name(link) == "x" => {
                    scene.told(link, cold())
                }
                CallAction::Probe { link, .. } => scene.told(link, free()),
                CallAction::Release(_) => {}
                CallAction::Send(..) => break,
                other => panic!("{other:?}"),
            }
        }
    }
}
