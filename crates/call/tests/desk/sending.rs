//! Which worker a request goes to.

use {
    crate::scene::{Scene, free, health, route},
    call::{AttemptEnding, CallAction},
    site::{Idempotency, Target},
    std::sync::Arc,
    unit::{Map, Name, Span},
};

#[test]
fn sends_to_the_first_worker_with_room_on_the_connection_on_which_it_was_asked() {
    let mut scene = Scene::new(&["x", "y"]);
    let call = scene.begin(&Arc::new(route("r", Idempotency::Idempotent)));
    let link = scene.ask();
    scene.told(link, free());
    assert_eq!(
        scene.take(),
        CallAction::Send(call, link, Span::millis(800))
    );
    scene.answered(link, AttemptEnding::Served);
    assert_eq!(scene.take(), CallAction::Deliver(call, link));
    assert!(scene.desk.is_empty() && scene.actions.is_empty());
}

#[test]
fn tells_the_worker_how_much_time_is_left_of_the_shorter_limit() {
    let mut scene = Scene::new(&["x"]);
    let mut route = route("r", Idempotency::Idempotent);
    route.timeout = Span::secs(9);
    let call = scene.begin(&Arc::new(route));
    let link = scene.ask();
    scene.pass(Span::millis(30));
    scene.told(link, free());
    assert_eq!(
        scene.take(),
        CallAction::Send(call, link, Span::millis(970))
    );
}

#[test]
fn asks_on_while_workers_are_slow_and_takes_the_best_in_the_end() {
    let mut scene = Scene::new(&["x", "y"]);
    scene.begin(&Arc::new(route("r", Idempotency::Idempotent)));
    let slow = scene.ask();
    scene.told(slow, health(0, 0, 500));
    let free_one = scene.ask();
    scene.told(free_one, free());
    assert_eq!(scene.take(), CallAction::Release(slow));
    assert_eq!(scene.sent(), free_one);
}

#[test]
fn waits_for_a_better_worker_only_while_the_objective_can_be_met() {
    let mut scene = Scene::new(&["x"]);
    scene.begin(&Arc::new(route("r", Idempotency::Idempotent)));
    let slow = health(0, 0, 500);
    let others = scene.pass_telling(Span::millis(60), &slow);
    assert!(others.is_empty(), "{others:?}");
    let others = scene.pass_telling(Span::millis(200), &slow);
    assert!(matches!(others[0], CallAction::Send(..)), "{others:?}");
}

#[test]
fn asks_the_next_worker_where_one_does_not_answer_in_time() {
    let mut scene = Scene::new(&["x", "y"]);
    scene.begin(&Arc::new(route("r", Idempotency::Idempotent)));
    let first = scene.ask();
    scene.pass(Span::millis(40));
    assert_eq!(scene.take(), CallAction::AbandonProbe(first));
    let second = scene.ask();
    assert_ne!(scene.name(first), scene.name(second));
    // An answer that comes after all is of no use.
    scene.told(first, free());
    assert!(scene.actions.is_empty());
}

#[test]
fn never_sends_to_a_worker_under_another_id() {
    let mut scene = Scene::new(&["x"]);
    scene.begin(&Arc::new(route("r", Idempotency::AtMostOnce)));
    let link = scene.ask();
    let mut other = free();
    other.id = Some("z".into());
    scene.told(link, other);
    assert_eq!(scene.take(), CallAction::Close(link));
    let others = scene.pass_telling(Span::secs(1), &{
        let mut other = free();
        other.id = Some("z".into());
        other
    });
    assert!(
        !others
            .iter()
            .any(|action| matches!(action, CallAction::Send(..)))
    );
}

#[test]
fn splits_by_weight_at_any_time() {
    let mut scene = Scene::new(&[]);
    let mut route = route("r", Idempotency::Idempotent);
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    route.targets = vec![target("s", 90), target("t", 10)];
    let route = Arc::new(route);
    let mut workers = Vec::new();
    for service in ["s", "t"] {
        let mut worker = crate::scene::worker(service);
        worker.service = service.into();
        workers.push(scene.desk.table.upsert(worker, scene.now));
    }
    let mut counts: Map<Name, u32> = Map::default();
    for round in 1..=200 {
        scene.pass(Span::millis(20));
        scene.begin(&route);
        let link = scene.ask();
        *counts.entry(scene.name(link)).or_default() += 1;
        scene.told(link, free());
        assert_eq!(scene.sent(), link);
        scene.answered(link, AttemptEnding::Served);
        scene.take();
        let tenth = counts.get("t").copied().unwrap_or_default();
        assert!(tenth.abs_diff(round / 10) <= 1, "{tenth} of {round}");
    }
}
