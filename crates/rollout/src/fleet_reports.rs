use {
    crate::{Evidence, Report},
    unit::{Map, Time},
};

/// A report that was received.
#[derive(Clone, Debug)]
struct Received {
    at: Time,
    /// How often it was passed on.
    passed_on: u32,
    report: Report,
}

/// The latest report of each process run of a daemon, however it came here.
#[derive(Clone, Debug, Default)]
pub struct FleetReports {
    received: Map<(u32, u32), Received>,
    /// Where the next reports to be passed on in turn begin.
    turn: usize,
}

impl FleetReports {
    /// Takes a report, unless the same or a later one of its process run is known.
    pub fn adopt(&mut self, now: Time, report: Report) {
        let key = (report.daemon, report.incarnation);
        let known = self.received.get(&key);
        if known.is_some_and(|known| known.report.sequence >= report.sequence) {
            return;
        }
        let received = Received {
            at: now,
            passed_on: 0,
            report,
        };
        self.received.insert(key, received);
    }

    /// The sum of all daemons' counts. Each process run counts once, by its latest report.
    pub fn sum(&self) -> Evidence {
        let mut sum = Evidence::default();
        for received in self.received.values() {
            sum.add(&received.report.counts);
        }
        sum
    }

    /// The latest report of a daemon and when it came; of several process runs, that which was heard
    /// last.
    pub fn latest(&self, daemon: u32) -> Option<(Time, &Report)> {
        let own = self
            .received
            .iter()
            .filter(|((name, _), _)| *name == daemon);
        let latest = own.map(|(_, received)| received);
        let latest = latest.max_by_key(|received| received.at)?;
        Some((latest.at, &latest.report))
    }

    /// At most `max` reports to pass on: first those that were passed on least often since they
    /// came. Whether they show bad responses has no influence, as the sum would else be of the
    /// worse daemons for a while.
    pub fn select(&mut self, max: usize) -> Vec<Report> {
        let mut keys: Vec<(u32, u32)> = self.received.keys().copied().collect();
        keys.sort_unstable();
        if keys.is_empty() {
            return Vec::new();
        }
        let start = self.turn % keys.len();
        keys.rotate_left(start);
        keys.sort_by_key(|key| self.received[key].passed_on);
        keys.truncate(max);
        self.turn = self.turn.wrapping_add(max);
        let mut selected = Vec::new();
        for key in keys {
            if let Some(received) = self.received.get_mut(&key) {
                received.passed_on += 1;
                selected.push(received.report.clone());
            }
        }
        selected
    }
}
