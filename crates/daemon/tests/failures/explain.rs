//! The log, the explanations of requests and the metrics.

use {
    crate::support::{new_caller, run_load_served, start_fleet, wait_until},
    standin::{LoadProfile, Outcome, WorkerFault},
    std::time::Duration,
    unit::Span,
};

#[test]
fn the_cause_of_a_failed_request_is_found_by_its_id() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::Resets);
    }
    let mut caller = new_caller("c");
    let result = fleet.send(&mut caller, 0, "POST", "/payouts/1");
    assert_eq!(result.outcome, Outcome::Failed);
    let field = format!("\"request\":\"{}\"", result.id);
    wait_until("the request is logged", || {
        let log = fleet.log(0).unwrap_or_default();
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(&field)).collect();
        [
            "\"event\":\"sent\"",
            "\"answer\":\"lost\"",
            "\"status\":502",
        ]
        .iter()
        .all(|part| lines.iter().any(|line| line.contains(part)))
    });
    let page = fleet
        .operators_page(0, &format!("/explain?id={}", result.id))
        .expect("a page");
    let lines: serde_json::Value = serde_json::from_str(&page).expect("JSON");
    assert!(
        lines.as_array().is_some_and(|lines| lines.len() >= 3),
        "{page}"
    );
}

#[test]
fn the_metrics_count_requests() {
    let fleet = start_fleet();
    let report = run_load_served(&fleet, &[0], 500);
    let page = fleet.operators_page(0, "/metrics").expect("a page");
    let line = format!("anvilferry_requests_total {}", report.requests.len());
    assert!(page.contains(&line), "{page}");
    assert!(page.contains("anvilferry_latency_seconds_bucket"));
}

#[test]
fn every_log_line_is_json_with_a_number_and_an_event() {
    let fleet = start_fleet();
    run_load_served(&fleet, &[0, 1], 300);
    let log = fleet.log(0).expect("a log");
    for line in log.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("JSON");
        assert!(line["no"].is_u64() && line["event"].is_string(), "{line}");
    }
}

#[test]
fn an_unread_log_blocks_no_request() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    fleet.launch_with_unread_log(0).expect("it starts");
    fleet.wait_ready(0).expect("ready");
    // A pipe holds 64 KiB and each request logs about 1 kB, so the load fills the pipe.
    let load = LoadProfile {
        deadline: Span::secs(2),
        duration: Duration::from_secs(3),
        rate: 150.0,
        write_share: 0.2,
        ..LoadProfile::default()
    };
    let report = load.run(&fleet, &[0]);
    assert_eq!(
        report.count(Outcome::Served),
        report.requests.len(),
        "{}",
        report.text()
    );
}
