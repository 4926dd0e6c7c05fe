use fastrand::Rng;

/// The part of the share that daemons use. The rest is for requests whose workers reject them, so
/// that they count at the daemon and don't at the workers.
const MARGIN: f64 = 0.8;
/// The chance that a request is chosen while the share allows one. It keeps the choice from falling
/// into step with a pattern of the callers.
const CHANCE: f64 = 0.5;
/// The most requests that a daemon makes up for, after the new workers couldn't take them. More
/// would come at once and overload the few workers that get them.
const MAX_BACKLOG: f64 = 2.0;

/// A daemon's share of the requests that may go to the target version before its verdict.
///
/// Each daemon rounds by a random offset of its own, so that the sum over the fleet is the share of
/// all its requests within the slack, however few requests a daemon has.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    exposed: u64,
    offset: f64,
    requests: u64,
    share: f64,
}

impl Exposure {
    /// A daemon's exposure at its first request of a rollout.
    pub fn new(share: f64, rng: &mut Rng) -> Self {
        Self {
            exposed: 0,
            offset: rng.f64(),
            requests: 0,
            share: share.clamp(0.0, 1.0),
        }
    }

    /// Counts a request to the service that is sent to a worker for the first time.
    pub fn record_request(&mut self) {
        self.requests += 1;
        let backlog = self.allowed() - self.exposed as f64;
        self.offset -= (backlog - MAX_BACKLOG).max(0.0);
    }

    /// Counts a send to the target version.
    pub const fn record_exposed(&mut self) {
        self.exposed += 1;
    }

    /// Whether one more request may go to the target version.
    pub fn admits(&self) -> bool {
        (self.exposed + 1) as f64 <= self.allowed()
    }

    /// Whether this request is one that goes to the target version. All routes get their part, as
    /// the choice doesn't depend on the route.
    pub fn draw(&self, rng: &mut Rng) -> bool {
        self.admits() && rng.f64() < CHANCE
    }

    /// The requests sent to the service and to the target version.
    pub const fn counts(&self) -> (u64, u64) {
        (self.requests, self.exposed)
    }

    fn allowed(&self) -> f64 {
        self.share * MARGIN * self.requests as f64 + self.offset
    }
}
