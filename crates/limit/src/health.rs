use {
    serde::Serialize,
    unit::{Span, Time},
};

/// Failures in a row that make a worker a failing one.
const RUN: u32 = 3;
const FIRST: Span = Span::millis(250);
const MOST: Span = Span::secs(4);

/// Whether a worker is left out for failures, and when it is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Health {
    /// How long the worker is left out the next time.
    pause: Span,
    run: u32,
    /// The earliest next trial while the worker is left out.
    trial: Option<Time>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            pause: FIRST,
            run: 0,
            trial: None,
        }
    }
}

impl Health {
    /// Whether the worker is left out.
    pub fn out(&self) -> bool {
        self.trial.is_some()
    }

    /// Whether a single trial is due.
    pub fn due(&self, now: Time) -> bool {
        self.trial.is_some_and(|at| now >= at)
    }

    /// Counts an answer; brings a worker that was left out back.
    pub fn good(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure, and returns whether the worker is newly left out.
    pub fn bad(&mut self, now: Time) -> bool {
        self.run += 1;
        let newly = self.run >= RUN && self.trial.is_none();
        if self.run >= RUN {
            self.exclude(now);
        }
        newly
    }

    /// Leaves the worker out at once.
    pub fn exclude(&mut self, now: Time) {
        self.trial = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MOST);
    }

    /// Puts the next trial off while one is under way.
    pub fn tried(&mut self, now: Time) {
        if self.trial.is_some() {
            self.trial = Some(now + self.pause);
        }
    }
}
