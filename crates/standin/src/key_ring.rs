//! The keys of a fleet's client accounts under test, and when the store had them.

use {
    crate::config::config,
    fastrand::Rng,
    site::{Account, ApiKeys, Config, KeyDigest},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    unit::Name,
};

/// The time in which a key belongs to an account.
#[derive(Clone, Debug)]
pub struct KeyTerm {
    /// The account.
    pub account: Name,
    /// When the write that adds the key began.
    pub added: Instant,
    /// When the store had acknowledged the write that drops the key.
    pub dropped: Option<Instant>,
    /// The key.
    pub key: String,
}

/// The accounts of a fleet, of which each has one key at a time; shared by callers and the one that
/// changes the keys.
#[derive(Clone, Debug, Default)]
pub struct KeyRing(Arc<Mutex<Vec<KeyTerm>>>);

impl KeyRing {
    /// Creates accounts, each with its first key.
    pub fn new(accounts: usize) -> Self {
        let term = |index| KeyTerm {
            account: format!("account-{index}").into(),
            added: Instant::now(),
            dropped: None,
            key: format!("key-{index}"),
        };
        Self(Arc::new(Mutex::new((0..accounts).map(term).collect())))
    }

    /// All terms, the oldest first.
    pub fn terms(&self) -> Vec<KeyTerm> {
        self.lock().clone()
    }

    /// A configuration with the accounts whose keys are in force, and the keys.
    pub fn config(&self, version: u64) -> (Config, ApiKeys) {
        let mut config = config(version);
        let mut keys = ApiKeys::default();
        for term in self.lock().iter().filter(|term| term.dropped.is_none()) {
            let account = Account {
                burst: 0,
                keys: vec![KeyDigest::of(&term.key)],
                name: term.account.clone(),
                priority: None,
                rate: None,
            };
            config
                .accounts
                .insert(term.account.clone(), Arc::new(account));
            keys.insert(term.account.clone(), vec![term.key.clone()]);
        }
        (config, keys)
    }

    /// Gives a random account another key: a new one, or one that another account had before.
    /// `publish` writes the configuration to the store.
    pub(crate) fn change(&self, rng: &mut Rng, publish: impl FnOnce(&Self)) {
        let changed = {
            let mut terms = self.lock();
            let mut used = terms.iter().filter(|term| term.dropped.is_some());
            let current = |key: &str| {
                let mut terms = terms.iter();
                terms.any(|term| term.key == key && term.dropped.is_none())
            };
            let key = match used.next_back() {
                Some(term) if rng.bool() && !current(&term.key) => term.key.clone(),
                _ => format!("key-{}", terms.len()),
            };
            let in_force: Vec<usize> = (0..terms.len())
                .filter(|index| terms[*index].dropped.is_none())
                .collect();
            let Some(index) = rng.choice(in_force) else {
                return;
            };
            let now = Instant::now();
            let account = terms[index].account.clone();
            terms[index].dropped = Some(now);
            terms.push(KeyTerm {
                account,
                added: now,
                dropped: None,
                key,
            });
            index
        };
        publish(self);
        self.lock()[changed].dropped = Some(Instant::now());
    }

    /// A key in force.
    pub(crate) fn valid(&self, rng: &mut Rng) -> Option<String> {
        let terms = self.lock();
        let valid = terms.iter().filter(|term| term.dropped.is_none());
        rng.choice(valid.map(|term| &term.key).collect::<Vec<_>>())
            .cloned()
    }

    /// A key in force, mostly; else one that is not in force any more, one that never was, or none.
    pub(crate) fn any(&self, rng: &mut Rng) -> Option<String> {
        match rng.u32(..10) {
            0 => None,
            1 => Some(format!("never-{}", rng.u32(..100))),
            2 => {
                let dropped = self
                    .terms()
                    .into_iter()
                    .filter(|term| term.dropped.is_some());
                rng.choice(dropped.map(|term| term.key).collect::<Vec<_>>())
            }
            _ => self.valid(rng),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<KeyTerm>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
