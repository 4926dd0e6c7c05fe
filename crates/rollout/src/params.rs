use unit::Span;

/// The operators' limits on rollouts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Params {
    /// The part of a service's requests that a target version may get before its verdict.
    pub share: f64,
    /// The requests that it may get beyond that, from all daemons together.
    pub slack: f64,
    /// The longest time from the 50th bad response to the last request that is sent to it.
    pub rollback: Span,
}
