//! The promises over random failures of a fleet of cores.

use {crate::fleet::Fleet, fastrand::Rng};

/// Kills, freezes, cuts, restarts and moves at random times for twelve seconds, under load.
fn chaos(seed: u64, daemons: usize) -> Fleet {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = Fleet::new(daemons, 6, seed);
    fleet.run(2_500);
    let (mut dead, mut frozen) = (None, None);
    for _ in 0..40 {
        match rng.u8(0..10) {
            0 | 1 => fleet.restart(rng.usize(0..6)),
            2 if dead.is_none() && frozen.is_none() => {
                let at = rng.usize(0..daemons);
                fleet.kill(at);
                dead = Some(at);
            }
            3 => {
                if let Some(at) = dead.take() {
                    fleet.revive(at);
                }
            }
            4 if dead.is_none() && frozen.is_none() => {
                let at = rng.usize(0..daemons);
                fleet.freeze(at);
                frozen = Some(at);
            }
            5 => {
                if let Some(at) = frozen.take() {
                    fleet.thaw(at);
                }
            }
            6 => {
                let (from, to) = (rng.usize(0..daemons), rng.usize(0..daemons));
                fleet.cut(from, to, true);
            }
            7 => fleet.heal(),
            8 => fleet.centre("b", rng.bool()),
            _ => {}
        }
        let every = rng.u64(2..40);
        fleet.load(rng.u64(50..600), every);
    }
    fleet
}

/// Long splits into two sides, with workers that turn cold and are slow while they last, and
/// daemons that pause between their check and their sending.
fn splits(seed: u64, daemons: usize) -> Fleet {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = Fleet::new(daemons, 6, seed);
    fleet.set_probes(3);
    fleet.pauses = true;
    fleet.run(2_500);
    for _ in 0..4 {
        let side: Vec<bool> = (0..daemons).map(|_| rng.bool()).collect();
        for from in 0..daemons {
            for to in (0..daemons).filter(|to| side[*to] != side[from]) {
                // Some of the splits are one way.
                if rng.u8(0..4) > 0 {
                    fleet.cut(from, to, true);
                }
            }
        }
        for _ in 0..12 {
            fleet.workers[rng.usize(0..6)].slowness = *rng.choice(&[1, 1, 20, 100]).unwrap_or(&1);
            if rng.bool() {
                fleet.restart(rng.usize(0..6));
            }
            if rng.u8(0..5) == 0 {
                let at = rng.usize(0..daemons);
                fleet.freeze(at);
                fleet.load(rng.u64(10..1_500), 7);
                fleet.thaw(at);
            }
            let every = rng.u64(3..20);
            fleet.load(rng.u64(50..700), every);
        }
        fleet.heal();
        fleet.load(rng.u64(100..2_500), 10);
    }
    fleet
}

#[test]
fn cold_workers_and_budgets_are_strict_while_the_fleet_is_split() {
    for seed in 0..40 {
        splits(seed, 3 + (seed as usize % 3) * 2).check();
    }
}

#[test]
fn cold_workers_and_budgets_are_strict_and_nothing_runs_twice() {
    let mut answered = 0;
    for seed in 0..40 {
        let fleet = chaos(seed, 3 + (seed as usize % 3) * 2);
        fleet.check();
        answered += fleet.answered.len();
    }
    assert!(
        answered > 10_000,
        "the sessions must do real work: {answered} answers"
    );
}
