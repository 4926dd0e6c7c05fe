//! The daemon of the load balancer: forwards callers' requests to workers.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main()
}
