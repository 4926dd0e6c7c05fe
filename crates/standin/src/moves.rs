//! A data centre leaves and returns under load.

use {
    crate::{StandinError, fleet::Fleet, load, report::Report, scenario::Scenario, soak::work_in},
    parking_lot::Mutex,
    std::{
        fmt::Write,
        thread,
        time::{Duration, Instant},
    },
};

/// How long work may still begin in a data centre that was taken out.
const OUT: Duration = Duration::from_secs(3);

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
