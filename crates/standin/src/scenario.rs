//! What a run of the load tool does.

use {
    crate::{
        StandinError,
        fleet::{Plan, ServicePlan},
    },
    ini::{Ini, Properties},
    std::{fs, path::Path, str::FromStr, time::Duration},
};

/// How calls arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rhythm {
    /// The rate shifts every 10 to 50 ms between two fifths and eight fifths of the mean.
    Bursty,
    /// At a steady mean rate, independent of each other.
    Steady,
}

/// How long calls are to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Times {
    /// Exponentially distributed.
    Exponential,
    /// All the same.
    Fixed,
    /// Log-normally distributed with a heavy tail.
    Heavy,
}

/// A service under load.
#[derive(Clone, Debug)]
pub struct Target {
    /// Daemons that serve it at once.
    pub entries: usize,
    /// Its name.
    pub name: String,
    /// Its workers.
    pub workers: usize,
}

/// A run of the load tool.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Threads that call.
    pub callers: usize,
    /// The data centres.
    pub centres: Vec<String>,
    /// The daemons.
    pub daemons: usize,
    /// Deferrable calls, in percent.
    pub deferrable: u32,
    /// The offered load, in percent of what all slots can do.
    pub load: u32,
    /// The mean work of a call.
    pub mean: Duration,
    /// Calls that run at most once, in percent.
    pub payments: u32,
    /// How calls arrive.
    pub rhythm: Rhythm,
    /// How long calls are measured.
    pub seconds: u64,
    /// Decides all arrivals and their work.
    pub seed: u64,
    /// How much longer the work of a straggler takes.
    pub slowness: f64,
    /// Workers of each service that are stragglers.
    pub stragglers: usize,
    /// The services.
    pub targets: Vec<Target>,
    /// How work is distributed.
    pub times: Times,
    /// How long calls come before they are measured.
    pub warmup: u64,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// Fails on a file that can't be read or lacks a key.
    pub fn read(path: &Path) -> Result<Self, StandinError> {
        let text = fs::read_to_string(path)?;
        let ini = Ini::load_from_str(&text)
            .map_err(|error| StandinError::Scenario(format!("{}: {error}", path.display())))?;
        let section = |name: &str| {
            let missing = || StandinError::Scenario(format!("[{name}] is missing"));
            ini.section(Some(name)).ok_or_else(missing)
        };
        let (run, fleet) = (section("scenario")?, section("fleet")?);
        let targets = ini.sections().flatten().filter_map(|name| {
            let service = name.strip_prefix("service ")?;
            Some((service.to_owned(), ini.section(Some(name))?))
        });
        let targets = targets.map(|(name, keys)| {
            let entries = number(keys, "entries")?;
            let workers = number(keys, "workers")?;
            Ok(Target {
                entries,
                name,
                workers,
            })
        });
        Ok(Self {
            callers: number(run, "callers")?,
            centres: word(fleet, "centres")?
                .split_whitespace()
                .map(str::to_owned)
                .collect(),
            daemons: number(fleet, "daemons")?,
            deferrable: number(run, "deferrable_percent")?,
            load: number(run, "load_percent")?,
            mean: Duration::from_millis(number(run, "mean_work_ms")?),
            payments: number(run, "payments_percent")?,
            rhythm: match word(run, "arrivals")? {
                "bursty" => Rhythm::Bursty,
                "steady" => Rhythm::Steady,
                other => return Err(wrong("arrivals", other, "bursty or steady")),
            },
            seconds: number(run, "seconds")?,
            seed: number(run, "seed")?,
            slowness: number(run, "slowness")?,
            stragglers: number(run, "stragglers")?,
            targets: targets.collect::<Result<_, StandinError>>()?,
            times: match word(run, "times")? {
                "exponential" => Times::Exponential,
                "fixed" => Times::Fixed,
                "heavy" => Times::Heavy,
                other => return Err(wrong("times", other, "exponential, fixed or heavy")),
            },
            warmup: number(run, "warmup_s")?,
        })
    }

    /// The fleet for it, under one of the ways to choose workers: `lease`, `alone`, `hedged`, or `oracle`,
    /// which is a single daemon that sees everything.
    pub fn plan(&self, way: &str) -> Plan {
        let oracle = way == "oracle";
        let service = |target: &Target| ServicePlan {
            file: file(target, if oracle { 1 } else { target.entries }),
            name: target.name.clone(),
            workers: target.workers,
        };
        Plan {
            centres: self.centres.clone(),
            daemons: if oracle { 1 } else { self.daemons },
            limits: String::new(),
            policy: if oracle { "lease" } else { way }.to_owned(),
            services: self.targets.iter().map(service).collect(),
        }
    }
}

fn file(target: &Target, entries: usize) -> String {
    format!(
        "[service]\nname = {}\nentries = {entries}\nprobes = 20\nslots = 4\n\n\
         [class payments]\nmethods = POST\npath = /pay\nkind = at-most-once\n\
         priority = interactive\ndeadline_ms = 3000\n\n\
         [class archive]\npath = /archive\nkind = idempotent\npriority = deferrable\n\
         deadline_ms = 20000\n\n\
         [class reads]\nkind = idempotent\npriority = interactive\ndeadline_ms = 3000\n",
        target.name
    )
}

fn word<'a>(keys: &'a Properties, key: &str) -> Result<&'a str, StandinError> {
    keys.get(key)
        .ok_or_else(|| StandinError::Scenario(format!("key {key} is missing")))
}

fn number<T: FromStr>(keys: &Properties, key: &str) -> Result<T, StandinError> {
    let text = word(keys, key)?;
    text.parse().map_err(|_| wrong(key, text, "a number"))
}

fn wrong(key: &str, value: &str, allowed: &str) -> StandinError {
    StandinError::Scenario(format!("{key} = {value} is not allowed; give {allowed}"))
}
