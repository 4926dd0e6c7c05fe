use {
    site::Target,
    unit::{Map, Name},
};

/// Deals the requests of a route to its targets so that each has its weight's share at any time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Split {
    /// How far each target is behind its share, in requests times the sum of the weights.
    behind: Map<Name, i64>,
}

impl Split {
    /// The target of the next request: the one that is most behind.
    pub(crate) fn next<'a>(&mut self, targets: &'a [Target]) -> Option<&'a Name> {
        let sum: i64 = targets.iter().map(|target| i64::from(target.weight)).sum();
        let live = |name: &Name| targets.iter().any(|target| target.service == *name);
        self.behind.retain(|name, _| live(name));
        for target in targets {
            *self.behind.entry(target.service.clone()).or_default() += i64::from(target.weight);
        }
        let weighty = targets.iter().filter(|target| target.weight > 0);
        let chosen = weighty.max_by_key(|target| self.behind.get(&target.service).copied())?;
        if let Some(behind) = self.behind.get_mut(&chosen.service) {
            *behind -= sum;
        }
        Some(&chosen.service)
    }
}
