//! The replacement of a fleet's daemons, one after the other, by those of another build.

use {
    crate::{error::StandinError, fleet::Fleet, soak::fault::Build},
    fastrand::Rng,
    serde_json::Value,
    std::{collections::VecDeque, ops::Range, path::PathBuf, time::Duration},
};

/// The end of the upgrade and the beginning of the downgrade, in fractions of the period in which
/// faults begin. In between all daemons are of the build under test.
const UPGRADE_END: f64 = 0.45;
const DOWNGRADE_BEGIN: f64 = 0.55;
/// The name in log lines about messages of other daemons that can't be read.
const REFUSED: &str = "peer-message-refused";

/// The time from the stop of a daemon to the start of its replacement, in milliseconds.
const GAP_MS: Range<u64> = 200..1_000;

/// The replacement of a daemon by one of a build.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replacement {
    pub(crate) build: Build,
    pub(crate) daemon: usize,
    /// The time from its stop to the start of the other one.
    pub(crate) gap: Duration,
}

/// A daemon's log from the launch of a program on.
struct Launch {
    build: Build,
    daemon: usize,
    /// The length of its log at the launch, in bytes.
    from: usize,
}

/// Which daemon is to be replaced when, and what was launched.
pub(crate) struct Replacements {
    launches: Vec<Launch>,
    /// The program of the build in production.
    production: PathBuf,
    /// The replacements that have not begun, each with its time from the start of the soak.
    schedule: VecDeque<(Duration, Replacement)>,
    /// The program of the build under test.
    tested: PathBuf,
}

impl Replacements {
    /// Plans to replace all daemons by those of the build under test, each group in a random order,
    /// and then to go back.
    pub(crate) fn new(
        production: PathBuf,
        tested: PathBuf,
        daemons: usize,
        duration: Duration,
        rng: &mut Rng,
    ) -> Self {
        let phases = [
            (Build::Tested, 0.0, UPGRADE_END),
            (Build::Production, DOWNGRADE_BEGIN, 1.0),
        ];
        let mut schedule = VecDeque::new();
        for (build, from, to) in phases {
            let mut order: Vec<usize> = (0..daemons).collect();
            rng.shuffle(&mut order);
            for (at, daemon) in order.into_iter().enumerate() {
                let part = from + (to - from) * (at as f64 + 0.5) / daemons as f64;
                let replacement = Replacement {
                    build,
                    daemon,
                    gap: Duration::from_millis(rng.u64(GAP_MS)),
                };
                schedule.push_back((duration.mul_f64(part), replacement));
            }
        }
        let launch = |daemon| Launch {
            build: Build::Production,
            daemon,
            from: 0,
        };
        Self {
            launches: (0..daemons).map(launch).collect(),
            production,
            schedule,
            tested,
        }
    }

    /// Whether all replacements have begun.
    pub(crate) fn is_done(&self) -> bool {
        self.schedule.is_empty()
    }

    /// Takes the next replacement if it is due and `may_begin`.
    pub(crate) fn take_due(
        &mut self,
        elapsed: Duration,
        may_begin: impl Fn(usize) -> bool,
    ) -> Option<Replacement> {
        let (at, replacement) = self.schedule.front().copied()?;
        if elapsed < at || !may_begin(replacement.daemon) {
            return None;
        }
        self.schedule.pop_front();
        Some(replacement)
    }

    /// Launches a daemon that isn't running with the program of a build.
    pub(crate) fn launch(
        &mut self,
        fleet: &mut Fleet,
        daemon: usize,
        build: Build,
    ) -> Result<(), StandinError> {
        let program = match build {
            Build::Production => &self.production,
            Build::Tested => &self.tested,
        };
        self.launches.push(Launch {
            build,
            daemon,
            from: fleet.log(daemon)?.len(),
        });
        fleet.set_program(daemon, program);
        fleet.launch(daemon)
    }

    /// The messages of other daemons that couldn't be read, by the daemons' logs.
    pub(crate) fn refusals(&self, fleet: &Fleet) -> Result<Refusals, StandinError> {
        let mut refusals = Refusals::default();
        for (at, launch) in self.launches.iter().enumerate() {
            let log = fleet.log(launch.daemon)?;
            let mut later = self.launches[at + 1..].iter();
            let next = later.find(|next| next.daemon == launch.daemon);
            let end = next.map_or(log.len(), |next| next.from);
            let lines = log[launch.from..end].lines();
            for line in lines.filter(|line| line.contains(REFUSED)) {
                match (launch.build, what_was_refused(line)) {
                    (Build::Production, Refused::Datagram) => refusals.datagrams += 1,
                    (Build::Production, Refused::Request) => refusals.requests += 1,
                    _ => refusals.faults.push(line.to_owned()),
                }
            }
        }
        Ok(refusals)
    }
}

/// Messages between daemons that couldn't be read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Refusals {
    /// The datagrams that the build in production refused, such as offers of the extended form.
    pub(crate) datagrams: usize,
    /// The log lines about messages that no daemon may refuse: any at the build under test, and
    /// replies to fetches at the build in production.
    pub(crate) faults: Vec<String>,
    /// The requests on streams that the build in production refused. A daemon that was just replaced
    /// may get some in the extended form.
    pub(crate) requests: usize,
}

/// What a log line says was refused.
enum Refused {
    Datagram,
    FetchReply,
    Request,
}

/// Tells by the peer in a log line what was refused: datagrams come from an address with a port,
/// replies to fetches from one without, and requests name no peer.
fn what_was_refused(line: &str) -> Refused {
    let fields: Value = serde_json::from_str(line).unwrap_or_default();
    match fields.get("peer").and_then(Value::as_str) {
        None => Refused::Request,
        Some(peer) if peer.contains(':') => Refused::Datagram,
        Some(_) => Refused::FetchReply,
    }
}
