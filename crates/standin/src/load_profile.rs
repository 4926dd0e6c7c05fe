//! Open-loop load: requests are sent on a schedule, whether or not earlier ones have ended. Only a
//! caller whose request outlasts the time of its next one sends that one late, and catches up.

use {
    crate::{
        caller::{Caller, RequestResult},
        config::{READ_PREFIX, WRITE_PREFIX},
        fleet::Fleet,
        outcome::Outcome,
    },
    hdrhistogram::Histogram,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::Write,
        net::SocketAddrV4,
        sync::mpsc,
        thread,
        time::{Duration, Instant},
    },
    unit::Span,
};

/// The number of concurrent callers, and so the maximum number of requests in flight.
const CALLERS: usize = 64;
/// The upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// The rate, mix and duration of an open-loop load.
#[derive(Clone, Debug, Default)]
pub struct LoadProfile {
    /// The keys of the client accounts that send the requests, the busiest first; empty if there
    /// are no accounts.
    pub keys: Vec<String>,
    /// How unevenly the accounts send: the nth sends as much as the first divided by n to the power
    /// of this.
    pub skew: f64,
    /// The time allowed for each request.
    pub deadline: Span,
    /// The period over which requests are sent.
    pub duration: Duration,
    /// Requests per second.
    pub rate: f64,
    /// The fraction of requests that are writes, which may run at most once; from 0 to 1.
    pub write_share: f64,
}

/// The result of a load.
#[derive(Clone, Debug)]
pub struct Report {
    /// Every request, and whether it is a write.
    pub requests: Vec<(RequestResult, bool)>,
    /// The number of writes that ran more than once.
    pub duplicates: u64,
    /// The number of writes that ran although the daemon reported them as not run.
    pub false_refusals: u64,
}

impl LoadProfile {
    /// Sends the load to some daemons of a fleet, given by their indices, and waits for all
    /// results.
    pub fn run(&self, fleet: &Fleet, daemons: &[usize]) -> Report {
        let addresses: Vec<SocketAddrV4> =
            daemons.iter().map(|index| fleet.address(*index)).collect();
        let (results, requests) = mpsc::channel();
        thread::scope(|scope| {
            for at in 0..CALLERS {
                let (results, addresses) = (results.clone(), &addresses);
                scope.spawn(move || self.run_caller(at, addresses, &results));
            }
        });
        drop(results);
        let requests: Vec<(RequestResult, bool)> = requests.iter().collect();
        build_report(requests, &fleet.executions.counts())
    }

    /// Draws the key of the account that sends the next request.
    fn draw_key(&self) -> Option<String> {
        let weight = |rank: usize| (rank as f64 + 1.0).powf(-self.skew);
        let total: f64 = (0..self.keys.len()).map(weight).sum();
        let mut left = fastrand::f64() * total;
        let keys = self.keys.iter().enumerate();
        let mut drawn = keys.skip_while(|(rank, _)| {
            left -= weight(*rank);
            left > 0.0
        });
        let drawn = drawn.next().map(|(_, key)| key);
        drawn.or(self.keys.last()).cloned()
    }

    /// Sends one caller's share of the requests; the callers' schedules are evenly staggered.
    fn run_caller(
        &self,
        at: usize,
        addresses: &[SocketAddrV4],
        results: &mpsc::Sender<(RequestResult, bool)>,
    ) {
        let began = Instant::now();
        let gap = Duration::from_secs_f64(CALLERS as f64 / self.rate);
        let mut caller = Caller::new(&format!("c{at}-{}", fastrand::u32(..)), self.deadline);
        let mut next = gap.mul_f64(at as f64 / CALLERS as f64);
        while next < self.duration {
            thread::sleep(next.saturating_sub(began.elapsed()));
            let write = fastrand::f64() < self.write_share;
            caller.key = self.draw_key();
            let (method, path) = if write {
                ("POST", WRITE_PREFIX)
            } else {
                ("GET", READ_PREFIX)
            };
            let address = addresses[fastrand::usize(..addresses.len())];
            let result = caller.send(address, method, &format!("{path}1"));
            if results.send((result, write)).is_err() {
                return;
            }
            next += gap;
        }
    }
}

impl Report {
    /// Returns the number of requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        let same = |(result, _): &&(RequestResult, bool)| result.outcome == outcome;
        self.requests.iter().filter(same).count()
    }

    /// The fraction of its requests that the worst served account got served, and that of all;
    /// `None` without accounts.
    fn served_by_key(&self) -> Option<(f64, f64)> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (result, _) in &self.requests {
            let (served, sent) = counts.entry(result.key.as_deref()?).or_default();
            *served += usize::from(result.outcome == Outcome::Served);
            *sent += 1;
        }
        let fraction = |(served, sent): (usize, usize)| served as f64 / sent as f64;
        let worst = counts.values().copied().map(fraction);
        let worst = worst.min_by(f64::total_cmp)?;
        Some((
            worst,
            fraction((self.count(Outcome::Served), self.requests.len())),
        ))
    }

    /// Formats the report: outcomes with their median and 99th percentile latency, then the number
    /// of violations.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut groups: BTreeMap<Outcome, Vec<Duration>> = BTreeMap::new();
        for (result, _) in &self.requests {
            groups
                .entry(result.outcome)
                .or_default()
                .push(result.elapsed);
        }
        for (outcome, times) in groups {
            let (median, high) = quantiles(&times);
            // Writing to a string never fails.
            let _ = writeln!(
                text,
                "{outcome:?}: {}, median {median:.1} ms, p99 {high:.1} ms",
                times.len()
            );
        }
        if let Some((worst, mean)) = self.served_by_key() {
            let _ = writeln!(
                text,
                "served of the worst account's requests: {worst:.3}, of all: {mean:.3}"
            );
        }
        let _ = writeln!(
            text,
            "doubled: {}, called not run and ran: {}",
            self.duplicates, self.false_refusals
        );
        text
    }
}

/// Returns the median and the 99th percentile, in milliseconds.
fn quantiles(times: &[Duration]) -> (f64, f64) {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, 3) else {
        return (0.0, 0.0);
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    (millis(0.5), millis(0.99))
}

/// Compares the results that callers got with how often each request ran.
fn build_report(requests: Vec<(RequestResult, bool)>, counts: &HashMap<String, u32>) -> Report {
    let ran = |result: &RequestResult| counts.get(&result.id).copied().unwrap_or_default();
    let duplicates = requests
        .iter()
        .filter(|(result, write)| *write && ran(result) > 1);
    let false_refusals = requests
        .iter()
        .filter(|(result, write)| *write && result.outcome == Outcome::NotRun && ran(result) > 0);
    Report {
        duplicates: duplicates.count() as u64,
        false_refusals: false_refusals.count() as u64,
        requests,
    }
}
