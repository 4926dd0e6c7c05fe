//! A fleet of decision cores in virtual time: views and desks, a network that can be cut, and
//! workers that count what they hold. No socket, clock or thread.

use {
    fastrand::Rng,
    limit::Lane,
    peer::{Beat, Candidate, Standing, View, ViewAction, ViewEvent, entries, home, sharers},
    pick::{Action, Desk, Event, Job, Msg, Policy, Seat, Spec, Verdict},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt::Write,
    },
    unit::{Name, Span, Time, digest},
};

const STEP: Span = Span::millis(1);
const DELAY: u64 = 1;
const SERVICE: &str = "s";

/// What arrives when its time has come.
#[derive(Clone, Debug)]
enum Delivery {
    Beat(usize, usize, Beat),
    Dialed(usize, Name, Time),
    Done(usize, u64, Name, u64, u64),
    Msg(usize, usize, Msg),
    Request(usize, u64, Name, u64, Option<Time>),
}

pub(crate) struct Node {
    /// A frozen node does nothing, then goes on with what has come meanwhile.
    frozen: bool,
    inbox: VecDeque<Delivery>,
    desk: Desk,
    live: bool,
    pub(crate) name: Name,
    /// Lives behind this node's idle connections, by worker.
    pool: BTreeMap<Name, Vec<u64>>,
    rng: Rng,
    standing: Standing,
    view: View,
}

pub(crate) struct Worker {
    bears: u32,
    centre: Name,
    good: u32,
    held: u32,
    life: u64,
    pub(crate) name: Name,
    open: bool,
    /// A mute worker takes requests and answers none.
    pub(crate) mute: bool,
    /// Times at which it held more than it bore while cold.
    pub(crate) over: u32,
    probes: VecDeque<Time>,
    pub(crate) probes_most: usize,
    pub(crate) slowness: u64,
}

pub(crate) struct Fleet {
    pub(crate) answered: BTreeSet<u64>,
    cuts: BTreeSet<(usize, usize)>,
    /// At-most-once requests that workers have begun, with how often.
    pub(crate) begun: BTreeMap<u64, u32>,
    jobs: BTreeMap<u64, Job>,
    lives: u64,
    pub(crate) log: String,
    next: u64,
    nodes: Vec<Node>,
    now: Time,
    /// Whether some requests are sent long after their daemon's check.
    pub(crate) pauses: bool,
    queue: BTreeMap<(Time, u64), Delivery>,
    pub(crate) refused: BTreeSet<u64>,
    rng: Rng,
    spec: Spec,
    turn: u64,
    pub(crate) workers: Vec<Worker>,
}

impl Fleet {
    pub(crate) fn new(daemons: usize, workers: usize, seed: u64) -> Self {
        let spec = Spec {
            cold: 1,
            conns: 220,
            extra: 5,
            out: 30,
            policy: Policy::Lease,
            probes: 20,
            queue: 64,
            slots: 4,
        };
        let mut fleet = Self {
            answered: BTreeSet::new(),
            begun: BTreeMap::new(),
            cuts: BTreeSet::new(),
            jobs: BTreeMap::new(),
            lives: 1,
            log: String::new(),
            next: 0,
            nodes: Vec::new(),
            now: Time::at(Span::secs(1)),
            pauses: false,
            queue: BTreeMap::new(),
            refused: BTreeSet::new(),
            rng: Rng::with_seed(seed),
            spec,
            turn: 0,
            workers: Vec::new(),
        };
        for number in 0..daemons {
            let node = fleet.node(format!("e{number}").into(), number as u64 + 1);
            fleet.nodes.push(node);
        }
        for number in 0..workers {
            fleet.lives += 1;
            fleet.workers.push(Worker {
                bears: spec.cold,
                centre: centre(number),
                good: 0,
                held: 0,
                life: fleet.lives,
                mute: false,
                name: format!("w{number}").into(),
                open: true,
                over: 0,
                probes: VecDeque::new(),
                probes_most: 0,
                slowness: 1,
            });
        }
        for at in 0..daemons {
            fleet.list(at);
        }
        fleet
    }

