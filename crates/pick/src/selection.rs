//! Which worker is asked next.

use {
    crate::{Standing, WorkerKey, WorkerRecord, WorkerTable},
    fastrand::Rng,
    std::cmp::Ordering,
    unit::{Span, Time},
};

/// How long a worker that was found slow or full is passed over while others are left.
const BAD_NEWS: Span = Span::millis(60);
/// How long such a worker isn't asked at all by a request that waits.
const RECHECK: Span = Span::millis(25);
/// How long after a question the connection to a worker is likely still open.
const HABIT: Span = Span::secs(6);
/// How much less readily a worker is asked to which no connection is likely open.
const STRANGER: f64 = 1.5;
/// One request in so many asks a worker first that this daemon never used.
const TRY_NEW_ONE_IN: u32 = 8;
/// What a request wants of a worker.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Whether workers are passed over that were found slow or full just now.
    pub skip_busy: bool,
    /// Workers that it won't ask again.
    pub excluded: &'a [WorkerKey],
    /// The service that serves it.
    pub service: &'a str,
}

/// The worker to ask next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// The worker.
    pub key: WorkerKey,
    /// Whether it stands in this daemon's own data centre.
    pub local: bool,
    /// How it stands.
    pub standing: Standing,
}

impl WorkerTable {
    /// The worker to ask next. Workers of the own data centre come first, those that were just
    /// found slow or full later, those that failed lately last; equals by what is expected of
    /// them.
    pub fn select(&self, now: Time, criteria: &Criteria<'_>, rng: &mut Rng) -> Option<Selection> {
        let keys = self.services.get(criteria.service)?;
        let try_new = rng.u32(..TRY_NEW_ONE_IN) == 0;
        let sound = keys
            .iter()
            .any(|key| self.standing(*key, now) == Standing::Usable);
        let mut best: Option<(Selection, (u32, f64))> = None;
        for key in keys.iter().filter(|key| !criteria.excluded.contains(key)) {
            let Some(belief) = self.beliefs.get(key) else {
                continue;
            };
            let standing = self.standing(*key, now);
            // Where others can be reached, one that just could not is not worth a question.
            let useless = (sound && belief.unreachable(now))
                || (criteria.skip_busy && belief.bad_news(now, RECHECK));
            if standing == Standing::Barred || useless {
                continue;
            }
            let near = belief.worker.centre == self.centre;
            let tier = tier(belief, standing, near, try_new, now);
            let score = (tier, weight(belief, now, rng));
            let better = |(_, other): &(Selection, (u32, f64))| {
                score.partial_cmp(other) == Some(Ordering::Less)
            };
            if best.as_ref().is_none_or(better) {
                let choice = Selection {
                    key: *key,
                    local: near,
                    standing,
                };
                best = Some((choice, score));
            }
        }
        best.map(|(choice, _)| choice)
    }
}

/// How much is expected of a worker among its equals, less first; somewhat by chance, so that daemons
/// don't all turn to one.
fn weight(belief: &WorkerRecord, now: Time, rng: &mut Rng) -> f64 {
    let jitter = 0.9 + 0.2 * rng.f64();
    let habit = if belief.asked_within(now, HABIT) {
        1.0
    } else {
        STRANGER
    };
    belief.slowness(now).max(1.0) * (1.0 + f64::from(belief.inflight)) * habit * jitter
}

/// The order in which workers are asked; lower first.
fn tier(belief: &WorkerRecord, standing: Standing, near: bool, try_new: bool, now: Time) -> u32 {
    match standing {
        Standing::Usable if try_new && !belief.used => 0,
        Standing::Usable => {
            let bad = belief.bad_news(now, BAD_NEWS);
            1 + u32::from(!near) + 2 * u32::from(bad)
        }
        Standing::Suspect => 5,
        Standing::Leaving => 6,
        Standing::Barred => 7,
    }
}
