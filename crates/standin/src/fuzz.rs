//! Fuzzing of every decoder that reads what others wrote, and of the state machines behind them:
//! valid messages are mutated, arbitrary bytes are mixed in, and streams are split anywhere.

mod mutation;
mod target;

pub use target::FuzzTarget;
use {
    crate::error::StandinError,
    fastrand::Rng,
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Runs `cases` inputs of a target, of which each follows from `seed` and its number.
///
/// # Errors
/// Fails with the input that makes the code panic.
pub fn fuzz(target: FuzzTarget, seed: u64, cases: u64) -> Result<(), StandinError> {
    let samples = target.samples();
    for case in 0..cases {
        let mut rng = Rng::with_seed(seed.wrapping_mul(1 << 32).wrapping_add(case));
        let sample = &samples[rng.usize(..samples.len())];
        let input = mutation::mutate(sample, &mut rng);
        let run = AssertUnwindSafe(|| target.run(&input, &mut rng));
        if catch_unwind(run).is_err() {
            return Err(StandinError::Panicked {
                case,
                input: input.escape_ascii().to_string(),
                target,
            });
        }
    }
    Ok(())
}
