use {
    call::LinkId,
    site::{HealthReport, LoadReport},
    std::collections::VecDeque,
    unit::Span,
};

/// How much longer work takes on a slow machine.
const SLOW: u32 = 5;

/// A request at a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) desk: usize,
    /// What is left of it, in milliseconds at the usual pace.
    pub(crate) left: f64,
    pub(crate) link: LinkId,
}

/// A worker of the town.
#[derive(Debug)]
pub(crate) struct Machine {
    /// HealthReport requests that it got.
    pub(crate) asked: usize,
    running: Vec<Job>,
    slots: u32,
    slow: bool,
    waiting: VecDeque<Job>,
}

impl Machine {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            asked: 0,
            running: Vec::new(),
            slots,
            slow: false,
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn set_slow(&mut self, slow: bool) {
        self.slow = slow;
    }

    pub(crate) fn load(&self) -> LoadReport {
        LoadReport {
            latency_percent: if self.slow { 100 * SLOW } else { 100 },
            running: self.running.len() as u32,
            slots: self.slots,
            waiting: self.waiting.len() as u32,
        }
    }

    pub(crate) fn health(&mut self) -> HealthReport {
        self.asked += 1;
        HealthReport {
            cold_remaining: Span::ZERO,
            healthy: true,
            id: None,
            load: Some(self.load()),
        }
    }

    /// Takes a request in; tells whether there was room.
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

    pub(crate) fn cancel(&mut self, desk: usize, link: LinkId) {
        let other = |job: &Job| job.desk != desk || job.link != link;
        self.running.retain(other);
        self.waiting.retain(other);
    }

    /// Works for a millisecond; tells which requests are done.
    pub(crate) fn work(&mut self) -> Vec<Job> {
        let step = if self.slow {
            1.0 / f64::from(SLOW)
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
