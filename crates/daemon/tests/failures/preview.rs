//! Where a request would go now, asked of a running daemon.

use {
    crate::support::{new_caller, run_load_served, start_fleet, state_dump, wait_until},
    serde_json::Value,
    standin::Outcome,
};

const PAGE: &str = "/where?host=gallery.example&path=/pictures/1";

#[test]
fn a_preview_names_the_worker_that_the_next_request_gets_and_sends_nothing() {
    // Guards against a preview that goes by another decision than requests do.
    let fleet = start_fleet();
    run_load_served(&fleet, &[0], 500);
    let mut agreed = 0;
    for number in 0..20 {
        let runs = fleet.executions.entries().len();
        let page = fleet.operators_page(0, PAGE).expect("a page");
        assert_eq!(fleet.executions.entries().len(), runs);
        let preview: Value = serde_json::from_str(&page).expect("JSON");
        let workers = preview["services"][0]["workers"]
            .as_array()
            .expect("workers");
        let probed: Vec<&Value> = workers
            .iter()
            .filter(|worker| worker["verdict"] == "probed")
            .map(|worker| &worker["worker"])
            .collect();
        let mut caller = new_caller(&format!("c{number}"));
        let result = fleet.send(&mut caller, 0, "GET", "/pictures/1");
        assert_eq!(result.outcome, Outcome::Served);
        let runs = fleet.executions.entries();
        let worker = &runs.last().expect("a run").worker;
        agreed += usize::from(probed.iter().any(|id| **id == **worker));
    }
    assert!(agreed >= 19, "{agreed} of 20");
}

#[test]
fn a_preview_leaves_the_dump_as_it_is() {
    let fleet = start_fleet();
    wait_until("the fleet is idle", || {
        state_dump(&fleet, 0)["requests"] == serde_json::json!([])
    });
    let state = |at| {
        let dump = state_dump(&fleet, at);
        let workers = dump["workers"].as_array().cloned().unwrap_or_default();
        let standing: Vec<Value> = workers
            .iter()
            .map(|worker| worker["standing"].clone())
            .collect();
        (dump["config"].clone(), dump["requests"].clone(), standing)
    };
    let before = state(0);
    for _ in 0..50 {
        fleet.operators_page(0, PAGE).expect("a page");
    }
    assert_eq!(state(0), before);
}

#[test]
fn a_preview_of_an_unknown_host_is_refused() {
    let fleet = start_fleet();
    let page = fleet.operators_page(0, "/where?host=none.example&path=/");
    assert!(page.is_ok_and(|page| page.contains("no route")));
}
