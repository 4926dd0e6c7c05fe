//! Short soak tests, and seeds with which soak tests failed in the past.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    standin::Soak,
    std::{path::Path, time::Duration},
};

/// Runs a soak with five daemons and asserts that it broke no invariant.
fn soak(seed: u64, seconds: u64) {
    run(seed, seconds, Extras::default());
}

/// The faults of a soak beyond the usual ones.
#[derive(Default)]
struct Extras {
    accounts: bool,
    cuts: bool,
    downloads: bool,
    notices: bool,
    /// Whether the daemons are replaced one after the other, and back again.
    replaced: bool,
    restores: bool,
    /// Whether a version is rolled out.
    rollouts: bool,
    silences: bool,
    spoils: bool,
}

fn run(seed: u64, seconds: u64, extras: Extras) {
    let program = Path::new(env!("CARGO_BIN_EXE_anvilferryd"));
    let soak = Soak {
        accounts: extras.accounts,
        production: extras.replaced.then(|| program.to_owned()),
        cuts: extras.cuts,
        daemons: 5,
        downloads: extras.downloads,
        notices: extras.notices,
        program: program.to_owned(),
        record: None,
        restores: extras.restores,
        rollouts: extras.rollouts,
        silences: extras.silences,
        spoils: extras.spoils,
        seed,
        duration: Duration::from_secs(seconds),
    };
    let verdict = soak.run().expect("the stand-ins work");
    assert!(
        verdict.violations.is_empty(),
        "{verdict}\n{}",
        verdict.faults.join("; ")
    );
}

#[test]
fn a_short_soak_passes() {
    soak(20_261_204, 6);
}

/// Guards against daemons that have no permit to probe a worker and treat it as warm for another
/// half second after it turned cold. With this seed, such workers got 47 and 75 requests in a
/// second.
#[test]
fn workers_that_turn_cold_under_load_above_the_probe_limit() {
    soak(306, 8);
}

/// Guards against daemons that are replaced under load and refuse each other's messages. The build
/// that they replace is the same here; `soak --production` runs with an earlier one.
#[test]
fn a_short_soak_in_which_all_daemons_are_replaced_passes() {
    run(
        20_261_207,
        10,
        Extras {
            replaced: true,
            ..Extras::default()
        },
    );
}

#[test]
fn a_short_soak_with_restores_of_the_store_passes() {
    run(
        20_261_205,
        6,
        Extras {
            restores: true,
            ..Extras::default()
        },
    );
}

#[test]
fn a_short_soak_with_large_responses_that_are_cut_short_passes() {
    run(
        20_261_206,
        6,
        Extras {
            downloads: true,
            ..Extras::default()
        },
    );
}

/// Guards against a cancelled call to the store whose connection has been freed: its number was then
/// used for a caller's connection, which was closed, and callers got no response.
#[test]
fn restores_of_the_store_close_no_connection_of_a_caller() {
    run(
        7_003,
        12,
        Extras {
            restores: true,
            ..Extras::default()
        },
    );
}

#[test]
fn another_short_soak_passes() {
    soak(41, 6);
}

#[test]
fn a_short_soak_with_workers_that_leave_ask_to_back_off_or_name_limits_passes() {
    let extras = Extras {
        notices: true,
        ..Extras::default()
    };
    run(20_261_207, 12, extras);
}

/// Guards against a soak that let two limits of one worker overlap: the second fault's end silenced
/// the worker, which was then judged by the first one's limit.
#[test]
fn a_worker_of_a_soak_names_one_limit_at_a_time() {
    let extras = Extras {
        notices: true,
        ..Extras::default()
    };
    run(11_042, 12, extras);
}

#[test]
fn a_short_soak_with_daemons_that_are_cut_off_from_all_workers_passes() {
    let extras = Extras {
        cuts: true,
        ..Extras::default()
    };
    run(20_261_208, 12, extras);
}

/// Guards against requests that run without a key, for another account, or long after their key was
/// dropped, while daemons fail and keys change.
#[test]
fn a_short_soak_with_client_accounts_passes() {
    let extras = Extras {
        accounts: true,
        ..Extras::default()
    };
    // A strict soak: no fault delays the changes of keys.
    run(20_261_211, 12, extras);
    let extras = Extras {
        accounts: true,
        cuts: true,
        ..Extras::default()
    };
    run(20_261_209, 12, extras);
}

#[test]
fn a_short_soak_with_a_rollout_of_a_bad_version_passes() {
    let extras = Extras {
        rollouts: true,
        ..Extras::default()
    };
    run(20_001, 6, extras);
}

/// Guards against damaged heads that are passed on, endless answers that fill the memory, odd names
/// that stop a restart, and changes that come late where waiting connections went silent.
#[test]
fn a_short_soak_with_damaged_answers_odd_entries_and_silent_connections_passes() {
    let extras = Extras {
        spoils: true,
        ..Extras::default()
    };
    run(20_261_212, 12, extras);
}
