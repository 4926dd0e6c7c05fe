use {
    crate::{CrashNews, Fingerprint},
    std::cmp::Reverse,
    unit::{Map, Set, Span, Time},
};

/// How many workers a request may crash until it is barred.
pub const MAX_CRASHES: usize = 3;
/// How many crashes are kept of one request. Those beyond [`MAX_CRASHES`] show that no other request
/// is to blame for them.
const MAX_KEPT: usize = 16;
/// The most requests that are remembered.
const MAX_REQUESTS: usize = 2_048;
/// Crashes closer together count as one: workers that crash at the same moment have a cause of their
/// own, and a request that causes crashes reaches one worker after the other.
const SAME_MOMENT: Span = Span::millis(5);
/// How long a crash counts towards barring a request.
const CRASH_LIFE: Span = Span::secs(60);
/// How long a request is barred after its last crash.
const BAR: Span = Span::secs(600);
/// What happened before the start of this process has a time too: all times here are later than those
/// of its clock by this span, which is longer than anything is remembered.
const HORIZON: Span = Span::secs(3_600);
/// How long news is passed on after it was learned; gossip reaches all daemons in that time.
const NEWS_LIFE: Span = Span::secs(3);

/// A crash of a worker that had the request in flight.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Time,
    /// When this daemon learned of it.
    learned_at: Time,
    /// The hash of the worker's process run.
    run: u32,
    /// In how many messages this daemon has told others of it.
    told: u32,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Record {
    /// When a worker last served the request; no crash before that is kept.
    served_at: Option<Time>,
    /// Whether it is barred until [`BAR`] after its last crash.
    barred: bool,
    /// The crashes, at most one of each process run and at most [`MAX_KEPT`].
    crashes: Vec<Crash>,
    /// When this daemon learned that it was served.
    learned_at: Time,
}

impl Record {
    /// The crashes that count towards barring it, oldest first: of those at the same moment one.
    fn counted(&self) -> Vec<Crash> {
        let mut crashes = self.crashes.clone();
        crashes.sort_unstable_by_key(|crash| (crash.at, crash.run));
        let mut last: Option<Time> = None;
        crashes.retain(|crash| {
            let apart = last.is_none_or(|last| crash.at.since(last) >= SAME_MOMENT);
            if apart {
                last = Some(crash.at);
            }
            apart
        });
        crashes
    }

    fn last_crash(&self) -> Option<Time> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// When this daemon last learned of anything.
    fn last_learned(&self) -> Time {
        let crashes = self.crashes.iter().map(|crash| crash.learned_at);
        crashes.max().unwrap_or_default().max(self.learned_at)
    }
}

/// What this daemon knows of requests that were in flight at workers that crashed.
///
/// Each crash has one cause: once a request is barred, the crashes of its workers are held against
/// no other request.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    records: Map<Fingerprint, Record>,
}

