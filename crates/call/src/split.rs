use {
    fastrand::Rng,
    site::Target,
    unit::{Map, Name},
};

/// Smooth weighted round robin over the targets of a route: each target's share of the requests
/// follows its weight over any stretch of requests. It begins at a random place, so that the shares
/// also hold over many daemons of which each sees few requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Split {
    /// How far each service is behind its share, in requests times the sum of the weights.
    deficits: Map<Name, i64>,
}

/// The most requests by which a split is moved from its beginning.
const MAX_OFFSET: i64 = 1_000;

impl Split {
    /// A split over these targets that begins at a random place.
    pub(crate) fn new(targets: &[Target], rng: &mut Rng) -> Self {
        let mut split = Self::default();
        let sum: i64 = targets.iter().map(|target| i64::from(target.weight)).sum();
        for _ in 0..rng.i64(0..sum.clamp(1, MAX_OFFSET)) {
            split.next(targets);
        }
        split
    }

    /// The service for the next request: the one that is furthest behind its share. `None` if no
    /// target has a weight above zero.
    pub(crate) fn next<'a>(&mut self, targets: &'a [Target]) -> Option<&'a Name> {
        let sum: i64 = targets.iter().map(|target| i64::from(target.weight)).sum();
        let is_target = |name: &Name| targets.iter().any(|target| target.service == *name);
        self.deficits.retain(|name, _| is_target(name));
        for target in targets {
            *self.deficits.entry(target.service.clone()).or_default() += i64::from(target.weight);
        }
        let weighted = targets.iter().filter(|target| target.weight > 0);
        let chosen = weighted.max_by_key(|target| self.deficits.get(&target.service).copied())?;
        if let Some(deficit) = self.deficits.get_mut(&chosen.service) {
            *deficit -= sum;
        }
        Some(&chosen.service)
    }
}
