//! A site's own file with the limits and the client accounts, and the combination of all its files.

use {
    crate::{
        account_section::{ACCOUNT_KEYS, AccountSection},
        ini_file::IniFile,
        problem::{Problem, Problems},
        service_file::ServiceFile,
    },
    site::{ApiKeys, CallerLimits, Config, KeyDigest, Route},
    std::sync::Arc,
    unit::{Map, Name, Set},
};

/// The prefix of an account's section, before the account's name.
const ACCOUNT: &str = "account ";
const LIMITS: &str = "limits";
const LIMIT_KEYS: &[&str] = &["body_bytes", "head_bytes", "head_ms", "idle_ms"];
const MAX_BYTES: usize = 1 << 30;
const MAX_MS: u64 = 3_600_000;

/// What a site's own file says.
#[derive(Clone, Default)]
pub struct SiteFile {
    accounts: Vec<AccountSection>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

impl SiteFile {
    /// Parses `text`, the contents of the file named `file`.
    ///
    /// # Errors
    /// Fails with all problems in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let ini = IniFile::parse(file, text)?;
        ini.check_sections(|section| match section {
            LIMITS => Some(LIMIT_KEYS),
            account if account.starts_with(ACCOUNT) => Some(ACCOUNT_KEYS),
            _ => None,
        });
        let accounts = ini
            .sections()
            .into_iter()
            .filter_map(|section| Some((section, section.strip_prefix(ACCOUNT)?.trim())))
            .filter_map(|(section, name)| AccountSection::read(&ini, section, name))
            .collect();
        check_keys(&ini, &accounts);
        let limits = read_limits(&ini);
        ini.finish(Some(Self { accounts, limits }))
    }

    /// The keys of its accounts in clear text, which only a write to the store needs.
    pub fn api_keys(&self) -> ApiKeys {
        let mut keys = ApiKeys::default();
        for section in &self.accounts {
            keys.insert(section.account.name.clone(), section.keys.clone());
        }
        keys
    }
}

/// Reports the names and the keys that two accounts have.
fn check_keys(ini: &IniFile<'_>, accounts: &Vec<AccountSection>) {
    let mut holders: Map<KeyDigest, &Name> = Map::default();
    let mut names: Set<&Name> = Set::default();
    for AccountSection { account, .. } in accounts {
        let section = format!("{ACCOUNT}{}", account.name);
        if !names.insert(&account.name) {
            let remedy = "give each account its own name";
            ini.report(&section, "", "another account has this name", remedy);
        }
        for key in &account.keys {
            let holder = holders.entry(*key).or_insert(&account.name);
            if **holder != account.name {
                let message = format!("account {holder} has one of these keys");
                ini.report(&section, "keys", &message, "give each account its own keys");
            }
        }
    }
}

/// Reads the limits on callers.
fn read_limits(ini: &IniFile<'_>) -> CallerLimits {
    let default = CallerLimits::default();
    let millis =
        |key, default: unit::Span| ini.millis(LIMITS, key, 1..=MAX_MS, default.as_millis());
    CallerLimits {
        body_bytes: ini.number(LIMITS, "body_bytes", 0..=MAX_BYTES, default.body_bytes),
        head_bytes: ini.number(LIMITS, "head_bytes", 256..=MAX_BYTES, default.head_bytes),
        head_timeout: millis("head_ms", default.head_timeout),
        idle_timeout: millis("idle_ms", default.idle_timeout),
    }
}

/// Combines a site's files into a configuration. Each service file comes with its own name, for
/// errors.
///
/// # Errors
/// Fails if two files define the same service, route name, or host and prefix, or if a route's
/// target has no file.
pub fn compile(
    files: &[(String, ServiceFile)],
    site: &SiteFile,
    version: u64,
) -> Result<Config, Problems> {
    let accounts = site.accounts.iter().map(|section| {
        let account = section.account.clone();
        (account.name.clone(), Arc::new(account))
    });
    let mut config = Config {
        accounts: accounts.collect(),
        limits: site.limits,
        version,
        ..Config::default()
    };
    let mut problems = Vec::new();
    for (path, file) in files {
        let service = Arc::new(file.service.clone());
        if config
            .services
            .insert(service.name.clone(), service)
            .is_some()
        {
            let message = format!("service {} has another file", file.service.name);
            problems.push(problem(
                path,
                "[service] name",
                message,
                "give each service one file",
            ));
        }
    }
    let mut names: Set<Name> = Set::default();
    let mut prefixes: Set<(Name, Name)> = Set::default();
    for (path, file) in files {
        for section in &file.routes {
            let key = format!("[route {}]", section.route.name);
            if !names.insert(section.route.name.clone()) {
                let message = "another route has this name".to_owned();
                problems.push(problem(path, &key, message, "give each route its own name"));
            }
            if !prefixes.insert((section.host.clone(), section.route.prefix.clone())) {
                let message = "another route has this host and prefix".to_owned();
                problems.push(problem(path, &key, message, "merge the two, or change one"));
            }
            problems.extend(unknown_targets(&config, path, &key, &section.route));
            config.add_route(&section.host, section.route.clone());
        }
    }
    if problems.is_empty() {
        Ok(config)
    } else {
        Err(Problems(problems))
    }
}

/// Reports the targets of `route` that are not among the services of `config`.
fn unknown_targets(config: &Config, file: &str, key: &str, route: &Route) -> Vec<Problem> {
    let unknown = route
        .targets
        .iter()
        .filter(|target| !config.services.contains_key(&target.service));
    unknown
        .map(|target| {
            let message = format!("service {} has no file", target.service);
            problem(
                file,
                key,
                message,
                "add the service's file, or correct the name",
            )
        })
        .collect()
}

fn problem(file: &str, key: &str, message: String, remedy: &str) -> Problem {
    Problem {
        remedy: remedy.to_owned(),
        file: file.to_owned(),
        key: key.to_owned(),
        line: 1,
        message,
    }
}