impl CrashLog {
    /// How much longer a request is barred; `None` if it may be sent.
    pub fn barred(&self, now: Time, request: Fingerprint) -> Option<Span> {
        let record = self.records.get(&request).filter(|record| record.barred)?;
        let left = (record.last_crash()? + BAR).since(now + HORIZON);
        (left > Span::ZERO).then_some(left)
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many requests are barred.
    pub fn count_barred(&self, now: Time) -> usize {
        let requests = self.records.keys();
        requests
            .filter(|request| self.barred(now, **request).is_some())
            .count()
    }

    /// Records that a worker crashed while it had the request in flight; `run` is the hash of its
    /// process run. Returns whether the request is newly barred.
    pub fn record_crash(&mut self, now: Time, request: Fingerprint, run: u32) -> bool {
        let now = now + HORIZON;
        self.add_crash(now, now, request, run)
    }

    /// Records that a worker served a request, which therefore doesn't crash each worker.
    pub fn record_served(&mut self, now: Time, request: Fingerprint) {
        let now = now + HORIZON;
        if self.records.contains_key(&request) {
            self.clear(now, now, request);
        }
    }

    /// Adopts what another daemon told. Returns whether a request is newly barred.
    pub fn adopt(&mut self, now: Time, news: CrashNews) -> bool {
        let now = now + HORIZON;
        let at = now.saturating_sub(news.age);
        match news.run {
            Some(run) => self.add_crash(now, at, news.request, run),
            None => {
                self.clear(now, at, news.request);
                false
            }
        }
    }

    /// What to tell other daemons: at most `max` pieces of news, first which requests were served, then
    /// of those with the most crashes, then what was told least.
    pub fn news(&mut self, now: Time, max: usize) -> Vec<CrashNews> {
        let now = now + HORIZON;
        let is_new = |learned_at: Time| now.since(learned_at) < NEWS_LIFE;
        let mut news = Vec::new();
        let mut crashes: Vec<(usize, Fingerprint, &mut Crash)> = Vec::new();
        for (request, record) in &mut self.records {
            if let Some(at) = record.served_at
                && is_new(record.learned_at)
            {
                news.push(news_at(now, *request, at, None));
            }
            let count = record.crashes.len();
            let new = record.crashes.iter_mut();
            let new = new.filter(|crash| is_new(crash.learned_at));
            crashes.extend(new.map(|crash| (count, *request, crash)));
        }
        crashes.sort_by_key(|(count, _, crash)| (Reverse(*count), crash.told));
        news.truncate(max);
        crashes.truncate(max - news.len());
        for (_, request, crash) in crashes {
            crash.told += 1;
            news.push(news_at(now, request, crash.at, Some(crash.run)));
        }
        news
    }

    /// The crashes of one barred request, the `turn`th in an order that doesn't matter, for daemons
    /// that have just started; at most [`MAX_CRASHES`].
    pub fn barred_news(&self, now: Time, turn: usize) -> Vec<CrashNews> {
        let barred: Vec<(&Fingerprint, &Record)> = self
            .records
            .iter()
            .filter(|(request, _)| self.barred(now, **request).is_some())
            .collect();
        let Some((request, record)) = barred.get(turn % barred.len().max(1)) else {
            return Vec::new();
        };
        let crashes = record.counted();
        // Those at both ends and in the middle lie farthest apart, so that they still count as
        // several where their ages have changed a little on the way.
        let [Some(first), Some(middle), Some(last)] =
            [0, crashes.len() / 2, crashes.len().saturating_sub(1)].map(|at| crashes.get(at))
        else {
            return Vec::new();
        };
        [first, middle, last]
            .map(|crash| news_at(now + HORIZON, **request, crash.at, Some(crash.run)))
            .into()
    }

    /// Forgets what no longer counts.
    pub fn prune(&mut self, now: Time) {
        let now = now + HORIZON;
        self.records.retain(|_, record| {
            let last = record.last_crash().max(record.served_at);
            let life = if record.barred { BAR } else { CRASH_LIFE };
            last.is_some_and(|at| now.since(at) < life)
        });
    }

    fn add_crash(&mut self, now: Time, at: Time, request: Fingerprint, run: u32) -> bool {
        let explained = self.records.iter().any(|(other, record)| {
            record.barred
                && *other != request
                && record.crashes.iter().any(|crash| crash.run == run)
        });
        if explained {
            return false;
        }
        self.make_room(request);
        let record = self.records.entry(request).or_default();
        let served = record.served_at.is_some_and(|served| served >= at);
        let known = record.crashes.iter().any(|crash| crash.run == run);
        if served || known || record.crashes.len() >= MAX_KEPT {
            return false;
        }
        if !record.barred {
            record
                .crashes
                .retain(|crash| at.since(crash.at) < CRASH_LIFE);
        }
        record.crashes.push(Crash {
            at,
            learned_at: now,
            run,
            told: 0,
        });
        let newly_barred = !record.barred && record.counted().len() >= MAX_CRASHES;
        if newly_barred {
            record.barred = true;
        }
        if record.barred {
            self.explain(request);
        }
        newly_barred
    }

    /// Holds the crashes of a barred request against no other one.
    fn explain(&mut self, request: Fingerprint) {
        let Some(record) = self.records.get(&request) else {
            return;
        };
        let runs: Set<u32> = record.crashes.iter().map(|crash| crash.run).collect();
        for (other, record) in &mut self.records {
            if *other != request && !record.barred {
                record.crashes.retain(|crash| !runs.contains(&crash.run));
            }
        }
    }

    /// Drops all that was held against a request before it was served at `at`.
    fn clear(&mut self, now: Time, at: Time, request: Fingerprint) {
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        if record.served_at.is_some_and(|served| served >= at) {
            return;
        }
        record.served_at = Some(at);
        record.learned_at = now;
        record.crashes.retain(|crash| crash.at > at);
        record.barred &= record.counted().len() >= MAX_CRASHES;
    }

    /// Makes room for one more request: forgets the one with the fewest crashes, of several the one
    /// that was heard of least lately.
    fn make_room(&mut self, request: Fingerprint) {
        if self.records.len() < MAX_REQUESTS || self.records.contains_key(&request) {
            return;
        }
        let rank = |record: &Record| (record.crashes.len(), record.last_learned());
        let least = self.records.iter().min_by_key(|(_, record)| rank(record));
        if let Some(least) = least.map(|(request, _)| *request) {
            self.records.remove(&least);
        }
    }
}

/// News of a request, about what happened at `at`.
fn news_at(now: Time, request: Fingerprint, at: Time, run: Option<u32>) -> CrashNews {
    CrashNews {
        age: now.since(at),
        request,
        run,
    }
}
