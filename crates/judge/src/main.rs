//! Judges records of soaks.

use {
    clap::Parser,
    judge::{Record, judge},
    std::{fs::File, io::BufReader, path::PathBuf, process::ExitCode},
};

/// Judges records of soaks, and prints each broken promise with its evidence.
#[derive(Debug, Parser)]
#[command(name = "judge", version)]
struct Arguments {
    /// The records, as `soak --record` writes them.
    #[arg(required = true, value_name = "FILE")]
    records: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut code = ExitCode::SUCCESS;
    for file in &arguments.records {
        let name = file.display();
        let record = match File::open(file) {
            Ok(open) => Record::read(BufReader::new(open)).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match record {
            Ok(record) => {
                let breaches = judge(&record);
                println!("{name}: {} broken", breaches.len());
                for breach in &breaches {
                    println!("  {:?} {breach}", breach.at);
                }
                if !breaches.is_empty() {
                    code = ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("{name}: {error}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}
