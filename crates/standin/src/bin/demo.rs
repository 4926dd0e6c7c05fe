//! Shows a fleet at work: reads and payments, a data centre out and in, and a daemon killed.

use {
    clap::Parser,
    standin::{Fleet, FleetPlan, LoadProfile, Outcome, Report, StandinError},
    std::{path::PathBuf, process::ExitCode, thread, time::Duration},
    unit::Span,
};

/// How long the fleet may take to follow a change.
const FOLLOW: Duration = Duration::from_secs(2);

/// Shows a fleet at work between stand-ins.
#[derive(Debug, Parser)]
#[command(name = "demo", version)]
struct Arguments {
    /// The daemon's program.
    #[arg(long, default_value = "target/release/anvilferryd")]
    program: PathBuf,
}

#[derive(Debug, Default)]
struct Sum {
    doubled: u64,
    lost: u64,
    served: usize,
}

impl Sum {
    fn add(&mut self, what: &str, report: &Report) {
        println!("{what}:\n{}", report.text());
        self.doubled += report.duplicates;
        self.lost += report.false_refusals + report.count(Outcome::Mixed) as u64;
        self.served += report.count(Outcome::Served);
    }
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(sum) => {
            let Sum {
                doubled,
                lost,
                served,
            } = sum;
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

fn run(arguments: &Arguments) -> Result<Sum, StandinError> {
    let mut fleet = Fleet::start(&FleetPlan::new(&arguments.program))?;
    let load = LoadProfile {
        deadline: Span::secs(1),
        duration: Duration::from_secs(3),
        rate: 200.0,
        write_share: 0.3,
    };
    let all: Vec<usize> = (0..fleet.size()).collect();
    let mut sum = Sum::default();
    sum.add("calm", &load.run(&fleet, &all));
    fleet.store.evacuate("b");
    thread::sleep(FOLLOW);
    sum.add("data centre b out", &load.run(&fleet, &all));
    fleet.store.end_evacuation("b");
    thread::sleep(FOLLOW);
    sum.add("data centre b in", &load.run(&fleet, &all));
    fleet.kill(0);
    sum.add("a daemon killed", &load.run(&fleet, &all[1..]));
    Ok(sum)
}
