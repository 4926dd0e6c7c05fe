//! The daemon: takes callers' requests and sends them to workers.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main()
}
