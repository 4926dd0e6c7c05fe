use unit::Span;

/// By how much the requests of a client account may exceed its quota, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The fraction of the quota that may come on top of it in a window.
    pub overshoot: f64,
    /// The requests that may come on top of that.
    pub slack: f64,
    /// The length of the window; never zero.
    pub window: Span,
}
