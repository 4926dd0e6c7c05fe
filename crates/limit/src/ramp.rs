use serde::Serialize;

/// Slow start: how many requests a worker that has just started may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Ramp {
    allowed: u32,
    /// Answers in time since the last step, fewer than `allowed`.
    good: u32,
    start: u32,
    top: u32,
}

impl Ramp {
    /// Begins with `start` requests and ends with `top`.
    pub fn new(start: u32, top: u32) -> Self {
        Self {
            allowed: start.min(top),
            good: 0,
            start,
            top,
        }
    }

    /// The requests that the worker may hold now.
    pub fn allowed(&self) -> u32 {
        self.allowed
    }

    /// Whether the worker bears its full load.
    pub fn warm(&self) -> bool {
        self.allowed >= self.top
    }

    /// Counts an answer in time; after four for each request held, the allowance doubles.
    pub fn good(&mut self) {
        if self.warm() {
            return;
        }
        self.good += 1;
        if self.good >= self.allowed * 4 {
            self.good = 0;
            self.allowed = (self.allowed * 2).min(self.top);
        }
    }

    /// Starts over after a failure.
    pub fn bad(&mut self) {
        *self = Self::new(self.start, self.top);
    }

    /// Takes the worker as warm: it was warm in the same life.
    pub fn finish(&mut self) {
        self.allowed = self.top;
    }

    /// Changes the bounds; a warm worker stays warm.
    pub fn resize(&mut self, start: u32, top: u32) {
        let warm = self.warm();
        self.start = start;
        self.top = top;
        self.allowed = if warm { top } else { self.allowed.min(top) };
    }
}
