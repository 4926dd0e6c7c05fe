//! The simulated workers.

use {
    call::LinkId,
    site::{HealthReport, LoadReport, Notice},
    std::collections::VecDeque,
    unit::{Map, Span, Time},
};

/// How many times as long a request takes on a slow worker.
const SLOW_FACTOR: u32 = 5;

/// A request that a worker runs or has queued.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    /// The index of the daemon that sent the request.
    pub(crate) daemon: usize,
    /// The service time left, in milliseconds at normal speed.
    pub(crate) left: f64,
    pub(crate) link: LinkId,
}

/// A simulated worker.
#[derive(Debug)]
pub(crate) struct SimWorker {
    /// The requests that arrived: when, and from which daemon.
    pub(crate) arrivals: Vec<(Time, usize)>,
    /// What its responses to requests ask of the daemons.
    pub(crate) notice: Notice,
    /// The number of health probes received.
    pub(crate) probes: usize,
    running: Vec<Job>,
    slots: u32,
    slow: bool,
    /// When each daemon first got a response with a limit.
    pub(crate) told: Map<usize, Time>,
    waiting: VecDeque<Job>,
}

impl SimWorker {
    pub(crate) fn new(slots: u32, notice: Notice) -> Self {
        Self {
            arrivals: Vec::new(),
            notice,
            probes: 0,
            running: Vec::new(),
            slots,
            slow: false,
            told: Map::default(),
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn set_slow(&mut self, slow: bool) {
        self.slow = slow;
    }

    pub(crate) fn load(&self) -> LoadReport {
        LoadReport {
            latency_percent: if self.slow { 100 * SLOW_FACTOR } else { 100 },
            running: self.running.len() as u32,
            slots: self.slots,
            waiting: self.waiting.len() as u32,
        }
    }

    /// What a response to a daemon's request asks of it.
    pub(crate) fn tell(&mut self, now: Time, daemon: usize) -> Notice {
        if self.notice.rate_limit.is_some() {
            self.told.entry(daemon).or_insert(now);
        }
        self.notice
    }

    pub(crate) fn health(&mut self) -> HealthReport {
        self.probes += 1;
        HealthReport {
            cold_remaining: Some(Span::ZERO),
            healthy: true,
            id: None,
            load: Some(self.load()),
            notice: Notice::default(),
        }
    }

    /// Runs or queues a request; returns false if there is no room for it.
    pub(crate) fn arrive(&mut self, job: Job) -> bool {
        if self.running.len() < self.slots as usize {
            self.running.push(job);
            return true;
        }
        let room = self.waiting.len() < self.slots as usize;
        if room {
            self.waiting.push_back(job);
        }
        room
    }

    /// Drops a request whose connection was closed.
    pub(crate) fn cancel(&mut self, daemon: usize, link: LinkId) {
        let other = |job: &Job| job.daemon != daemon || job.link != link;
        self.running.retain(other);
        self.waiting.retain(other);
    }

    /// Works for a millisecond and returns the requests that are done.
    pub(crate) fn work(&mut self) -> Vec<Job> {
        let step = if self.slow {
            1.0 / f64::from(SLOW_FACTOR)
        } else {
            1.0
        };
        for job in &mut self.running {
            job.left -= step;
        }
        let (done, running) = self.running.iter().partition(|job| job.left <= 0.0);
        self.running = running;
        while self.running.len() < self.slots as usize {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(job);
        }
        done
    }
}
