//! The tail of the binomial distribution.

/// Terms below this part of the sum no longer change it.
const NEGLIGIBLE: f64 = 1e-12;

/// The chance of `hits` or more among `trials` that each hit with the chance `rate`.
pub(crate) fn tail(hits: u32, trials: u32, rate: f64) -> f64 {
    let mean = f64::from(trials) * rate;
    if hits == 0 || f64::from(hits) <= mean || rate >= 1.0 {
        return 1.0;
    }
    let odds = rate / (1.0 - rate);
    let ln_first: f64 = (0..hits)
        .map(|index| (f64::from(trials - index) / f64::from(index + 1) * rate).ln())
        .sum();
    let mut term = (ln_first + f64::from(trials - hits) * (1.0 - rate).ln()).exp();
    let mut sum = 0.0;
    for index in hits..=trials {
        sum += term;
        if term < sum * NEGLIGIBLE {
            break;
        }
        term *= f64::from(trials - index) / f64::from(index + 1) * odds;
    }
    sum.min(1.0)
}
