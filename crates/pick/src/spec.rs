use serde::Serialize;

/// How workers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Policy {
    /// By this daemon's own requests in flight, from two random workers, without hedges.
    Alone,
    /// As alone, with hedges.
    Hedged,
    /// By slots that a worker's home holds and lends.
    Lease,
}

impl Policy {
    /// Whether slots are lent by homes.
    pub(crate) fn lends(self) -> bool {
        self == Self::Lease
    }
}

/// A service's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Spec {
    /// Requests that a worker bears right after its start.
    pub cold: u32,
    /// Connections of the whole fleet to one worker, at most.
    pub conns: u32,
    /// Hedges and retries in percent of first tries.
    pub extra: u32,
    /// The largest share of workers left out at once, in percent.
    pub out: u32,
    /// How workers are chosen.
    pub policy: Policy,
    /// Measuring requests per worker and second, of the whole fleet.
    pub probes: u32,
    /// Requests that wait in this daemon, in each line.
    pub queue: usize,
    /// Requests that a warm worker runs at once.
    pub slots: u32,
}

impl Spec {
    /// The part of the measuring budget that a worker's home has for itself.
    pub(crate) fn home_probes(&self) -> u32 {
        self.probes / 3
    }

    /// How many daemons may have a share of the rest, one measuring request a second each.
    ///
    /// Two fewer than the budget has room for, where it can be: the daemons' lists of each other
    /// may differ by a VM that came and one that went.
    pub fn shares(&self) -> usize {
        let rest = self.probes - self.home_probes();
        (rest - (rest / 4).min(2)) as usize
    }
}
