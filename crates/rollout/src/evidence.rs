//! Counts of how requests to the target version and to the others ended.

use serde::{Deserialize, Serialize};

/// How a request ended that a worker may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker didn't serve it.
    Failed,
    /// It was served in its usual time.
    Served,
    /// It was served while its usual time wasn't known.
    Untimed,
    /// It was served, or given up, after several times its usual time.
    Slow,
}

/// Which of the two versions that a rollout compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Any version but the target.
    Old,
    /// The rollout's target version.
    Target,
}

/// Ends of requests to one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Those that failed.
    pub failed: u32,
    /// All of them.
    pub requests: u32,
    /// Those that were slow.
    pub slow: u32,
    /// Those of which it is known whether they were slow.
    pub timed: u32,
}

impl Counts {
    /// Counts one end of a request.
    pub fn record(&mut self, outcome: Outcome) {
        self.requests += 1;
        self.failed += u32::from(outcome == Outcome::Failed);
        self.slow += u32::from(outcome == Outcome::Slow);
        self.timed += u32::from(matches!(outcome, Outcome::Served | Outcome::Slow));
    }

    /// The failed and the slow ones.
    pub const fn bad(&self) -> u32 {
        self.failed + self.slow
    }

    /// The part of them that failed.
    pub fn failed_rate(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.requests.max(1))
    }

    /// The part of those whose time is known that was slow.
    pub fn slow_rate(&self) -> f64 {
        f64::from(self.slow) / f64::from(self.timed.max(1))
    }

    fn add(&mut self, other: Self) {
        self.failed += other.failed;
        self.requests += other.requests;
        self.slow += other.slow;
        self.timed += other.timed;
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(earlier.failed),
            requests: self.requests.saturating_sub(earlier.requests),
            slow: self.slow.saturating_sub(earlier.slow),
            timed: self.timed.saturating_sub(earlier.timed),
        }
    }
}

/// The counts of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Those of the other versions.
    pub old: Counts,
    /// The hash of the route's name.
    pub route: u16,
    /// Those of the target version.
    pub target: Counts,
}

/// Counts by route, from the beginning of a rollout or over a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence(Vec<RouteEvidence>);

impl Evidence {
    /// Counts one end of a request.
    pub fn record(&mut self, route: u16, side: Side, outcome: Outcome) {
        let entry = self.route_mut(route);
        let counts = match side {
            Side::Old => &mut entry.old,
            Side::Target => &mut entry.target,
        };
        counts.record(outcome);
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        for entry in &other.0 {
            let own = self.route_mut(entry.route);
            own.old.add(entry.old);
            own.target.add(entry.target);
        }
    }

    /// What was counted after `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let difference = |entry: &RouteEvidence| {
            let before = earlier.0.iter().find(|other| other.route == entry.route);
            let before = before.copied().unwrap_or_default();
            RouteEvidence {
                old: entry.old.since(before.old),
                route: entry.route,
                target: entry.target.since(before.target),
            }
        };
        Self(self.0.iter().map(difference).collect())
    }

    /// The counts of each route.
    pub fn routes(&self) -> &[RouteEvidence] {
        &self.0
    }

    /// The counts of all routes together; the route's hash is 0.
    pub fn total(&self) -> RouteEvidence {
        let mut total = RouteEvidence::default();
        for entry in &self.0 {
            total.old.add(entry.old);
            total.target.add(entry.target);
        }
        total
    }

    fn route_mut(&mut self, route: u16) -> &mut RouteEvidence {
        let known = self.0.iter().position(|entry| entry.route == route);
        let index = known.unwrap_or_else(|| {
            self.0.push(RouteEvidence {
                route,
                ..RouteEvidence::default()
            });
            self.0.len() - 1
        });
        &mut self.0[index]
    }
}
