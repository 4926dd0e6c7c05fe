//! Where a request would go now.

use {
    crate::harness::{Harness, health, idle_health, route},
    call::PreviewVerdict,
    site::RouteKind,
    std::sync::Arc,
    unit::Span,
};

#[test]
fn a_preview_tells_full_workers_from_those_with_room() {
    let mut harness = Harness::new(&["x", "y"]);
    let route = Arc::new(route("r", RouteKind::Idempotent));
    harness.arrive(&route);
    let first = harness.next_probe();
    let full = harness.worker_id(first);
    harness.answer_probe(first, health(4, 8, 100));
    harness.next_action();
    let second = harness.next_probe();
    harness.answer_probe(second, idle_health());
    let previews = harness.dispatcher.preview(harness.now, &route);
    let verdicts: Vec<(bool, PreviewVerdict)> = previews[0]
        .workers
        .iter()
        .map(|preview| {
            let record = harness.dispatcher.table.get(preview.worker);
            let id = &record.expect("a worker").worker.id;
            (*id == full, preview.verdict)
        })
        .collect();
    assert_eq!(
        verdicts,
        [
            (false, PreviewVerdict::Probed),
            (true, PreviewVerdict::Full)
        ]
    );
}

#[test]
fn a_preview_changes_nothing() {
    // Guards against a preview that takes permits or moves random choices, by which the next
    // request would be treated differently.
    let route = Arc::new(route("r", RouteKind::Idempotent));
    let play = |with_previews: bool| {
        let mut harness = Harness::new(&["x", "y", "z"]);
        let mut sent = Vec::new();
        for _ in 0..20 {
            if with_previews {
                harness.dispatcher.preview(harness.now, &route);
            }
            let examined = harness.dispatcher.table.examined();
            let link = harness.start_attempt(&route);
            sent.push((
                harness.worker_id(link),
                harness.dispatcher.table.examined() - examined,
            ));
            harness.advance(Span::millis(7));
            harness.actions.clear();
        }
        (sent, harness.dispatcher.table.examined())
    };
    assert_eq!(play(true), play(false));
}
