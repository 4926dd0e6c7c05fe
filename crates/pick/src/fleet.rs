use {
    limit::{FleetPosition, Placement},
    site::Worker,
    unit::{Map, Name, rendezvous_weight},
};

/// The key under which names of daemons and ids of workers are hashed to points of the ring.
const RING_KEY: &str = "ring";

/// The registered daemons, as they share what each worker allows the whole fleet.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    /// The number of daemons of each data centre.
    centre_counts: Map<Name, usize>,
    /// The daemons' data centres, by name; this daemon's own is among them.
    members: Map<Name, Name>,
    /// This daemon's name.
    name: Name,
    /// The daemons' points on a ring of hashes, in ascending order. For each worker the daemons are
    /// ranked by their distance from its point, so that all daemons rank alike, the ranks differ
    /// from worker to worker, and one daemon more or less moves no rank by more than one.
    ring: Vec<u64>,
}

impl Fleet {
    /// A fleet of one daemon.
    pub(crate) fn new(name: Name, centre: Name) -> Self {
        let mut fleet = Self {
            centre_counts: Map::default(),
            members: [(name.clone(), centre)].into_iter().collect(),
            name,
            ring: Vec::new(),
        };
        fleet.rebuild();
        fleet
    }

    /// Replaces the other daemons, each with its data centre; returns whether anything changed.
    pub(crate) fn replace<'a>(
        &mut self,
        others: impl ExactSizeIterator<Item = (&'a Name, &'a Name)> + Clone,
    ) -> bool {
        let known = |(name, centre): (&Name, &Name)| self.members.get(name) == Some(centre);
        if others.len() + 1 == self.members.len() && others.clone().all(known) {
            return false;
        }
        let own = self.members.remove_entry(&self.name);
        let others = others.map(|(name, centre)| (name.clone(), centre.clone()));
        self.members = others.chain(own).collect();
        self.rebuild();
        true
    }

    /// The number of daemons.
    pub(crate) fn count(&self) -> usize {
        self.members.len()
    }

    /// The number of daemons of a data centre.
    pub(crate) fn count_in(&self, centre: &str) -> usize {
        self.centre_counts.get(centre).copied().unwrap_or_default()
    }

    /// This daemon's position among all for a worker.
    pub(crate) fn position(&self, worker_id: &str) -> FleetPosition {
        let count = self.ring.len();
        let index_of = |point: u64| self.ring.partition_point(|other| *other < point);
        let own = index_of(ring_point(&self.name));
        let first = index_of(ring_point(worker_id));
        FleetPosition {
            count,
            rank: (own + count - first) % count,
        }
    }

    /// This daemon's place among those that share the limit that a worker names.
    pub(crate) fn placement(&self, worker: &Worker) -> Placement {
        let own_centre = &self.members[&self.name];
        let is_local = |centre: &Name| *centre == worker.centre;
        let weight = |name: &Name| rendezvous_weight(&worker.id, name);
        let own = (weight(&self.name), &self.name);
        let same_side = |centre: &Name| is_local(centre) == is_local(own_centre);
        let before =
            |(name, centre): &(&Name, &Name)| same_side(centre) && (weight(name), *name) < own;
        let local = self.count_in(&worker.centre);
        Placement {
            is_local: is_local(own_centre),
            local,
            rank: self.members.iter().filter(before).count(),
            remote: self.count() - local,
        }
    }

    /// Computes anew what follows from the members.
    fn rebuild(&mut self) {
        self.centre_counts.clear();
        for centre in self.members.values() {
            *self.centre_counts.entry(centre.clone()).or_default() += 1;
        }
        self.ring = self.members.keys().map(|name| ring_point(name)).collect();
        self.ring.sort_unstable();
    }
}

/// The point of a daemon's name or a worker's id on the ring.
fn ring_point(name: &str) -> u64 {
    rendezvous_weight(RING_KEY, name)
}
