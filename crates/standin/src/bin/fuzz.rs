//! Fuzzes the decoders of what others write.

use {
    clap::{Parser, ValueEnum},
    standin::{FuzzTarget, fuzz},
    std::{process::ExitCode, time::Instant},
};

/// Fuzzes the decoders of what others write, and reports the input of a panic.
#[derive(Debug, Parser)]
#[command(name = "fuzz", version)]
struct Arguments {
    /// The number of inputs for each target.
    #[arg(long, default_value_t = 1_000_000)]
    cases: u64,

    /// The seed of the inputs.
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// The target; all of them if none is given.
    #[arg(long)]
    target: Option<FuzzTarget>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let all = FuzzTarget::value_variants().iter().copied();
    let targets = all.filter(|target| arguments.target.is_none_or(|only| only == *target));
    let mut failed = false;
    for target in targets {
        let began = Instant::now();
        match fuzz(target, arguments.seed, arguments.cases) {
            Ok(()) => println!(
                "{target}: {} cases, none panicked, {:.0} s",
                arguments.cases,
                began.elapsed().as_secs_f64()
            ),
            Err(error) => {
                println!("{error}");
                failed = true;
            }
        }
    }
    if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
