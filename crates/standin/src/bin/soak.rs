//! Plays fault soaks, one seed after another.

use {
    clap::Parser,
    standin::Soak,
    std::{path::PathBuf, process::ExitCode, time::Duration},
};

/// Plays fault soaks, one seed after another, and tells which promises were broken.
#[derive(Debug, Parser)]
#[command(name = "soak", version)]
struct Arguments {
    /// How many daemons.
    #[arg(long, default_value_t = 6)]
    daemons: usize,

    /// The daemon's program.
    #[arg(long, default_value = "target/release/anvilferryd")]
    program: PathBuf,

    /// How long faults begin.
    #[arg(long, default_value_t = 12, value_name = "SECONDS")]
    seconds: u64,

    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,

    /// Print the faults of soaks that broke nothing, too.
    #[arg(long)]
    verbose: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let soak = Soak {
            daemons: arguments.daemons,
            program: arguments.program.clone(),
            seed,
            duration: Duration::from_secs(arguments.seconds),
        };
        match soak.run() {
            Ok(verdict) => {
                println!("seed {seed}: {verdict}");
                if arguments.verbose || !verdict.violations.is_empty() {
                    println!("  faults: {}", verdict.faults.join("; "));
                }
                failed += u32::from(!verdict.violations.is_empty());
            }
            Err(error) => {
                println!("seed {seed}: {error}");
                failed += 1;
            }
        }
    }
    println!("soak: {} seeds, {failed} failed", arguments.seeds);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
