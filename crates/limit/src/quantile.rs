use {serde::Serialize, unit::Span};

const ROOM: usize = 512;
const EVERY: usize = 32;
const FIRST: usize = 64;

/// A high and a middle quantile of the newest values.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Quantile {
    at: usize,
    high: Option<Span>,
    middle: Option<Span>,
    #[serde(skip)]
    /// The newest values in a ring of at most `ROOM`.
    ring: Vec<Span>,
    seen: usize,
}

impl Quantile {
    /// Takes a value.
    pub fn add(&mut self, value: Span) {
        if self.ring.len() < ROOM {
            self.ring.push(value);
        } else if let Some(place) = self.ring.get_mut(self.at) {
            *place = value;
        }
        self.at = (self.at + 1) % ROOM;
        self.seen += 1;
        if self.seen % EVERY == 0 || self.seen < EVERY {
            self.settle();
        }
    }

    /// The 95th percentile; `None` before there are enough values.
    pub fn high(&self) -> Option<Span> {
        self.high
    }

    /// The median; `None` before the first value.
    pub fn middle(&self) -> Option<Span> {
        self.middle
    }

    fn settle(&mut self) {
        let mut sorted = self.ring.clone();
        sorted.sort_unstable();
        self.middle = sorted.get(sorted.len() / 2).copied();
        if sorted.len() >= FIRST {
            self.high = sorted.get(sorted.len() * 95 / 100).copied();
        }
    }
}
