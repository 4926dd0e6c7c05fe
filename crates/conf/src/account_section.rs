use {
    crate::ini_file::IniFile,
    site::{Account, KeyDigest},
    unit::Rate,
};

pub(crate) const ACCOUNT_KEYS: &[&str] = &["burst", "keys", "priority", "rate"];

const MAX_BURST: u32 = 1_000_000;
const MAX_PRIORITY: u32 = 1_000;
const MAX_RATE: f64 = 1e6;
const KEYS_REMEDY: &str = "give keys without spaces, separated by commas";

/// An `[account NAME]` section of a site's own file.
#[derive(Clone)]
pub(crate) struct AccountSection {
    pub(crate) account: Account,
    /// Its keys in clear text.
    pub(crate) keys: Vec<String>,
}

impl AccountSection {
    /// Reads the section of the account `name`. Returns nothing if the section is invalid. Problems
    /// never quote a key.
    pub(crate) fn read(ini: &IniFile<'_>, section: &str, name: &str) -> Option<Self> {
        let keys: Vec<String> = ini
            .require(section, "keys", KEYS_REMEDY)?
            .split(',')
            .map(|key| key.trim().to_owned())
            .collect();
        if !keys.iter().all(|key| KeyDigest::is_key(key)) {
            let message = "a key is empty or contains a space";
            ini.report(section, "keys", message, KEYS_REMEDY);
            return None;
        }
        let mut digests: Vec<KeyDigest> = keys.iter().map(|key| KeyDigest::of(key)).collect();
        digests.sort_unstable();
        digests.dedup();
        let rate = ini.number(section, "rate", 0.0..=MAX_RATE, 0.0);
        let priority = ini.value(section, "priority").is_some();
        let priority =
            priority.then(|| ini.number(section, "priority", 0..=MAX_PRIORITY, MAX_PRIORITY));
        let account = Account {
            burst: ini.number(section, "burst", 0..=MAX_BURST, 0),
            keys: digests,
            name: name.into(),
            priority,
            rate: Rate::per_second(rate).filter(|rate| *rate > Rate::default()),
        };
        Some(Self { account, keys })
    }
}
