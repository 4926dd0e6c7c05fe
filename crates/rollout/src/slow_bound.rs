use unit::Span;

/// A response is slow from this multiple of the median of the old version on. A version that is
/// bad is several times slower.
const SLOW_FACTOR: f64 = 2.0;
/// The number of responses of the old version from which on its median is known.
const MIN_SAMPLES: u32 = 5;
/// The factor by which a response moves the estimate.
const STEP: f64 = 1.05;
/// The weight of another daemon's estimate against the own one.
const PEER_WEIGHT: f64 = 0.1;

/// From which time on a response of a route is slow, by the median of the old version. Both
/// versions are measured by the same bound, so an error in it doesn't favour one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowBound {
    median_s: f64,
    samples: u32,
}

impl SlowBound {
    /// Notes a response of the old version.
    pub(crate) fn record(&mut self, took: Span) {
        let took = took.as_secs();
        if self.samples < MIN_SAMPLES {
            // The mean of the first ones, where no single one counts much.
            self.median_s =
                (self.median_s * f64::from(self.samples) + took) / f64::from(self.samples + 1);
            self.samples += 1;
        } else if took > self.median_s {
            self.median_s *= STEP;
        } else {
            self.median_s /= STEP;
        }
    }

    /// Takes another daemon's median. A daemon with few requests knows none of its own for long.
    pub(crate) fn adopt(&mut self, median: Span) {
        let median = median.as_secs().max(1e-6);
        if self.samples < MIN_SAMPLES {
            *self = Self {
                median_s: median,
                samples: MIN_SAMPLES,
            };
        } else {
            self.median_s *= (median / self.median_s.max(1e-6)).powf(PEER_WEIGHT);
        }
    }

    /// The median, once it is known.
    pub(crate) fn median(&self) -> Option<Span> {
        (self.samples >= MIN_SAMPLES).then(|| Span::from_secs(self.median_s))
    }

    /// Whether a response that took that long is slow; `None` while the median isn't known.
    pub(crate) fn is_slow(&self, took: Span) -> Option<bool> {
        let median = self.median()?;
        Some(took > median.scale(SLOW_FACTOR))
    }
}
