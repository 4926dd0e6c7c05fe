use {
    crate::{Problems, doc::Doc},
    serde::Serialize,
    std::{net::SocketAddr, path::PathBuf},
    unit::{Name, Span},
};

const DAEMON: &[&str] = &["data_centre", "log", "name", "policy", "region"];
const LIMITS: &[&str] = &[
    "answer_age_ms",
    "body_kb",
    "conns",
    "drain_ms",
    "head_kb",
    "head_ms",
    "headers",
    "idle_ms",
    "keys",
    "ticket_ms",
];
const LISTEN: &[&str] = &["callers", "operators", "peers"];
const PEERS: &[&str] = &["bootstrap", "keys"];
const PLATFORM: &[&str] = &["addresses", "calls_per_s", "timeout_ms", "watchers"];

/// How a daemon chooses workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Each daemon for itself, by two random choices, without hedges; the baseline of
    /// measurements.
    Alone,
    /// As alone, with hedges; a second baseline.
    Hedged,
    /// Homes that lend slots.
    Lease,
}

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// How long callers may keep an answer about entries.
    pub age: Span,
    /// Peers to try before the platform has named any.
    pub bootstrap: Vec<SocketAddr>,
    /// The longest body of a caller's request, in bytes.
    pub body: usize,
    /// The address for callers.
    pub callers: SocketAddr,
    /// Calls to the platform in a second, at most.
    pub calls: u32,
    /// The data centre that the VM stands in.
    pub centre: Name,
    /// Connections of callers, at most.
    pub conns: usize,
    /// How long a planned stop may take after cached answers have expired.
    pub drain: Span,
    /// The longest head of a caller's request, in bytes.
    pub head: usize,
    /// How long a head may take to arrive.
    pub headtime: Span,
    /// Header lines in a request, at most.
    pub headers: usize,
    /// How long a caller's connection may wait between requests.
    pub idle: Span,
    /// The idempotency keys that are remembered, at most.
    pub keys: usize,
    /// The file with the peers' shared keys, readable by its owner alone.
    pub keyfile: PathBuf,
    /// The least grave level that is logged.
    pub log: String,
    /// The daemon's name, the same as its VM's.
    pub name: Name,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The platform's addresses, tried in turn.
    pub platform: Vec<SocketAddr>,
    /// How it chooses workers.
    pub policy: Policy,
    /// The region that the data centre stands in.
    pub region: Name,
    /// How long a ticket lives.
    pub ticket: Span,
    /// How long a call to the platform may take.
    pub timeout: Span,
    /// The daemons in a region that watch the platform.
    pub watchers: usize,
}

impl Settings {
    /// Reads a settings file; `file` stands in the problems.
    ///
    /// # Errors
    /// Every wrong section and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let doc = Doc::parse(file, text)?;
        doc.allow(|section| match section {
            "daemon" => Some(DAEMON),
            "limits" => Some(LIMITS),
            "listen" => Some(LISTEN),
            "peers" => Some(PEERS),
            "platform" => Some(PLATFORM),
            _ => None,
        });
        let settings = Self::read(&doc);
        doc.finish(settings)
    }

    fn read(doc: &Doc<'_>) -> Option<Self> {
        let log = doc.text("daemon", "log").unwrap_or("info").to_owned();
        if !["error", "warn", "info", "debug"].contains(&log.as_str()) {
            doc.report(
                "daemon",
                "log",
                "unknown level",
                "give error, warn, info or debug",
            );
        }
        let policy = match doc.text("daemon", "policy") {
            None | Some("lease") => Policy::Lease,
            Some("alone") => Policy::Alone,
            Some("hedged") => Policy::Hedged,
            Some(_) => {
                doc.report(
                    "daemon",
                    "policy",
                    "unknown policy",
                    "give lease, alone or hedged",
                );
                Policy::Lease
            }
        };
        let name = doc.name("daemon", "name");
        let centre = doc.name("daemon", "data_centre");
        let region = doc.name("daemon", "region");
        let callers = address(doc, "callers");
        let operators = address(doc, "operators");
        let peers = address(doc, "peers");
        let keyfile = doc.need("peers", "keys", "name the file that holds the shared keys");
        let platform = addresses(doc, "platform", "addresses");
        if platform.is_empty() {
            let allowed = "give one or more addresses as IP:PORT, parted by blanks";
            doc.report("platform", "addresses", "no address", allowed);
        }
        Some(Self {
            age: doc.millis("limits", "answer_age_ms", 100..=60_000, 2_000),
            bootstrap: addresses(doc, "peers", "bootstrap"),
            body: doc.number("limits", "body_kb", 1..=16_384, 1_024) << 10,
            callers: callers?,
            calls: doc.number("platform", "calls_per_s", 1..=1_000, 20),
            centre: centre?.into(),
            conns: doc.number("limits", "conns", 1..=20_000, 2_000),
            drain: doc.millis("limits", "drain_ms", 0..=600_000, 10_000),
            head: doc.number("limits", "head_kb", 1..=256, 16) << 10,
            headtime: doc.millis("limits", "head_ms", 10..=60_000, 5_000),
            headers: doc.number("limits", "headers", 8..=96, 64),
            idle: doc.millis("limits", "idle_ms", 100..=3_600_000, 60_000),
            keys: doc.number("limits", "keys", 1..=1_000_000, 50_000),
            keyfile: PathBuf::from(keyfile?),
            log,
            name: name?.into(),
            operators: operators?,
            peers: peers?,
            platform,
            policy,
            region: region?.into(),
            ticket: doc.millis("limits", "ticket_ms", 1_000..=600_000, 60_000),
            timeout: doc.millis("platform", "timeout_ms", 50..=60_000, 2_000),
            watchers: doc.number("platform", "watchers", 1..=64, 3),
        })
    }
}

fn address(doc: &Doc<'_>, key: &str) -> Option<SocketAddr> {
    doc.parse_with("listen", key, "give an address as IP:PORT", |value| {
        value.parse().ok()
    })
}

fn addresses(doc: &Doc<'_>, section: &str, key: &str) -> Vec<SocketAddr> {
    let value = doc.text(section, key).unwrap_or_default();
    let parse = |word: &str| {
        let address = word.parse().ok();
        if address.is_none() {
            let wrong = format!("{word:?} is not an address");
            doc.report(
                section,
                key,
                &wrong,
                "give addresses as IP:PORT, parted by blanks",
            );
        }
        address
    };
    value.split_whitespace().filter_map(parse).collect()
}
