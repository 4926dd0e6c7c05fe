//! Golden sessions of whole fleets of cores: the script, and every action that followed.
//!
//! `BLESS=1 cargo test -p peer --test cores` writes them anew.

use crate::fleet::Fleet;

/// Compares with the golden file; the promises hold in every session.
#[track_caller]
fn golden(name: &str, fleet: &Fleet) {
    fleet.check();
    let path = format!("{}/tests/golden/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(&path, &fleet.log).expect("can be written");
    }
    let held = std::fs::read_to_string(&path).unwrap_or_default();
    let differs = held
        .lines()
        .zip(fleet.log.lines())
        .find(|(old, new)| old != new);
    assert!(
        held == fleet.log,
        "{name} differs first at {differs:?}; look at it, then BLESS=1"
    );
}

/// Three daemons and four workers, warm.
fn warm() -> Fleet {
    let mut fleet = Fleet::new(3, 4, 1);
    fleet.run(4_000);
    fleet.load(1_500, 10);
    fleet.log.clear();
    fleet
}

#[test]
fn start() {
    let mut fleet = Fleet::new(3, 4, 1);
    fleet.script("three daemons and four workers start");
    fleet.run(3_000);
    fleet.script("requests come");
    fleet.load(200, 10);
    golden("start", &fleet);
}

#[test]
fn worker_turns_cold() {
    let mut fleet = warm();
    fleet.script("worker w1 begins a new life");
    fleet.restart(1);
    fleet.load(300, 10);
    golden("worker-turns-cold", &fleet);
}

#[test]
fn burst() {
    let mut fleet = warm();
    fleet.script("forty requests come to one daemon at once");
    for _ in 0..40 {
        fleet.arrive(0, false);
    }
    fleet.run(100);
    golden("burst", &fleet);
}

#[test]
fn straggler() {
    let mut fleet = warm();
    fleet.script("worker w2 takes ten times as long");
    fleet.workers[2].slowness = 10;
    fleet.load(600, 15);
    golden("straggler", &fleet);
}

#[test]
fn silent_worker() {
    let mut fleet = warm();
    fleet.script("worker w3 takes requests and answers none");
    fleet.workers[3].mute = true;
    fleet.load(300, 15);
    golden("silent-worker", &fleet);
}

#[test]
fn data_centre_out_and_in() {
    let mut fleet = warm();
    fleet.script("data centre b is taken out");
    fleet.centre("b", true);
    fleet.load(200, 10);
    fleet.script("data centre b is brought in");
    fleet.centre("b", false);
    fleet.load(200, 10);
    golden("data-centre-out-and-in", &fleet);
}

#[test]
fn home_killed() {
    let mut fleet = warm();
    fleet.script("daemon e0 is killed");
    fleet.kill(0);
    fleet.load(300, 10);
    fleet.run(2_000);
    golden("home-killed", &fleet);
}

#[test]
fn home_frozen_and_back() {
    let mut fleet = warm();
    fleet.script("daemon e0 freezes, and worker w1 begins a new life");
    fleet.freeze(0);
    fleet.restart(1);
    fleet.load(4_000, 100);
    fleet.script("daemon e0 goes on");
    fleet.thaw(0);
    fleet.load(500, 50);
    golden("home-frozen-and-back", &fleet);
}

#[test]
fn lease_lapses_while_paused() {
    let mut fleet = warm();
    fleet.script("sixteen requests come to e1, which borrows, then freezes");
    for _ in 0..16 {
        fleet.arrive(1, false);
    }
    fleet.run(10);
    fleet.freeze(1);
    fleet.run(2_000);
    fleet.script("daemon e1 goes on");
    fleet.thaw(1);
    fleet.run(200);
    golden("lease-lapses-while-paused", &fleet);
}

#[test]
fn cut_one_way() {
    let mut fleet = warm();
    fleet.script("nothing from e0 reaches e1");
    fleet.cut(0, 1, true);
    fleet.load(3_000, 100);
    fleet.script("the cut heals");
    fleet.heal();
    fleet.load(2_000, 100);
    golden("cut-one-way", &fleet);
}

#[test]
fn split() {
    let mut fleet = warm();
    fleet.script("e0 is cut off both ways, and worker w0 begins a new life");
    for other in [1, 2] {
        fleet.cut(0, other, true);
        fleet.cut(other, 0, true);
    }
    fleet.restart(0);
    fleet.load(3_000, 100);
    fleet.script("the cut heals");
    fleet.heal();
    fleet.load(2_000, 100);
    golden("split", &fleet);
}

#[test]
fn graceful_stop() {
    let mut fleet = warm();
    fleet.script("daemon e2 leaves");
    fleet.leave(2);
    fleet.load(300, 10);
    fleet.script("and ends");
    fleet.kill(2);
    fleet.run(500);
    golden("graceful-stop", &fleet);
}
