//! What becomes of a request when a worker fails it.

use {
    crate::scene::{Scene, bounds, free, health, route},
    call::{AttemptEnding, CallAction, CallEvent, Policy, Refusal},
    site::Idempotency,
    std::sync::Arc,
    unit::Span,
};

#[test]
fn a_request_that_may_run_once_is_not_sent_again_after_it_may_have_run() {
    for answer in [AttemptEnding::Lost, AttemptEnding::InvalidResponse] {
        let mut scene = Scene::new(&["x", "y"]);
        let link = scene.at_work(&Arc::new(route("r", Idempotency::AtMostOnce)));
        scene.answered(link, answer);
        assert_eq!(scene.refused(), Refusal::Lost);
        assert!(scene.desk.is_empty() && scene.actions.is_empty());
    }
}

#[test]
fn a_request_that_may_run_once_gets_the_workers_own_error() {
    let mut scene = Scene::new(&["x", "y"]);
    let link = scene.at_work(&Arc::new(route("r", Idempotency::AtMostOnce)));
    scene.answered(link, AttemptEnding::Failed);
    assert!(matches!(scene.take(), CallAction::Deliver(_, forwarded) if forwarded == link));
}

#[test]
fn any_request_that_did_not_run_goes_to_another_worker() {
    for kind in [Idempotency::AtMostOnce, Idempotency::Idempotent] {
        for answer in [
            AttemptEnding::NotRun,
            AttemptEnding::Misdirected,
            AttemptEnding::Unsent,
        ] {
            let mut scene = Scene::new(&["x", "y"]);
            let first = scene.at_work(&Arc::new(route("r", kind)));
            scene.answered(first, answer);
            let second = scene.ask();
            assert_ne!(scene.name(first), scene.name(second));
            scene.told(second, free());
            assert_eq!(scene.sent(), second);
            scene.answered(second, answer);
            let Refusal::NotRun(span) = scene.refused() else {
                panic!("{kind:?} {answer}");
            };
            assert!(span <= Span::millis(20), "the others have room");
        }
    }
}

#[test]
fn an_idempotent_request_is_sent_again_and_its_loss_is_never_called_not_run() {
    for answer in [AttemptEnding::Lost, AttemptEnding::InvalidResponse] {
        let mut scene = Scene::new(&["x", "y", "z"]);
        let first = scene.at_work(&Arc::new(route("r", Idempotency::Idempotent)));
        scene.answered(first, answer);
        let second = scene.ask();
        scene.told(second, free());
        assert_eq!(scene.sent(), second);
        scene.answered(second, AttemptEnding::NotRun);
        assert_eq!(scene.refused(), Refusal::Lost);
    }
}

#[test]
fn a_workers_error_is_given_where_no_other_worker_does_better() {
    let mut scene = Scene::new(&["x", "y"]);
    let first = scene.at_work(&Arc::new(route("r", Idempotency::Idempotent)));
    scene.answered(first, AttemptEnding::Failed);
    let second = scene.ask();
    scene.told(second, free());
    assert_eq!(scene.sent(), second);
    scene.answered(second, AttemptEnding::Lost);
    assert!(matches!(scene.take(), CallAction::Deliver(_, forwarded) if forwarded == first));
}

#[test]
fn repeats_end_where_the_budget_does() {
    let mut policy = Policy::new(bounds());
    policy.bounds.retry_extra = 0.0;
    policy.bounds.retry_ratio = 0.2;
    let mut scene = Scene::with_policy(&["x", "y"], policy);
    let route = Arc::new(route("r", Idempotency::Idempotent));
    let mut repeats = 0;
    for _ in 0..100 {
        scene.pass(Span::millis(20));
        let first = scene.at_work(&route);
        scene.answered(first, AttemptEnding::NotRun);
        let second = scene.ask();
        scene.told(second, free());
        match scene.take() {
            CallAction::Send(_, link, _) => {
                repeats += 1;
                scene.answered(link, AttemptEnding::Served);
                scene.take();
            }
            CallAction::Release(_) => assert!(matches!(scene.refused(), Refusal::NotRun(_))),
            other => panic!("{other:?}"),
        }
    }
    assert!((15..=20).contains(&repeats), "{repeats}");
}

#[test]
fn the_routes_time_ends_a_request_at_once() {
    let mut scene = Scene::new(&["x"]);
    let link = scene.at_work(&Arc::new(route("r", Idempotency::AtMostOnce)));
    scene.pass(Span::millis(799));
    assert!(scene.actions.is_empty());
    scene.pass(Span::millis(1));
    assert_eq!(scene.take(), CallAction::Close(link));
    assert_eq!(scene.refused(), Refusal::Timeout);
}

#[test]
fn an_idempotent_request_at_a_slow_worker_goes_to_a_second_and_the_first_answer_counts() {
    let mut scene = Scene::new(&["x", "y"]);
    let first = scene.at_work(&Arc::new(route("r", Idempotency::Idempotent)));
    scene.pass(Span::millis(150));
    let second = scene.ask();
    scene.told(second, free());
    assert_eq!(scene.sent(), second);
    scene.answered(second, AttemptEnding::Served);
    assert!(matches!(scene.take(), CallAction::Deliver(_, link) if link == second));
    assert_eq!(scene.take(), CallAction::Close(first));
    assert!(scene.desk.is_empty());
}

#[test]
fn a_request_that_may_run_once_is_never_sent_twice_for_slowness() {
    let mut scene = Scene::new(&["x", "y"]);
    scene.at_work(&Arc::new(route("r", Idempotency::AtMostOnce)));
    scene.pass(Span::millis(700));
    assert!(scene.actions.is_empty());
}

#[test]
fn a_caller_that_goes_away_ends_all_that_was_under_way() {
    let mut scene = Scene::new(&["x", "y"]);
    let call = scene.begin(&Arc::new(route("r", Idempotency::Idempotent)));
    let link = scene.ask();
    scene.told(link, free());
    assert_eq!(scene.sent(), link);
    scene.pass(Span::millis(150));
    let second = scene.ask();
    scene.step(CallEvent::CallerDisconnected(call));
    assert_eq!(scene.take(), CallAction::Close(link));
    assert_eq!(scene.take(), CallAction::Close(second));
    assert!(scene.desk.is_empty() && scene.actions.is_empty());
}

#[test]
fn workers_that_can_not_be_reached_are_passed_over() {
    let mut scene = Scene::new(&["x", "y", "z"]);
    scene.begin(&Arc::new(route("r", Idempotency::Idempotent)));
    let first = scene.ask();
    scene.unreachable(first);
    let second = scene.ask();
    scene.unreachable(second);
    let third = scene.ask();
    scene.told(third, free());
    assert_eq!(scene.sent(), third);
}

#[test]
fn a_second_worker_is_looked_for_again_where_none_had_room() {
    let mut scene = Scene::new(&["x", "y"]);
    scene.at_work(&Arc::new(route("r", Idempotency::Idempotent)));
    let others = scene.pass_telling(Span::millis(400), &health(4, 8, 100));
    assert!(others.is_empty(), "{others:?}");
    let others = scene.pass_telling(Span::millis(100), &free());
    assert!(matches!(others[..], [CallAction::Send(..)]), "{others:?}");
}
