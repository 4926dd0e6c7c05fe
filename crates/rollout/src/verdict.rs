//! What the counts of a rollout show of its target version.

use crate::{Evidence, RouteEvidence, binomial::tail};

/// The chance at most that a good version looks that bad in one look at one route. There are some
/// thousand looks in a rollout, most of them at the same requests.
const BAD_CHANCE: f64 = 1e-6;
/// From this chance on a version that looks bad isn't called good.
const SUSPICIOUS_CHANCE: f64 = 0.02;
/// The fewest bad responses for a verdict. The crash of one worker fails fewer at a time.
const MIN_BAD: u32 = 8;
/// How much more often than the old version a good one may fail: by a factor and beyond it.
const FAILED_TOLERANCE: (f64, f64) = (1.5, 0.02);
/// The same for slow responses. The few new workers leave less choice than the many old ones while
/// a quarter of all workers is slow at any moment.
const SLOW_TOLERANCE: (f64, f64) = (1.5, 0.1);
/// What of the responses counts as bad beyond the old version's rate by a factor and this part. With
/// many good requests, as in the shift, chance alone would else add up to the bound.
const EXCESS_FAILED: (f64, f64) = (1.2, 0.004);
const EXCESS_SLOW: f64 = 0.3;
/// A good version may have this many slow responses whatever the old one has.
const SLOW_FLOOR: f64 = 0.5;
const MAX_RATE: f64 = 0.95;
/// The requests to the old version that show its rates.
const MIN_OLD: u32 = 30;
/// The requests to the target version, in all and for each route, that show that it is good; and
/// how many are enough late in a rollout.
const MIN_GOOD: (u32, u32) = (100, 25);
const MIN_GOOD_LATE: (u32, u32) = (40, 10);
/// Routes with less than this part of the requests need no evidence of their own.
const MINOR_ROUTE: f64 = 0.03;

/// By what a version is found to be bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// It fails more requests than the old version.
    Failing,
    /// It takes longer for more requests than the old version.
    Slow,
}

/// Why there is no verdict yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pending {
    /// Too few requests to the target version, to the old one or of a route.
    Evidence,
    /// It looks worse than the old version, but may not be.
    Suspicious,
}

/// A symptom and the counts that show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The counts of the route, or of all routes.
    pub counts: RouteEvidence,
    /// The symptom.
    pub symptom: Symptom,
}

/// What the evidence shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target version is worse than the old one.
    Bad(Finding),
    /// It isn't worse, and there is enough evidence of that.
    Good,
    /// Neither is shown.
    Undecided(Pending),
}

impl Verdict {
    /// Whether counts show a bad version. `before` are counts of the old version that stand for the
    /// present ones where these are few, as during the shift.
    pub fn find_bad(recent: &Evidence, before: &Evidence) -> Option<Finding> {
        let total = (recent.total(), before.total());
        let routes = recent.routes().iter().map(|entry| {
            let earlier = before.routes();
            let earlier = earlier.iter().find(|other| other.route == entry.route);
            (*entry, earlier.copied().unwrap_or_default())
        });
        routes
            .chain([total])
            .find_map(|(entry, before)| finding(&entry, &before, BAD_CHANCE, MIN_BAD))
    }

    /// Whether all counts of a rollout show that its target version is good. Late in a rollout less
    /// evidence is enough.
    pub fn of(all: &Evidence, late: bool) -> Self {
        if let Some(finding) = Self::find_bad(all, all) {
            return Self::Bad(finding);
        }
        let (least, least_each) = if late { MIN_GOOD_LATE } else { MIN_GOOD };
        let total = all.total();
        if total.target.requests < least || total.old.requests < MIN_OLD {
            return Self::Undecided(Pending::Evidence);
        }
        let major = f64::from(total.old.requests) * MINOR_ROUTE;
        let lacking = |entry: &RouteEvidence| {
            f64::from(entry.old.requests) >= major && entry.target.requests < least_each
        };
        if all.routes().iter().any(lacking) {
            return Self::Undecided(Pending::Evidence);
        }
        let suspicious =
            |entry: &RouteEvidence| finding(entry, entry, SUSPICIOUS_CHANCE, 2).is_some();
        if all.routes().iter().any(suspicious) || suspicious(&total) {
            return Self::Undecided(Pending::Suspicious);
        }
        Self::Good
    }
}

/// The bad responses of the target version that its old version's rates don't explain.
pub(crate) fn excess_bad(all: &Evidence) -> f64 {
    let excess = |entry: &RouteEvidence| {
        let (factor, beyond) = EXCESS_FAILED;
        let usual = entry.old.failed_rate() * factor + beyond;
        let failed = f64::from(entry.target.failed) - usual * f64::from(entry.target.requests);
        let usual = entry.old.slow_rate() * SLOW_TOLERANCE.0 + SLOW_TOLERANCE.1;
        let usual = usual.max(EXCESS_SLOW);
        let slow = f64::from(entry.target.slow) - usual * f64::from(entry.target.timed);
        failed.max(0.0) + slow.max(0.0)
    };
    all.routes().iter().map(excess).sum()
}

fn finding(
    entry: &RouteEvidence,
    before: &RouteEvidence,
    chance: f64,
    least: u32,
) -> Option<Finding> {
    let old = if entry.old.requests >= MIN_OLD {
        entry.old
    } else {
        before.old
    };
    if old.requests < MIN_OLD {
        return None;
    }
    let target = entry.target;
    let (factor, beyond) = FAILED_TOLERANCE;
    let failed_rate = (old.failed_rate() * factor + beyond).min(MAX_RATE);
    let (factor, beyond) = SLOW_TOLERANCE;
    let slow_rate = old.slow_rate() * factor + beyond;
    let slow_rate = slow_rate.clamp(SLOW_FLOOR, MAX_RATE);
    let shows =
        |hits: u32, trials: u32, rate: f64| hits >= least && tail(hits, trials, rate) < chance;
    let symptom = if shows(target.failed, target.requests, failed_rate) {
        Symptom::Failing
    } else if shows(target.slow, target.timed, slow_rate) {
        Symptom::Slow
    } else {
        return None;
    };
    Some(Finding {
        counts: RouteEvidence { old, ..*entry },
        symptom,
    })
}
