use {
    conf::{Bundle, Generation, VmList},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
    unit::{Name, Span, Time, rank},
};

/// Between two times of asking peers for what is new.
const ASK: Span = Span::millis(300);

/// What to do next.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum SpreadAction {
    /// Ask a peer for what is newer than this.
    Fetch {
        /// The newest generation here.
        generation: Generation,
        /// The newest list of VMs here.
        list: u64,
        /// Whom to ask.
        peer: Name,
    },
}

/// What one daemon tells another of a newer site and a newer list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// A newer site, with the texts that have changed; `None` where there is none.
    pub bundle: Option<Bundle>,
    /// A newer list of VMs.
    pub list: Option<VmList>,
}

/// Which generation is in force here, and what peers have.
///
/// Neither the generation nor the list's version ever goes back. A daemon has caught up once the
/// platform, or enough of the daemons that it knows of, have told it what they have, and it has the
/// newest of it.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    asked: Time,
    caught_up: bool,
    /// The newest generation here.
    generation: Generation,
    list: u64,
    /// What each peer last said it has.
    peers: BTreeMap<Name, (Generation, u64)>,
    /// Generations that were refused as not valid.
    refused: BTreeSet<Generation>,
}

impl Spread {
    /// The newest generation here.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The version of the newest list here.
    pub fn list(&self) -> u64 {
        self.list
    }

    /// What a peer last said it has.
    pub fn peer(&self, name: &Name) -> Option<Generation> {
        self.peers.get(name).map(|(generation, _)| *generation)
    }

    /// The newest generation that was refused, if it is newer than the one in force.
    pub fn refused(&self) -> Option<Generation> {
        self.refused
            .last()
            .copied()
            .filter(|refused| *refused > self.generation)
    }

    /// Whether a site of `generation` is to be put in force; if so, it counts as in force.
    pub fn accept(&mut self, generation: Generation) -> bool {
        let newer = generation > self.generation;
        if newer {
            self.generation = generation;
        }
        newer
    }

    /// Whether a list of this version is to be put in force; if so, it counts as in force.
    pub fn accept_list(&mut self, version: u64) -> bool {
        let newer = version > self.list;
        if newer {
            self.list = version;
        }
        newer
    }

    /// Notes that a generation is not valid, so that it isn't asked for again.
    pub fn refuse(&mut self, generation: Generation) {
        self.refused.insert(generation);
    }

    /// Notes that the platform said what is newest, and that it is in force here or refused.
    pub fn platform_answered(&mut self) {
        self.caught_up = true;
    }

    /// Notes what a peer has.
    pub fn heard(&mut self, peer: &Name, generation: Generation, list: u64) {
        self.peers.insert(peer.clone(), (generation, list));
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }

    /// Whether this daemon may serve; `known` other daemons are known of.
    ///
    /// So many of them must have told it that one is among any majority of all daemons, even if
    /// this daemon was in that majority itself in an earlier life.
    pub fn caught_up(&mut self, known: usize) -> bool {
        let most = !self.peers.is_empty() && self.peers.len() >= (known + 1).div_ceil(2);
        let newest = self.peers.values().all(|(generation, list)| {
            (*generation <= self.generation || self.refused.contains(generation))
                && *list <= self.list
        });
        self.caught_up |= most && newest && self.generation > Generation(0);
        self.caught_up
    }

    /// What to do as time passes: asks one of the peers that have something newer.
    pub fn tick(&mut self, now: Time, me: &Name) -> Option<SpreadAction> {
        if now - self.asked < ASK && self.asked > Time::ZERO {
            return None;
        }
        let newer = |(_, (generation, list)): &(&Name, &(Generation, u64))| {
            (*generation > self.generation && !self.refused.contains(generation))
                || *list > self.list
        };
        // Each daemon asks another one, so that a watcher doesn't answer for all.
        let weight = |(name, _): &(&Name, &(Generation, u64))| rank(me, name);
        let peer = self
            .peers
            .iter()
            .filter(newer)
            .max_by_key(weight)?
            .0
            .clone();
        self.asked = now;
        Some(SpreadAction::Fetch {
            generation: self.generation,
            list: self.list,
            peer,
        })
    }
}

/// What a daemon that has `bundle` and `list` answers one that has `have` and `seen`.
///
/// Only texts that changed since `have` are sent, if the history reaches back to it.
pub fn update_for(bundle: &Bundle, list: &VmList, have: Generation, seen: u64) -> Update {
    let reaches = bundle
        .root
        .history
        .first()
        .is_some_and(|first| first.generation <= have.0 + 1);
    let wanted = |service: &Name| {
        let what = format!("service {service}");
        let changed = bundle
            .root
            .last(&what)
            .is_none_or(|change| change.generation > have.0);
        !reaches || changed
    };
    let objects = bundle
        .root
        .services
        .iter()
        .filter(|(service, _)| wanted(service));
    let texts = objects.filter_map(|(_, object)| bundle.texts.get_key_value(object));
    let newer = (bundle.generation > have).then(|| Bundle {
        generation: bundle.generation,
        root: bundle.root.clone(),
        texts: texts
            .map(|(name, text)| (name.clone(), text.clone()))
            .collect(),
        vms: VmList::default(),
    });
    Update {
        bundle: newer,
        list: (list.version > seen).then(|| list.clone()),
    }
}

/// The whole site that `new` stands for on top of `old`; `None` where a text is in neither.
pub fn merge(old: &Bundle, new: Bundle) -> Option<Bundle> {
    let mut texts = BTreeMap::new();
    for object in new.root.services.values() {
        let text = new.texts.get(object).or_else(|| old.texts.get(object))?;
        texts.insert(object.clone(), text.clone());
    }
    Some(Bundle { texts, ..new })
}
