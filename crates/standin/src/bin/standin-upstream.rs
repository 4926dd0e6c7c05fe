//! Stand-ins for upstreams: many workers in one process, a port each.

use {clap::Parser, standin::StandinError};

#[derive(Debug, Parser)]
struct Arguments {
    /// Requests that a worker bears right after its start.
    #[arg(long, default_value_t = 1)]
    cold: u32,

    /// Requests that wait at a worker before it sheds.
    #[arg(long, default_value_t = 16)]
    queue: u32,

    /// Requests that a warm worker runs at once.
    #[arg(long, default_value_t = 4)]
    slots: u32,

    /// Names of the workers.
    #[arg(required = true)]
    workers: Vec<String>,
}

fn main() -> Result<(), StandinError> {
    let arguments = Arguments::parse();
    let shape = standin::worker::Shape {
        cold: arguments.cold,
        queue: arguments.queue,
        slots: arguments.slots,
    };
    standin::upstream::run(shape, &arguments.workers)
}
