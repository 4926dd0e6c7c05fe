use serde::Serialize;

/// Tokens of one whole extra request, in millionths.
const WHOLE: u64 = 1_000_000;
/// The most extra requests that can be saved up.
const CAP: u64 = 10 * WHOLE;
/// The depth from which a request earns nothing.
const DEEP: u32 = 20;

/// The budget that retries and hedges of a service share.
///
/// A first try earns a share of an extra request, halved with each level of calls above it, so
/// that the shares of a chain of calls add up to less than twice the first.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Extra {
    percent: u32,
    /// At most `CAP`.
    tokens: u64,
}

impl Extra {
    /// A budget of `percent` extra requests in a hundred first tries, empty at first.
    pub fn new(percent: u32) -> Self {
        Self { percent, tokens: 0 }
    }

    /// Counts a first try, `depth` calls below the outermost.
    pub fn earn(&mut self, depth: u32) {
        if depth < DEEP {
            let share = u64::from(self.percent) * WHOLE / 100;
            self.tokens = (self.tokens + (share >> depth)).min(CAP);
        }
    }

    /// Takes one extra request if the budget has it.
    pub fn take(&mut self) -> bool {
        let rich = self.tokens >= WHOLE;
        if rich {
            self.tokens -= WHOLE;
        }
        rich
    }

    /// Gives back one that was taken and not used.
    pub fn give(&mut self) {
        self.tokens = (self.tokens + WHOLE).min(CAP);
    }

    /// Changes the share.
    pub fn resize(&mut self, percent: u32) {
        self.percent = percent;
    }
}
