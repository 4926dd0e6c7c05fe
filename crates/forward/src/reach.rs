//! Whether this daemon reaches the workers of a service.

use {
    fastrand::Rng,
    pick::WorkerKey,
    unit::{Set, Span, Time},
};

/// Of a service with more workers than this, so many must fail in a row.
const MIN_FAILED: usize = 3;
/// The most workers that must fail in a row, however many a service has.
const MAX_FAILED: usize = 8;
/// For how long no worker must have been reached.
const MIN_SILENCE: Span = Span::millis(300);
/// The mean time between two trials of a daemon that is cut off.
const TRIAL_PERIOD: Span = Span::millis(250);
/// How long after a trial that was answered all requests are admitted again.
const RETURN_TIME: Span = Span::secs(1);

/// Where a daemon stands with the workers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// It reaches them, as far as is known.
    #[default]
    Reached,
    /// It is cut off; the next trial is due at the time.
    Cut(Time),
    /// It has reached one again at the time.
    Returning(Time),
}

/// What one daemon knows of its links to all workers of a service together.
///
/// It is *cut off* once several workers have failed one after the other and none was reached
/// meanwhile; one worker that fails says nothing of the others. Only a trial, on a new connection,
/// ends that: connections from before the cut may live on while new ones are refused.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// The workers that failed since one was reached last.
    failed: Set<WorkerKey>,
    /// When the first of them failed; without meaning if there are none.
    failed_since: Time,
    state: State,
}

impl Reach {
    /// Whether this daemon is cut off from the workers.
    pub fn is_cut(&self) -> bool {
        matches!(self.state, State::Cut(_))
    }

    /// Whether a request is to be sent to the workers by this daemon itself: not while it is cut
    /// off, and afterwards a growing part of them, so that daemons that come back together don't
    /// all begin at one moment.
    pub fn admits(&mut self, now: Time, rng: &mut Rng) -> bool {
        match self.state {
            State::Reached => true,
            State::Cut(_) => false,
            State::Returning(since) if now.since(since) >= RETURN_TIME => {
                self.state = State::Reached;
                true
            }
            State::Returning(since) => {
                rng.f64() * RETURN_TIME.as_secs() < now.since(since).as_secs()
            }
        }
    }

    /// Records that a worker responded.
    pub fn record_reached(&mut self) {
        self.failed.clear();
    }

    /// Records that a worker couldn't be reached or didn't respond in time; `workers` counts those of
    /// the service that may be sent requests. Returns whether the daemon is cut off from now on.
    pub fn record_failed(
        &mut self,
        now: Time,
        worker: WorkerKey,
        workers: impl Fn() -> usize,
    ) -> bool {
        if self.failed.is_empty() {
            self.failed_since = now;
        }
        self.failed.insert(worker);
        if self.is_cut() || now.since(self.failed_since) < MIN_SILENCE {
            return false;
        }
        let workers = workers();
        let needed = workers.div_ceil(2).clamp(MIN_FAILED, MAX_FAILED);
        let cut = self.failed.len() >= needed.min(workers);
        if cut {
            self.state = State::Cut(now);
        }
        cut
    }

    /// Whether some worker failed and none responded since.
    pub fn has_failed(&self) -> bool {
        !self.failed.is_empty()
    }

    /// When the next trial is due; `None` while the daemon isn't cut off.
    pub fn next_trial(&self) -> Option<Time> {
        match self.state {
            State::Cut(at) => Some(at),
            State::Reached | State::Returning(_) => None,
        }
    }

    /// Sets when the next trial is due, after one has begun or couldn't.
    pub fn delay_trial(&mut self, now: Time, rng: &mut Rng) {
        if self.is_cut() {
            self.state = State::Cut(now + TRIAL_PERIOD.scale(0.5 + rng.f64()));
        }
    }

    /// Records that a worker answered a trial. Returns whether the daemon was cut off until now.
    pub fn record_trial(&mut self, now: Time) -> bool {
        self.failed.clear();
        let was_cut = self.is_cut();
        if was_cut {
            self.state = State::Returning(now);
        }
        was_cut
    }
}