    fn node(&self, name: Name, seed: u64) -> Node {
        let life = 1_000 + seed * 977 + self.lives * 131_072;
        Node {
            desk: Desk::new(name.clone(), self.spec),
            frozen: false,
            inbox: VecDeque::new(),
            live: true,
            pool: BTreeMap::new(),
            rng: Rng::with_seed(seed),
            standing: Standing::Serving,
            view: View::new(self.now, name.clone(), life),
            name,
        }
    }

    fn list(&mut self, at: usize) {
        let all = (0..self.nodes.len()).map(|number| Candidate {
            centre: centre(number),
            name: format!("e{number}").into(),
        });
        let all: Vec<Candidate> = all.collect();
        let standing = self.nodes[at].standing;
        self.view(at, ViewEvent::Listed(all));
        self.view(at, ViewEvent::Standing(standing));
        let parts: Vec<String> = self
            .workers
            .iter()
            .map(|worker| format!("{} {}", worker.name, worker.open))
            .collect();
        self.view(
            at,
            ViewEvent::Inputs(digest(parts.iter().map(String::as_str))),
        );
        self.reseat(at);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now = self.now + STEP;
            let millis = self.now.since(Time::ZERO).as_millis();
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let delivery = entry.remove();
                self.deliver(delivery);
            }
            for at in 0..self.nodes.len() {
                if !self.runs(at) {
                    continue;
                }
                if (millis + at as u64) % 50 == 0 {
                    self.view(at, ViewEvent::Tick);
                }
                if (millis + at as u64) % 10 == 0 {
                    let feed = self.nodes[at].view.feed(self.now);
                    let epoch = self.nodes[at].view.epoch();
                    self.desk(at, Event::Feed { epoch, until: feed });
                    self.desk(at, Event::Tick);
                }
            }
        }
    }

    fn runs(&self, at: usize) -> bool {
        self.nodes[at].live && !self.nodes[at].frozen
    }

    fn post(&mut self, millis: u64, delivery: Delivery) {
        self.turn += 1;
        self.queue
            .insert((self.now + Span::millis(millis), self.turn), delivery);
    }

    fn note(&mut self, text: &str) {
        let at = self.now.since(Time::ZERO).as_millis();
        let _fits = writeln!(self.log, "{at} {text}");
    }

    /// Writes a line of the script into the log.
    pub(crate) fn script(&mut self, text: &str) {
        self.note(&format!("-- {text}"));
    }

    fn view(&mut self, at: usize, event: ViewEvent) {
        let mut out = Vec::new();
        let now = self.now;
        self.nodes[at].view.step(now, event, &mut out);
        for action in out {
            match action {
                ViewAction::Beat(to, beat) => {
                    if let Some(to) = self.nodes.iter().position(|node| node.name == to) {
                        self.send(at, to, Delivery::Beat(at, to, beat));
                    }
                }
                ViewAction::Changed => {
                    let serving = self.nodes[at].view.serving();
                    let names: Vec<&str> = serving.iter().map(|own| &*own.name).collect();
                    let (name, names) = (self.nodes[at].name.clone(), names.join(" "));
                    self.note(&format!("{name} sees {names}"));
                    self.reseat(at);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, delivery: Delivery) {
        if !self.cuts.contains(&(from, to)) && self.nodes[to].live {
            self.post(DELAY, delivery);
        }
    }

    fn reseat(&mut self, at: usize) {
        let serving = self.nodes[at].view.serving();
        let chosen = entries(SERVICE, 3, &serving);
        let names: Vec<Name> = self
            .workers
            .iter()
            .map(|worker| worker.name.clone())
            .collect();
        let listed = self.nodes[at].view.listed_names();
        let homes = home(&names, &chosen);
        let me = self.nodes[at].name.clone();
        let seats: Vec<Seat> = self
            .workers
            .iter()
            .zip(homes)
            .map(|(worker, home)| Seat {
                centre: worker.centre.clone(),
                home: home.cloned(),
                name: worker.name.clone(),
                open: worker.open,
                share: sharers(&worker.name, self.spec.shares(), &listed, &me),
            })
            .collect();
        let daemons = u32::try_from(listed.len()).unwrap_or(1);
        let epoch = self.nodes[at].view.epoch();
        self.desk(
            at,
            Event::Seats {
                daemons,
                epoch,
                seats,
            },
        );
    }

    fn desk(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.now;
        let node = &mut self.nodes[at];
        node.desk.step(now, event, &mut node.rng, &mut out);
        for action in out {
            self.perform(at, action);
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        let name = self.nodes[at].name.clone();
        if !matches!(action, Action::Note(_)) {
            self.note(&format!("{name} {action:?}"));
        }
        match action {
            Action::Assign {
                boot,
                dial,
                expires,
                id,
                worker,
            } => {
                self.assign(at, id, worker, boot, dial.is_some(), expires);
            }
            Action::Dial(worker, until) => self.post(DELAY, Delivery::Dialed(at, worker, until)),
            Action::Drop(worker) => drop(self.nodes[at].pool.remove(&worker)),
            Action::Note(_) => {}
            Action::Refuse { id, .. } => {
                self.refused.insert(id);
            }
            Action::Send(peer, msg) => {
                if let Some(to) = self.nodes.iter().position(|node| node.name == peer) {
                    self.send(at, to, Delivery::Msg(at, to, msg));
                }
            }
            Action::Tell(msg) => {
                for to in (0..self.nodes.len()).filter(|to| *to != at) {
                    self.send(at, to, Delivery::Msg(at, to, msg.clone()));
                }
            }
        }
    }

    fn assign(
        &mut self,
        at: usize,
        id: u64,
        name: Name,
        boot: Option<u64>,
        dial: bool,
        expires: Option<Time>,
    ) {
        let worker = self
            .workers
            .iter_mut()
            .find(|worker| worker.name == name)
            .expect("is known");
        let life = worker.life;
        if dial {
            probe(worker, self.now);
        }
        let pooled = self.nodes[at].pool.entry(name.clone()).or_default();
        let conn = if dial { Some(life) } else { pooled.pop() };
        if conn != Some(life) || boot != Some(life) {
            let worker = name.clone();
            let verdict = Verdict::Unsent;
            self.desk(
                at,
                Event::End {
                    id,
                    reuse: false,
                    verdict,
                    worker,
                },
            );
            if dial {
                self.nodes[at]
                    .pool
                    .entry(name.clone())
                    .or_default()
                    .push(life);
                self.desk(
                    at,
                    Event::Dialed {
                        ahead: false,
                        boot: Some(life),
                        worker: name.clone(),
                    },
                );
            }
            self.retry(at, id, name, true);
            return;
        }
        let pause = if self.pauses && self.rng.u8(0..8) == 0 {
            self.rng.u64(0..2_500)
        } else {
            0
        };
        self.post(
            DELAY + pause,
            Delivery::Request(at, id, name, life, expires),
        );
    }

    fn retry(&mut self, at: usize, id: u64, not: Name, free: bool) {
        if let Some(job) = self.jobs.get(&id).copied() {
            self.desk(at, Event::Retry { free, job, not });
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let node = match &delivery {
            Delivery::Beat(_, to, _) | Delivery::Msg(_, to, _) => *to,
            Delivery::Dialed(at, ..) | Delivery::Done(at, ..) | Delivery::Request(at, ..) => *at,
        };
        let at_worker = matches!(delivery, Delivery::Request(..));
        if self.nodes[node].frozen && !at_worker {
            self.nodes[node].inbox.push_back(delivery);
            return;
        }
        match delivery {
            Delivery::Beat(from, to, beat) if self.nodes[to].live => {
                let from = self.nodes[from].name.clone();
                self.view(to, ViewEvent::Heard(from, beat));
            }
            Delivery::Msg(from, to, msg) if self.nodes[to].live => {
                let from = self.nodes[from].name.clone();
                self.desk(to, Event::Peer(from, msg));
            }
            Delivery::Dialed(at, name, until) if self.now >= until => {
                self.desk(at, Event::Skipped(name));
            }
            Delivery::Dialed(at, name, _) => {
                let now = self.now;
                let worker = self.workers.iter_mut().find(|worker| worker.name == name);
                let worker = worker.expect("is known");
                probe(worker, now);
                let life = worker.life;
                if self.nodes[at].live {
                    self.nodes[at]
                        .pool
                        .entry(name.clone())
                        .or_default()
                        .push(life);
                    self.desk(
                        at,
                        Event::Dialed {
                            ahead: true,
                            boot: Some(life),
                            worker: name,
                        },
                    );
                }
            }
            Delivery::Request(at, id, name, life, expires) => {
                self.request(at, id, name, life, expires)
            }
            Delivery::Done(at, id, name, life, sent) => self.done(at, id, name, life, sent),
            Delivery::Beat(..) | Delivery::Msg(..) => {}
        }
    }

    fn request(&mut self, at: usize, id: u64, name: Name, life: u64, expires: Option<Time>) {
        let now = self.now;
        let slots = self.spec.slots;
        let worker = self
            .workers
            .iter_mut()
            .find(|worker| worker.name == name)
            .expect("is known");
        if worker.life != life {
            return self.fail(at, id, &name, Verdict::Failed);
        }
        if expires.is_some_and(|end| end <= now) {
            return self.fail(at, id, &name, Verdict::Shed);
        }
        worker.held += 1;
        worker.over += u32::from(worker.held > worker.bears && worker.bears < slots);
        if worker.mute {
            return;
        }
        let time = (5 + id % 17) * worker.slowness;
        let end = expires.map_or(time, |end| time.min((end - now).as_millis()));
        if self.jobs.get(&id).is_some_and(|job| job.once) {
            *self.begun.entry(id).or_default() += 1;
        }
        let sent = now.since(Time::ZERO).as_millis();
        self.post(end.max(1), Delivery::Done(at, id, name, life, sent));
    }

    fn done(&mut self, at: usize, id: u64, name: Name, life: u64, sent: u64) {
        let slots = self.spec.slots;
        let worker = self
            .workers
            .iter_mut()
            .find(|worker| worker.name == name)
            .expect("is known");
        if worker.life != life {
            return self.fail(at, id, &name, Verdict::Failed);
        }
        worker.held -= 1;
        worker.good += 1;
        if worker.bears < slots && worker.good >= worker.bears * 4 {
            worker.good = 0;
            worker.bears = (worker.bears * 2).min(slots);
        }
        if !self.nodes[at].live {
            return;
        }
        let span = Span::millis(self.now.since(Time::ZERO).as_millis() - sent);
        self.nodes[at]
            .pool
            .entry(name.clone())
            .or_default()
            .push(life);
        self.answered.insert(id);
        let verdict = Verdict::Answered(span);
        self.desk(
            at,
            Event::End {
                id,
                reuse: true,
                verdict,
                worker: name,
            },
        );
    }

    fn fail(&mut self, at: usize, id: u64, name: &Name, verdict: Verdict) {
        if !self.nodes[at].live {
            return;
        }
        let worker = name.clone();
        let reuse = verdict == Verdict::Shed;
        if reuse {
            let life = self
                .workers
                .iter()
                .find(|worker| worker.name == *name)
                .map(|worker| worker.life);
            self.nodes[at]
                .pool
                .entry(name.clone())
                .or_default()
                .extend(life);
        }
        self.desk(
            at,
            Event::End {
                id,
                reuse,
                verdict,
                worker,
            },
        );
        let once = self.jobs.get(&id).is_some_and(|job| job.once);
        if !once || verdict == Verdict::Shed {
            self.retry(at, id, name.clone(), false);
        }
    }

    /// A request comes to a daemon.
    pub(crate) fn arrive(&mut self, at: usize, once: bool) -> u64 {
        self.next += 1;
        let id = self.next;
        if !self.runs(at) {
            self.refused.insert(id);
            return id;
        }
        let job = Job {
            deadline: self.now + Span::secs(2),
            depth: 0,
            extra: false,
            id,
            lane: if id % 10 == 0 {
                Lane::Deferrable
            } else {
                Lane::Interactive
            },
            once,
        };
        self.jobs.insert(id, job);
        self.desk(at, Event::Arrive(job));
        id
    }

    /// Requests come for some time, one each `every` milliseconds, to daemons in turn.
    pub(crate) fn load(&mut self, millis: u64, every: u64) {
        for tick in 0..millis {
            if tick % every == 0 {
                let at = self.rng.usize(0..self.nodes.len());
                let once = self.rng.u8(0..4) == 0;
                self.arrive(at, once);
            }
            self.run(1);
        }
    }

    /// A worker begins a new life, without warning.
    pub(crate) fn restart(&mut self, at: usize) {
        self.lives += 1;
        let (life, cold) = (self.lives, self.spec.cold);
        let worker = &mut self.workers[at];
        worker.life = life;
        worker.held = 0;
        worker.good = 0;
        worker.bears = cold;
    }

    /// A daemon's process ends; its requests at workers go on until they have ended.
    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at].live = false;
        let name = self.nodes[at].name.clone();
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            if self.runs(other) {
                self.view(other, ViewEvent::Down(name.clone()));
            }
        }
    }

    /// A daemon begins a new life.
    pub(crate) fn revive(&mut self, at: usize) {
        self.lives += 1;
        let node = self.node(self.nodes[at].name.clone(), self.lives);
        self.nodes[at] = node;
        self.list(at);
    }

    pub(crate) fn freeze(&mut self, at: usize) {
        self.nodes[at].frozen = true;
    }

    pub(crate) fn thaw(&mut self, at: usize) {
        self.nodes[at].frozen = false;
        for delivery in std::mem::take(&mut self.nodes[at].inbox) {
            self.deliver(delivery);
        }
    }

    /// A daemon announces that it leaves.
    pub(crate) fn leave(&mut self, at: usize) {
        self.nodes[at].standing = Standing::Leaving;
        self.view(at, ViewEvent::Standing(Standing::Leaving));
        self.reseat(at);
    }

    /// Changes the measuring budget.
    pub(crate) fn set_probes(&mut self, probes: u32) {
        self.spec.probes = probes;
        for at in 0..self.nodes.len() {
            self.desk(at, Event::Spec(self.spec));
            self.list(at);
        }
    }

    /// Nothing that one daemon sends reaches the other any more, or does again.
    pub(crate) fn cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// A data centre is taken out or brought in, as every daemon learns at once.
    pub(crate) fn centre(&mut self, name: &str, out: bool) {
        for worker in self
            .workers
            .iter_mut()
            .filter(|worker| &*worker.centre == name)
        {
            worker.open = !out;
        }
        for at in 0..self.nodes.len() {
            if self.runs(at) {
                self.list(at);
            }
        }
    }

    /// The promises that hold at any time.
    #[track_caller]
    pub(crate) fn check(&self) {
        for worker in &self.workers {
            assert_eq!(worker.over, 0, "{} held more than it bore", worker.name);
            let most = worker.probes_most;
            assert!(
                most <= self.spec.probes as usize,
                "{} was measured {most} times",
                worker.name
            );
        }
        for (id, times) in &self.begun {
            assert!(*times <= 1, "request {id} ran {times} times");
            assert!(
                !self.refused.contains(id),
                "request {id} ran and was called not run"
            );
        }
    }
}

fn probe(worker: &mut Worker, now: Time) {
    worker.probes.push_back(now);
    while worker
        .probes
        .front()
        .is_some_and(|at| now - *at >= Span::secs(1))
    {
        worker.probes.pop_front();
    }
    worker.probes_most = worker.probes_most.max(worker.probes.len());
}

fn centre(number: usize) -> Name {
    ["a", "b", "c", "d"][number % 4].into()
}
