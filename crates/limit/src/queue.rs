use {
    crate::{Drain, Waiting},
    serde::Serialize,
    std::collections::VecDeque,
    unit::{Span, Time},
};

/// After so many interactive departures one aged deferrable request goes, however many interactive
/// ones wait.
const AGED: u32 = 10;
/// The longest expected wait with which an interactive request is still let in.
const PATIENCE: Span = Span::millis(100);

/// Which of the two lines a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Lane {
    /// Waits as long as its deadline allows.
    Deferrable,
    /// Somebody waits for it.
    Interactive,
}

/// A refusal, with the time after which the queue should have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Full(pub Span);

/// Two bounded lines of requests that wait for a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Queue {
    deferrable: VecDeque<Waiting>,
    drain: Drain,
    interactive: VecDeque<Waiting>,
    /// Each line is at most this long.
    most: usize,
    /// Departures of interactive requests in a row while deferrable ones waited.
    streak: u32,
}

impl Queue {
    /// Two lines of at most `most` requests each.
    pub fn new(most: usize) -> Self {
        Self {
            deferrable: VecDeque::new(),
            drain: Drain::default(),
            interactive: VecDeque::new(),
            most,
            streak: 0,
        }
    }

    /// Lets a request in, unless its line is full or moves too slowly for it.
    ///
    /// # Errors
    /// The refusal comes at once: a request that has been let in is not pushed out by another.
    pub fn push(&mut self, now: Time, lane: Lane, waiting: Waiting) -> Result<(), Full> {
        let wait = self.drain.wait(self.line(lane).len() + 1);
        let slow = match lane {
            Lane::Deferrable => false,
            Lane::Interactive => wait > PATIENCE,
        };
        let late = self.drain.wait(self.line(lane).len()) >= waiting.deadline - now;
        if self.line(lane).len() >= self.most || slow || late {
            return Err(Full(wait.max(Span::millis(10))));
        }
        match lane {
            Lane::Deferrable => self.deferrable.push_back(waiting),
            Lane::Interactive => self.interactive.push_back(waiting),
        }
        Ok(())
    }

    /// Puts back a request that had left, ahead of the others.
    pub fn put_back(&mut self, lane: Lane, waiting: Waiting) {
        match lane {
            Lane::Deferrable => self.deferrable.push_front(waiting),
            Lane::Interactive => self.interactive.push_front(waiting),
        }
    }

    /// Takes the next request.
    ///
    /// The oldest interactive one goes first, or the newest where the oldest would miss its
    /// deadline with `need` still to go. A deferrable one goes when no interactive one waits, or
    /// in a small share of the turns once it has waited a quarter of its time.
    pub fn pop(&mut self, now: Time, need: Span) -> Option<(Lane, Waiting)> {
        let old = self
            .deferrable
            .front()
            .is_some_and(|waiting| waiting.aged(now));
        let aged = self.streak >= AGED && old;
        if aged || self.interactive.is_empty() {
            self.streak = 0;
            return Some((Lane::Deferrable, self.deferrable.pop_front()?));
        }
        self.streak += u32::from(!self.deferrable.is_empty());
        let late = self.interactive.front()?.late(now, need);
        let next = if late {
            self.interactive.pop_back()
        } else {
            self.interactive.pop_front()
        };
        Some((Lane::Interactive, next?))
    }

    /// Counts a departure of work to a worker; `waited` says whether it had stood in a line.
    pub fn depart(&mut self, now: Time, waited: bool) {
        if waited {
            self.drain.add(now);
        }
        if !waited || self.is_empty() {
            self.drain.rest();
        }
    }

    /// Takes out a request that no longer waits.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.len();
        self.interactive.retain(|waiting| waiting.id != id);
        self.deferrable.retain(|waiting| waiting.id != id);
        self.len() < before
    }

    /// Takes out every request whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<Waiting> {
        let mut gone = Vec::new();
        for line in [&mut self.interactive, &mut self.deferrable] {
            gone.extend(line.iter().filter(|waiting| waiting.late(now, Span::ZERO)));
            line.retain(|waiting| !waiting.late(now, Span::ZERO));
        }
        gone
    }

    /// Takes out every deferrable request.
    pub fn shed(&mut self) -> Vec<Waiting> {
        self.deferrable.drain(..).collect()
    }

    /// How long until a newcomer would have its turn.
    pub fn wait(&self) -> Span {
        self.drain.wait(self.len() + 1)
    }

    /// When the oldest waiting request began to wait.
    pub fn oldest(&self) -> Option<Time> {
        let lines = [self.interactive.front(), self.deferrable.front()];
        lines
            .into_iter()
            .flatten()
            .map(|waiting| waiting.since)
            .min()
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.interactive.len() + self.deferrable.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Changes the bound of each line.
    pub fn resize(&mut self, most: usize) {
        self.most = most;
    }

    fn line(&self, lane: Lane) -> &VecDeque<Waiting> {
        match lane {
            Lane::Deferrable => &self.deferrable,
            Lane::Interactive => &self.interactive,
        }
    }
}
