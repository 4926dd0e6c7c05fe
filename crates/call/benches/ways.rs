//! Ways of choosing workers, side by side in the same towns: `cargo bench -p call --bench ways`. Prints
//! what the answers are worth, from 0 to 1.

#![allow(
    clippy::expect_used,
    clippy::print_stdout,
    dead_code,
    reason = "an experiment that shares the harness of the tests"
)]

#[path = "../tests/town/daemon.rs"]
mod daemon;
#[path = "../tests/town/machine.rs"]
mod machine;
#[path = "../tests/town/report.rs"]
mod report;
#[path = "../tests/town/shape.rs"]
mod shape;
#[path = "../tests/town/town.rs"]
mod town;

use {
    call::Policy,
    daemon::bounds,
    report::Report,
    shape::{Shape, reads, writes},
    town::Town,
    unit::Span,
};

const SEEDS: u64 = 3;
const SPAN: Span = Span::secs(10);

/// A load: its name, its part of what the workers bear, and the part of requests that workers refuse.
const LOADS: [(&str, f64, f64); 6] = [
    ("0.3", 0.3, 0.0),
    ("0.6", 0.6, 0.0),
    ("0.9", 0.9, 0.0),
    ("1.2", 1.2, 0.0),
    ("1.8", 1.8, 0.0),
    ("0.5, 4 of 10 refused", 0.5, 0.4),
];

fn ways() -> Vec<(&'static str, Policy)> {
    let usual = Policy::new(bounds());
    let asks = |asks| Policy {
        max_probes: asks,
        ..usual
    };
    let mut known = usual;
    known.bounds.probe_rate = 6.0;
    let hedge_fraction = 0.0;
    vec![
        ("ask one worker", asks(1)),
        ("ask up to two", asks(2)),
        ("ask up to six", usual),
        ("ask up to twelve", asks(12)),
        (
            "ask up to six, no hedges",
            Policy {
                hedge_fraction,
                ..usual
            },
        ),
        ("by what is known, mostly", known),
    ]
}

fn worth(way: Policy, part: f64, shed: f64) -> f64 {
    let (mut sum, mut most) = (0.0, 0.0);
    for seed in 0..SEEDS {
        let mut shape = Shape::new(Vec::new());
        let rate = shape.bears(Span::millis(76)) * part;
        shape.flows = vec![reads(rate * 0.7), writes(rate * 0.3)];
        shape.seed = seed;
        shape.shed = shed;
        for (report, weight) in Town::play(&shape, way, SPAN).iter().zip([1.0, 2.0]) {
            sum += weight * Report::worth(report);
            most += weight * f64::from(report.asked);
        }
    }
    sum / most
}

fn main() {
    for (name, way) in ways() {
        let worths =
            LOADS.map(|(load, part, shed)| format!("{load}: {:.3}", worth(way, part, shed)));
        println!("{name}: {}", worths.join("; "));
    }
}
