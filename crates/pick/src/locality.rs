//! When a request may leave its data centre, and how many may: decisions without state of their
//! own.
//!
//! They answer two loads. Where a data centre's own workers are short for a moment, requests whose
//! bytes are expensive wait for one of them, and the others leave at once. Where a data centre's
//! workers are short for longer, its requests take only what its neighbours can spare.

use {
    derive_more::{Display, Error},
    site::LoadReport,
    std::str::FromStr,
    unit::Span,
};

/// The bytes of a gigabyte, in which prices are given.
const GIGABYTE: f64 = 1e9;
/// The slots of a worker that requests from other data centres leave free. A data centre that
/// overflows can't take its neighbour's last slots, so the neighbour needn't overflow in turn.
const RESERVED_SLOTS: u32 = 1;
/// The time that a request to another data centre gets, as a multiple of what it is expected to
/// take, so that it is in time even if it takes longer than is typical.
const REMOTE_MARGIN: f64 = 1.4;
/// The weight of the latest request in the estimate of a route's bytes.
const BYTES_WEIGHT: f64 = 0.1;

/// Why a price of transfers is not valid.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("not a price: a number of responses per gigabyte that isn't negative is needed")]
pub struct PriceError;

/// The price of a gigabyte between data centres, as the number of responses in time that are worth
/// as much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferPrice(f64);

impl FromStr for TransferPrice {
    type Err = PriceError;

    fn from_str(text: &str) -> Result<Self, PriceError> {
        let price: f64 = text.parse().map_err(|_| PriceError)?;
        let valid = price.is_finite() && price >= 0.0;
        valid.then_some(Self(price)).ok_or(PriceError)
    }
}

impl TransferPrice {
    /// How long a request waits for a worker of its own data centre before it may leave.
    ///
    /// `bytes` is what the request and its response have together, `left` the time until the
    /// latency objective is missed, and `expected` what a worker elsewhere is expected to take. The
    /// part of the slack for which the request waits is the part of its response's value that its
    /// bytes cost: one that costs nothing leaves at once, and one that costs all of its value leaves
    /// when it would else be late.
    pub fn hold(self, bytes: f64, left: Span, expected: Span) -> Span {
        let cost = (self.0 * bytes / GIGABYTE).clamp(0.0, 1.0);
        left.saturating_sub(expected.scale(REMOTE_MARGIN))
            .scale(cost)
    }
}

/// Whether a worker with this load has room for a request from another data centre.
pub const fn has_remote_room(load: LoadReport) -> bool {
    load.running + load.waiting + RESERVED_SLOTS < load.slots
}

/// The bytes that the requests of a route and their responses have, as a moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferEstimate(Option<f64>);

impl TransferEstimate {
    /// The bytes of one request and its response; 0 before the first.
    pub fn bytes(self) -> f64 {
        self.0.unwrap_or(0.0)
    }

    /// Records the bytes of a request and its response.
    pub fn record(&mut self, bytes: usize) {
        let bytes = bytes as f64;
        let mean = self.0.unwrap_or(bytes);
        self.0 = Some(mean + BYTES_WEIGHT * (bytes - mean));
    }
}
