//! Tests of watches that a silent store never answers.

use {
    crate::harness::{Harness, at_rev, evacuated, is_check, is_probe, is_watch, no_change},
    platform::{StoreCall, StoreReply},
    site::{Departure, Topic},
    store::{RenewalReason, StoreCallError, StoreEvent},
    unit::Span,
};

fn all_watched(harness: &Harness) -> bool {
    let mut topics = Topic::ALL.into_iter();
    topics.all(|topic| harness.is_pending(is_watch(topic)))
}

fn none_watched(harness: &Harness) -> bool {
    let mut topics = Topic::ALL.into_iter();
    !topics.any(|topic| harness.is_pending(is_watch(topic)))
}

/// Guards against a fleet that believes that it is up to date while its watches, sent again during a
/// silence of the store, are never answered.
#[test]
fn a_watch_sent_into_a_silence_does_not_count_as_live() {
    let mut harness = Harness::watching();
    harness.advance(Span::millis(700));
    harness.complete(is_probe, Err(StoreCallError::Timeout));
    assert!(none_watched(&harness));
    // Only probes are sent until the store responds again.
    for _ in 0..4 {
        harness.advance(Span::millis(700));
        assert!(none_watched(&harness) && !harness.client.watching());
        harness.advance(Span::millis(600));
        harness.complete(is_probe, Err(StoreCallError::Timeout));
    }
    harness.advance(Span::millis(700));
    harness.complete(is_probe, Ok(no_change()));
    harness.advance(Span::ZERO);
    assert!(all_watched(&harness) && !harness.client.watching());
    // These are lost in a second silence, which ends before the next probe.
    harness.advance(Span::millis(600));
    harness.complete(is_probe, Err(StoreCallError::Timeout));
    assert!(none_watched(&harness) && !harness.client.watching());
    harness.advance(Span::millis(700));
    harness.complete(is_probe, Ok(no_change()));
    harness.advance(Span::ZERO);
    harness.complete(is_probe, Ok(no_change()));
    assert!(all_watched(&harness) && harness.client.watching());
}

/// Guards against a silence that ends between a watch and the next periodic probe: that probe is
/// answered, the watch never.
#[test]
fn a_probe_that_is_lost_beside_a_new_watch_ends_the_watch() {
    let mut harness = Harness::watching();
    let reply = StoreReply::Events(Vec::new(), at_rev(6));
    harness.complete(is_watch(Topic::Config), Ok(reply));
    harness.advance(Span::millis(350));
    assert!(harness.is_pending(is_watch(Topic::Config)) && harness.is_pending(is_probe));
    harness.advance(Span::millis(600));
    harness.complete(is_probe, Err(StoreCallError::Timeout));
    assert!(!harness.is_pending(is_watch(Topic::Config)) && !harness.client.watching());
}

/// Guards against taking the response to a probe for a sign that the store received a watch which
/// was sent after that probe.
#[test]
fn a_probe_confirms_no_later_watch() {
    let mut harness = Harness::watching();
    let reply = StoreReply::Events(Vec::new(), at_rev(5));
    harness.complete(is_watch(Topic::Workers), Ok(reply.clone()));
    harness.advance(Span::millis(700));
    assert!(harness.is_pending(is_probe));
    harness.complete(is_watch(Topic::Config), Ok(reply));
    harness.advance(Span::millis(350));
    harness.complete(is_probe, Ok(no_change()));
    harness.advance(Span::ZERO);
    assert!(harness.is_pending(is_probe));
}

/// Guards against a watch whose response was lost in a silence that no probe met: each topic is
/// checked in turn.
#[test]
fn a_change_that_a_probe_brings_renews_the_watch_that_lacks_it() {
    let mut harness = Harness::watching();
    let lacking = Topic::Evacuations;
    for _ in Topic::ALL {
        harness.advance(Span::millis(700));
        if harness.is_pending(is_check(lacking)) {
            let reply = StoreReply::Events(vec![evacuated(9)], at_rev(9));
            harness.complete(is_probe, Ok(reply));
        } else {
            harness.complete(is_probe, Ok(no_change()));
        }
    }
    harness.advance(Span::ZERO);
    assert!(harness.is_pending(|call| matches!(
        call,
        StoreCall::Watch { topic, wait: Span::ZERO, .. } if *topic == lacking
    )));
    let reply = StoreReply::Events(vec![evacuated(9)], at_rev(9));
    harness.complete(is_watch(lacking), Ok(reply));
    let changed =
        |event: &StoreEvent| matches!(event, StoreEvent::Change(change) if change.rev == at_rev(9));
    assert!(harness.events.iter().any(changed));
}

/// A watch that was sent after the probe doesn't lack what the probe brings.
#[test]
fn a_probe_renews_no_later_watch() {
    let mut harness = Harness::watching();
    while !harness.is_pending(is_check(Topic::Workers)) {
        if harness.is_pending(is_probe) {
            harness.complete(is_probe, Ok(no_change()));
        }
        harness.advance(Span::millis(700));
    }
    let reply = StoreReply::Events(Vec::new(), at_rev(6));
    harness.complete(is_watch(Topic::Workers), Ok(reply.clone()));
    harness.advance(Span::millis(350));
    let renewed = |call: &StoreCall| {
        matches!(
            call,
            StoreCall::Watch {
                wait: Span::ZERO,
                ..
            }
        )
    };
    harness.complete(
        is_probe,
        Ok(StoreReply::Events(vec![evacuated(6)], at_rev(6))),
    );
    harness.advance(Span::ZERO);
    assert!(!harness.is_pending(renewed));
}

/// Guards against a watch whose connection went silent for good while others work: it must be sent
/// again early enough that a change made 3 s after the silence began takes effect within 2 s.
#[test]
fn a_watch_without_a_response_is_sent_again_in_time() {
    let harness = Harness::watching();
    for topic in Topic::ALL {
        let timeout = harness.timeout(is_watch(topic));
        assert!(timeout <= Span::millis(4_000), "{topic:?}: {timeout:?}");
    }
}

/// Guards against a silent connection that is taken for a failure of the store: the watch would wait
/// for a backoff, and workers that left would count as lapsed.
#[test]
fn a_watch_that_times_out_while_the_store_answers_probes_renews_all_at_once() {
    let mut harness = Harness::watching();
    harness.advance(Span::secs(4));
    harness.complete(is_probe, Ok(no_change()));
    harness.complete(is_watch(Topic::Config), Err(StoreCallError::Timeout));
    assert!(none_watched(&harness) && !harness.client.watching());
    assert!(!harness.client.failing(harness.now));
    assert_eq!(harness.client.departure(harness.now), Departure::Left);
    let renewed = StoreEvent::WatchesRenewed(3, RenewalReason::Silent);
    assert!(harness.events.contains(&renewed));
    harness.advance(Span::ZERO);
    assert!(all_watched(&harness) && harness.is_pending(is_probe));
    harness.complete(is_probe, Ok(no_change()));
    assert!(harness.client.watching());
}

/// A watch that no probe has confirmed may have met a store that fails.
#[test]
fn an_unconfirmed_watch_that_times_out_is_a_failure_of_the_store() {
    let mut harness = Harness::watching();
    let reply = StoreReply::Events(Vec::new(), at_rev(6));
    harness.complete(is_watch(Topic::Config), Ok(reply));
    harness.advance(Span::millis(350));
    harness.complete(is_watch(Topic::Config), Err(StoreCallError::Timeout));
    assert!(harness.client.failing(harness.now));
}
