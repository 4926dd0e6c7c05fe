//! Calls drawn from a seed: the same for every way to choose workers.

use {
    crate::scenario::{Rhythm, Scenario, Times},
    std::{f64::consts::TAU, time::Duration},
};

const SLOTS: f64 = 4.0;
/// The spread of the heavy-tailed work's logarithm.
const SIGMA: f64 = 1.2;

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Deferrable and idempotent.
    Archive,
    /// At most once.
    Payment,
    /// Interactive and idempotent.
    Read,
}

/// A call to be made.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, from the beginning.
    pub at: Duration,
    /// Its kind.
    pub kind: Kind,
    /// Its service's place in the scenario.
    pub target: usize,
    /// Its work.
    pub work: Duration,
}

/// Draws all calls of a scenario, in the order of their times.
pub fn draw(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let mut all = Vec::new();
    for (target, service) in scenario.targets.iter().enumerate() {
        let slots = service.workers as f64 * SLOTS;
        let rate = slots / scenario.mean.as_secs_f64() * f64::from(scenario.load) / 100.0;
        draw_service(scenario, target, rate, &mut rng, &mut all);
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn draw_service(
    scenario: &Scenario,
    target: usize,
    rate: f64,
    rng: &mut fastrand::Rng,
    all: &mut Vec<Arrival>,
) {
    let end = (scenario.warmup + scenario.seconds) as f64;
    let (mut at, mut shift, mut factor) = (0.0, 0.0, 1.0);
    while at < end {
        if scenario.rhythm == Rhythm::Bursty && at >= shift {
            shift = at + 0.01 + rng.f64() * 0.04;
            factor = if rng.bool() { 0.4 } else { 1.6 };
        }
        at += -(1.0 - rng.f64()).ln() / (rate * factor);
        let lot = rng.u32(0..100);
        let kind = if lot < scenario.payments {
            Kind::Payment
        } else if lot < scenario.payments + scenario.deferrable {
            Kind::Archive
        } else {
            Kind::Read
        };
        all.push(Arrival {
            at: Duration::from_secs_f64(at),
            kind,
            target,
            work: work(scenario, rng),
        });
    }
}

fn work(scenario: &Scenario, rng: &mut fastrand::Rng) -> Duration {
    let mean = scenario.mean.as_secs_f64();
    let drawn = match scenario.times {
        Times::Exponential => -(1.0 - rng.f64()).ln() * mean,
        Times::Fixed => mean,
        Times::Heavy => {
            let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
            let normal = radius * (TAU * rng.f64()).cos();
            mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
        }
    };
    Duration::from_secs_f64(drawn.min(mean * 40.0))
}
