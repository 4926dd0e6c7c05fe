//! A data centre leaves and returns under load; a chain of calls whose last service breaks.

use {
    crate::{
        StandinError, demo,
        fleet::{Fleet, Plan},
        load,
        report::Report,
        scenario::Scenario,
        soak::work_in,
    },
    parking_lot::Mutex,
    std::{
        fmt::Write,
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    wire::{Conn, Limits, Request},
};

/// How long work may still begin in a data centre that was taken out.
const OUT: Duration = Duration::from_secs(3);
const LEVELS: u32 = 14;
const CHAINS: u64 = 400;

/// Runs the scenario twice on one fleet: at rest, then with a data centre out at the beginning of
/// the measured time and in at its middle.
///
/// # Errors
/// Fails where the fleet can't be started or asked.
pub fn data_centre(scenario: &Scenario) -> Result<String, StandinError> {
    let fleet = Fleet::start(scenario.plan("lease"))?;
    let rest = load::run_on(scenario, &fleet, None)?;
    let centre = scenario.centres.get(1).cloned().unwrap_or_default();
    let late = Mutex::new(None);
    let half = Duration::from_secs(scenario.seconds) / 2;
    let moved = Scenario {
        seed: scenario.seed + 1,
        ..scenario.clone()
    };
    let disturb = |fleet: &Fleet| {
        let began = Instant::now();
        let told = fleet.tool(&["dc", "out", &centre, "--wait"]);
        thread::sleep(OUT.saturating_sub(began.elapsed()));
        let before = work_in(fleet, &centre);
        thread::sleep(half.saturating_sub(began.elapsed()));
        let after = work_in(fleet, &centre);
        *late.lock() = Some((told, before, after));
        drop(fleet.tool(&["dc", "in", &centre, "--wait"]));
    };
    let moving = load::run_on(&moved, &fleet, Some(Box::new(disturb)))?;
    let mut text = format!(
        "at rest:\n{}moving {centre}:\n{}",
        rest.text(),
        moving.text()
    );
    if let Some((_, Ok(before), Ok(after))) = late.into_inner() {
        let _fits = writeln!(text, "work begun there after {OUT:?}: {}", after - before);
    }
    let payment = |report: &Report| {
        let tally = report.tallies.get(&crate::arrivals::Kind::Payment);
        tally.map_or(0.0, |tally| {
            tally.served.value_at_quantile(0.99) as f64 / 1e3
        })
    };
    let (before, during) = (payment(&rest), payment(&moving));
    let _fits = writeln!(
        text,
        "p99 of payments: at rest {before:.1} ms, moving {during:.1} ms, ratio {:.2}",
        during / before.max(0.001)
    );
    Ok(text)
}

/// Makes chains of 15 calls whose last one always breaks off, and counts how often it ran.
///
/// # Errors
/// Fails where the fleet can't be started or asked.
pub fn chain() -> Result<String, StandinError> {
    let mut plan: Plan = demo::plan();
    for service in &mut plan.services {
        service.workers = 16;
    }
    let fleet = Fleet::start(plan)?;
    let daemons = fleet.callers();
    // Healthy calls first, so that hedges and retries have a budget.
    for _ in 0..CHAINS {
        call(&daemons, false);
    }
    let before = last_level(&fleet)?;
    for _ in 0..CHAINS {
        call(&daemons, true);
    }
    let ran = last_level(&fleet)? - before;
    let ratio = ran as f64 / CHAINS as f64;
    Ok(format!(
        "{CHAINS} chains of 15 calls: the last one ran {ran} times, {ratio:.2} for each\n"
    ))
}

fn call(daemons: &[SocketAddr], breaks: bool) {
    let Some(daemon) = fastrand::choice(daemons) else {
        return;
    };
    let mut request = Request::new("GET", "/s/submissions/chain");
    request.headers.add("Host", daemon);
    request.headers.add("X-Chain", LEVELS);
    request.headers.add("X-Next", daemon);
    request.headers.add("X-Work-Us", 200);
    if breaks {
        request.headers.add("X-Break", 1);
    }
    let conn = TcpStream::connect(daemon)
        .ok()
        .and_then(|sock| Conn::new(sock, Limits::default()).ok());
    if let Some(mut conn) = conn {
        drop(conn.write_request(&request));
        drop(conn.read_response(1 << 20, false, Instant::now() + Duration::from_secs(10)));
    }
}

fn last_level(fleet: &Fleet) -> Result<u64, StandinError> {
    Ok(fleet.counts()?.values().map(|count| count.last_level).sum())
}
