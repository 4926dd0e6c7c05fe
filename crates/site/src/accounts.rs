use {
    crate::{Account, Config, Credential, KeyDigest, KeyError},
    std::{collections::hash_map::Entry, sync::Arc},
    unit::{Map, Name, Set},
};

/// The client accounts of a configuration by the digests of their keys, which admit requests.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    /// The accounts by the digests of their keys.
    by_key: Map<KeyDigest, Arc<Account>>,
    by_name: Map<Name, Arc<Account>>,
    /// Whether requests need keys.
    enabled: bool,
}

impl Accounts {
    /// Collects the accounts of a configuration. A key that two accounts hold admits no request,
    /// since it doesn't tell whose the request is.
    pub fn new(config: &Config) -> Self {
        let mut by_key = Map::default();
        let mut shared = Set::default();
        for account in config.accounts.values() {
            for key in &account.keys {
                match by_key.entry(*key) {
                    Entry::Vacant(entry) => {
                        entry.insert(Arc::clone(account));
                    }
                    Entry::Occupied(entry) if entry.get().name == account.name => {}
                    Entry::Occupied(_) => {
                        shared.insert(*key);
                    }
                }
            }
        }
        by_key.retain(|key, _| !shared.contains(key));
        Self {
            by_key,
            by_name: config.accounts.clone(),
            enabled: config.has_accounts(),
        }
    }

    /// Whether requests need keys, except on public routes.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// The account of a request, which may have none if its route is `public` or requests need no
    /// keys.
    ///
    /// # Errors
    /// Fails if the request needs a key and doesn't carry one that is known.
    pub fn authenticate(
        &self,
        credential: &Credential,
        public: bool,
    ) -> Result<Option<&Arc<Account>>, KeyError> {
        if !self.enabled {
            return Ok(None);
        }
        let account = match credential {
            Credential::Absent => Err(KeyError::Absent),
            Credential::Key(key) => self.by_key.get(key).ok_or(KeyError::Unknown),
            Credential::Malformed => Err(KeyError::Malformed),
            Credential::Passed(name) => self.by_name.get(name).ok_or(KeyError::Unknown),
            Credential::Repeated => Err(KeyError::Repeated),
        };
        match account {
            Ok(account) => Ok(Some(account)),
            Err(_) if public => Ok(None),
            Err(error) => Err(error),
        }
    }
}
