use unit::{Name, Set, rank};

/// A daemon that may be an entry of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its data centre.
    pub centre: Name,
    /// Its name.
    pub name: Name,
}

/// The daemons that serve a service: at most `most`, in the order of their places.
///
/// Each place goes to the daemon of the greatest rank for it that has none yet, first from data
/// centres that have none yet. So a daemon that comes or goes moves few places.
pub fn entries<'a>(service: &str, most: usize, candidates: &'a [Candidate]) -> Vec<&'a Candidate> {
    let mut chosen: Vec<&Candidate> = Vec::new();
    let mut centres = Set::default();
    while chosen.len() < most.min(candidates.len()) {
        let place = format!("{service}#{}", chosen.len());
        let weight = |candidate: &&Candidate| {
            let fresh = !centres.contains(&candidate.centre);
            (fresh, rank(&place, &candidate.name), candidate.name.clone())
        };
        let left = candidates
            .iter()
            .filter(|candidate| !chosen.contains(candidate));
        let Some(best) = left.max_by_key(weight) else {
            break;
        };
        centres.insert(best.centre.clone());
        chosen.push(best);
    }
    chosen
}

/// The home of each worker, in the order of `workers`: the service's entries in turn, so that
/// each has as many workers as the others.
pub fn home<'a>(workers: &[Name], entries: &[&'a Candidate]) -> Vec<Option<&'a Name>> {
    let mut order: Vec<usize> = (0..workers.len()).collect();
    let key = |index: &usize| {
        workers
            .get(*index)
            .map(|name| (rank("home", name), name.clone()))
    };
    order.sort_by_key(key);
    let mut homes = vec![None; workers.len()];
    for (turn, index) in order.into_iter().enumerate() {
        let entry = entries.get(turn % entries.len().max(1));
        if let Some(place) = homes.get_mut(index) {
            *place = entry.map(|entry| &entry.name);
        }
    }
    homes
}

/// Whether `me` is among the `most` daemons of `listed` that share a worker's measuring budget.
pub fn sharers(worker: &str, most: usize, listed: &[Name], me: &Name) -> bool {
    let own = (rank(worker, me), me);
    let ahead = listed
        .iter()
        .filter(|name| (rank(worker, name), *name) > own)
        .count();
    listed.contains(me) && ahead < most
}
