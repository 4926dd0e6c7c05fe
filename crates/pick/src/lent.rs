use {
    serde::Serialize,
    unit::{Name, Span, Time},
};

/// How long a borrower may use slots without a new grant.
pub(crate) const LEASE: Span = Span::millis(1_000);
/// How long a home takes them as used without a new hold: the lease and its message's way.
pub(crate) const LAPSE: Span = Span::millis(1_200);
/// How often a borrower says what it still holds.
pub(crate) const RENEW: Span = Span::millis(300);
/// How long a borrower keeps slots that it doesn't use.
pub(crate) const KEEP: Span = Span::millis(100);

/// Slots that a home has lent.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Lent {
    /// The borrower.
    pub(crate) peer: Name,
    /// How many; at least one.
    pub(crate) slots: u32,
    /// When they come back by themselves.
    pub(crate) until: Time,
}

/// Slots that a daemon has borrowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Lease {
    /// The worker's life for which they are good.
    pub(crate) boot: u64,
    /// When the home was last told.
    pub(crate) told: Time,
    /// How many.
    pub(crate) slots: u32,
    /// When they may no longer be used.
    pub(crate) until: Time,
    /// When more than one fewer were in use for the last time.
    pub(crate) used: Time,
}

/// What a peer lacks, as it last said.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Wanted {
    pub(crate) peer: Name,
    /// Since when its oldest request waits, by this daemon's clock.
    pub(crate) since: Time,
    pub(crate) slots: u32,
    /// When this is no longer true.
    pub(crate) until: Time,
}
