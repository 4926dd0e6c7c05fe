//! The demonstration behind `./demo`.

use {
    crate::{
        StandinError,
        fleet::{Fleet, Plan, ServicePlan},
        soak::{Calls, work_in},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const CALLERS: u64 = 8;
/// How long no new work may still reach a data centre that was taken out.
const OUT: Duration = Duration::from_secs(3);

/// The sample service of the demonstration.
pub const GALLERY: &str = "\
[service]
name = submissions
entries = 3
probes = 20
slots = 4

[class payouts]
methods = POST
path = /payouts
kind = at-most-once
priority = interactive
deadline_ms = 2000

[class gallery]
methods = GET HEAD
kind = idempotent
priority = interactive
deadline_ms = 2000
";

/// A fleet of three daemons and eight workers in four data centres.
pub fn plan() -> Plan {
    let centres = ["cascade-a", "cascade-b", "cascade-c", "cascade-d"];
    Plan {
        centres: centres.map(str::to_owned).to_vec(),
        daemons: 3,
        limits: "answer_age_ms = 500".to_owned(),
        policy: "lease".to_owned(),
        services: vec![ServicePlan {
            file: GALLERY.to_owned(),
            name: "submissions".to_owned(),
            workers: 8,
        }],
    }
}

/// Runs the demonstration; says whether nothing was lost or doubled.
///
/// # Errors
/// Fails where the fleet can't be started or a step doesn't come about.
pub fn run() -> Result<bool, StandinError> {
    println!("starting a platform, 8 workers in 4 data centres and 3 daemons");
    let mut fleet = Fleet::start(plan())?;
    println!("serving reads and payments");
    let calls = Calls::start(&fleet, CALLERS, 0);
    thread::sleep(Duration::from_secs(2));
    println!("  {} calls served so far", calls.served());
    let quiet = take_out_and_in(&fleet, &calls)?;
    println!("killing daemon entry-01");
    fleet.kill(1);
    thread::sleep(Duration::from_secs(3));
    println!("  {} calls served so far", calls.served());
    let judgement = calls.judge(&fleet)?;
    drop(fleet);
    println!(
        "payments whose daemon was killed under them, answered as unknown: {}",
        judgement.unknown
    );
    let (served, lost, doubled) = (judgement.served, judgement.lost, judgement.doubled);
    println!(
        "demo: {served} served, {} lost, {doubled} doubled",
        lost + judgement.crossed
    );
    Ok(judgement.faults().is_empty() && quiet)
}

fn take_out_and_in(fleet: &Fleet, calls: &Calls) -> Result<bool, StandinError> {
    let began = Instant::now();
    let (status, told) = fleet.tool(&["dc", "out", "cascade-b", "--wait"])?;
    println!(
        "taking data centre cascade-b out: {}",
        told.trim().replace('\n', "; ")
    );
    thread::sleep(OUT.saturating_sub(began.elapsed()));
    let before = work_in(fleet, "cascade-b")?;
    thread::sleep(Duration::from_secs(1));
    let after = work_in(fleet, "cascade-b")?;
    println!("  new work there after {OUT:?}: {}", after - before);
    let (back, told) = fleet.tool(&["dc", "in", "cascade-b", "--wait"])?;
    println!("bringing it in: {}", told.trim().replace('\n', "; "));
    thread::sleep(Duration::from_secs(2));
    println!("  new work there: {}", work_in(fleet, "cascade-b")? - after);
    println!("  {} calls served so far", calls.served());
    Ok(status == 0 && back == 0 && after == before)
}
