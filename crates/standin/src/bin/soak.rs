//! Runs fault soaks, one seed after another.

use {
    clap::Parser,
    standin::Soak,
    std::{path::PathBuf, process::ExitCode, time::Duration},
};

/// Runs fault soaks, one seed after another, and reports violated guarantees.
#[derive(Debug, Parser)]
#[command(name = "soak", version)]
struct Arguments {
    /// Have requests carry keys of client accounts, which change now and then.
    #[arg(long)]
    accounts: bool,

    /// The number of daemons.
    #[arg(long, default_value_t = 6)]
    daemons: usize,

    /// Cut daemons off from all workers now and then.
    #[arg(long)]
    cuts: bool,

    /// Have workers send large responses and cut them short now and then.
    #[arg(long)]
    downloads: bool,

    /// Have workers say now and then that they leave, ask to back off or name a limit.
    #[arg(long)]
    notices: bool,

    /// The path of an earlier build's program: start with it, replace daemon after daemon by those of
    /// `--program` in the first half, and go back in the second.
    #[arg(long)]
    production: Option<PathBuf>,

    /// The path of the daemon's program.
    #[arg(long, default_value = "target/release/anvilferryd")]
    program: PathBuf,

    /// Write the record of each seed's run to FILE with the seed appended, for `judge`.
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,

    /// Have the store come back from older copies now and then.
    #[arg(long)]
    restores: bool,

    /// Have the store fall silent now and then, on connections that stay open.
    #[arg(long)]
    silences: bool,

    /// Have workers send damaged and endless responses, other writers leave odd entries, and waiting
    /// connections to the store go silent now and then.
    #[arg(long)]
    spoils: bool,

    /// Roll out a version of the service, every second time a bad one.
    #[arg(long, conflicts_with_all = ["production", "restores"])]
    rollouts: bool,

    /// The period in which faults begin.
    #[arg(long, default_value_t = 12, value_name = "SECONDS")]
    seconds: u64,

    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// The number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,

    /// Print the faults of soaks without violations, too.
    #[arg(long)]
    verbose: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let soak = Soak {
            accounts: arguments.accounts,
            cuts: arguments.cuts,
            daemons: arguments.daemons,
            downloads: arguments.downloads,
            notices: arguments.notices,
            silences: arguments.silences,
            spoils: arguments.spoils,
            production: arguments.production.clone(),
            program: arguments.program.clone(),
            record: arguments.record.as_ref().map(|file| {
                let mut name = file.clone().into_os_string();
                name.push(format!("-{seed}"));
                name.into()
            }),
            restores: arguments.restores,
            rollouts: arguments.rollouts,
            seed,
            duration: Duration::from_secs(arguments.seconds),
        };
        match soak.run() {
            Ok(report) => {
                println!("seed {seed}: {report}");
                if arguments.verbose || !report.violations.is_empty() {
                    println!("  faults: {}", report.faults.join("; "));
                }
                failed += u32::from(!report.violations.is_empty());
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
