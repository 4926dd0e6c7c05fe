//! Demonstrates a fleet under load: in normal operation, during and after the evacuation of a data
//! centre, and after a daemon was killed.

use {
    clap::Parser,
    standin::{Fleet, FleetPlan, LoadProfile, Outcome, Report, StandinError},
    std::{path::PathBuf, process::ExitCode, thread, time::Duration},
    unit::Span,
};

/// How long to wait for a change to reach all daemons.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Demonstrates a fleet of real daemons between stand-ins.
#[derive(Debug, Parser)]
#[command(name = "demo", version)]
struct Arguments {
    /// The path of the daemon's program.
    #[arg(long, default_value = "target/release/anvilferryd")]
    program: PathBuf,
}

/// The sums over all loads.
#[derive(Debug, Default)]
struct Totals {
    doubled: u64,
    lost: u64,
    served: usize,
}

impl Totals {
    fn add(&mut self, what: &str, report: &Report) {
        println!("{what}:\n{}", report.text());
        self.doubled += report.duplicates;
        // A write reported as not run although it ran, and a wrong response, both count as lost.
        self.lost += report.false_refusals + report.count(Outcome::Mixed) as u64;
        self.served += report.count(Outcome::Served);
    }
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(totals) => {
            let Totals {
                doubled,
                lost,
                served,
            } = totals;
            println!("demo: {served} served, {lost} lost, {doubled} doubled");
            if lost + doubled == 0 && served > 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<Totals, StandinError> {
    let mut fleet = Fleet::start(&FleetPlan::new(&arguments.program))?;
    let load = LoadProfile {
        deadline: Span::secs(1),
        duration: Duration::from_secs(3),
        rate: 200.0,
        write_share: 0.3,
        ..LoadProfile::default()
    };
    let all: Vec<usize> = (0..fleet.size()).collect();
    let mut totals = Totals::default();
    totals.add("calm", &load.run(&fleet, &all));
    fleet.store.evacuate("b");
    thread::sleep(PROPAGATION_TIME);
    totals.add("data centre b out", &load.run(&fleet, &all));
    fleet.store.end_evacuation("b");
    thread::sleep(PROPAGATION_TIME);
    totals.add("data centre b in", &load.run(&fleet, &all));
    fleet.kill(0);
    totals.add("a daemon killed", &load.run(&fleet, &all[1..]));
    Ok(totals)
}
