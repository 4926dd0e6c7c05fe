//! Puts open-loop load on a fleet of real daemons and reports the results.

use {
    clap::Parser,
    standin::{Fleet, FleetPlan, KeyRing, LoadProfile, SlowCallers, StandinError},
    std::{path::PathBuf, process::ExitCode, thread, time::Duration},
    unit::{Rate, Span},
};

/// How long a worker that turns requests away wants nothing from their daemons.
const RETRY_DELAY: Span = Span::secs(2);

/// The version of the configuration with accounts; the fleet starts with one without.
const ACCOUNTS_VERSION: u64 = 2;

/// Puts open-loop load on a fleet of real daemons and reports the results.
#[derive(Debug, Parser)]
#[command(name = "load", version)]
struct Arguments {
    /// Client accounts whose keys the requests carry.
    #[arg(long, default_value_t = 0, value_name = "COUNT")]
    accounts: usize,

    /// The path of the daemon's program.
    #[arg(long, default_value = "target/release/anvilferryd")]
    program: PathBuf,

    /// The least length of a response's body.
    #[arg(long, default_value_t = 0, value_name = "BYTES")]
    body: usize,

    /// Workers that say in their responses that they leave.
    #[arg(long, default_value_t = 0, value_name = "COUNT")]
    leaving: usize,

    /// The limit, in requests per second, that each worker names in its responses.
    #[arg(long, value_name = "RATE")]
    limit: Option<f64>,

    /// Workers, the last ones, that turn all requests away and ask for a delay of two seconds.
    #[arg(long, default_value_t = 0, value_name = "COUNT")]
    turning_away: usize,

    /// How unevenly the accounts send: the nth sends as much as the first divided by n to the power
    /// of this.
    #[arg(long, default_value_t = 1.0)]
    skew: f64,

    /// Callers on the first daemon that take their responses slowly, beside the load.
    #[arg(long, default_value_t = 0, value_name = "COUNT")]
    slow_callers: usize,

    /// Requests per second.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,

    /// The duration of the load.
    #[arg(long, default_value_t = 10, value_name = "SECONDS")]
    seconds: u64,

    /// The time that a worker takes for a request.
    #[arg(long, default_value_t = 20, value_name = "MILLISECONDS")]
    work: u64,

    /// The fraction of requests that are writes, which may run at most once.
    #[arg(long, default_value_t = 0.3)]
    writes: f64,
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), StandinError> {
    let mut plan = FleetPlan::new(&arguments.program);
    plan.work_time = Duration::from_millis(arguments.work);
    let fleet = Fleet::start(&plan)?;
    for (index, worker) in fleet.workers.iter().enumerate() {
        worker.set_body_bytes(arguments.body);
        worker.set_leaving(index < arguments.leaving);
        worker.set_rate_limit(arguments.limit.and_then(Rate::per_second));
        if index + arguments.turning_away >= fleet.workers.len() {
            worker.turn_away(Some(RETRY_DELAY));
        }
    }
    let duration = Duration::from_secs(arguments.seconds);
    let mut slow = SlowCallers::start(
        fleet.address(0),
        arguments.slow_callers,
        Span::secs(arguments.seconds),
    )?;
    let keys = KeyRing::new(arguments.accounts);
    if arguments.accounts > 0 {
        let (config, texts) = keys.config(ACCOUNTS_VERSION);
        fleet.store.put_config_with(&config, &texts);
        fleet.wait_config(ACCOUNTS_VERSION)?;
    }
    let load = LoadProfile {
        keys: keys.terms().into_iter().map(|term| term.key).collect(),
        skew: arguments.skew,
        deadline: Span::secs(1),
        duration,
        rate: arguments.rate,
        write_share: arguments.writes,
    };
    let daemons: Vec<usize> = (0..fleet.size()).collect();
    thread::scope(|scope| {
        let taken = scope.spawn(move || slow.run(duration));
        print!("{}", load.run(&fleet, &daemons).text());
        let taken: usize = taken.join().map_or(0, |taken| taken.iter().sum());
        println!("taken by slow callers: {} KB", taken / 1_000);
    });
    for index in daemons {
        let peak = fleet.peak_memory(index)?;
        println!("daemon {index}: at most {} KB of memory", peak / 1_000);
    }
    Ok(())
}
