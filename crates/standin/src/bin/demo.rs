//! The demonstration: a fleet serves reads and payments while a data centre leaves and returns
//! and a daemon is killed.

use std::process::ExitCode;

fn main() -> ExitCode {
    match standin::demo::run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
