use {
    crate::{
        event::{Event, log},
        hall::{Hall, spec},
        journal::{Entry, Journal},
        live::Live,
        metrics::Metrics,
    },
    arc_swap::ArcSwap,
    back::Pool,
    conf::{Bundle, Generation, Settings, VmList},
    crossbeam::channel::{Sender, TrySendError},
    once::Ledger,
    parking_lot::Mutex,
    peer::{Frame, Links, Spread, Standing, View},
    pick::{Action, Decision, Event as DeskEvent},
    plat::Client,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    unit::{Clock, Map, Name, Span, Time},
    wire::Response,
};

/// How long after its last answer the platform counts as reachable.
const REACH: Span = Span::secs(5);

/// What all threads of the daemon share.
pub(crate) struct Daemon {
    pub(crate) client: Client,
    pub(crate) clock: Clock,
    /// Closed at the end, which ends the dialers.
    dials: Mutex<Option<Sender<Dial>>>,
    /// Requests in progress.
    pub(crate) flying: AtomicU64,
    pub(crate) isolated: AtomicBool,
    pub(crate) journal: Journal,
    pub(crate) ledger: Mutex<Ledger<Response>>,
    pub(crate) life: u64,
    pub(crate) links: Links,
    pub(crate) live: ArcSwap<Live>,
    pub(crate) metrics: Metrics,
    next: AtomicU64,
    /// When the platform last answered, in microseconds of the clock; 0 for never.
    pub(crate) platform_ok: AtomicU64,
    pub(crate) pool: Pool,
    /// Held while the site or the list is replaced.
    replace: Mutex<()>,
    /// Held while desks are told their seats, so that they learn of the newest view last.
    pub(crate) seating: Mutex<()>,
    pub(crate) settings: Settings,
    pub(crate) spread: Mutex<Spread>,
    pub(crate) standing: Mutex<Standing>,
    pub(crate) started: Instant,
    pub(crate) view: Mutex<View>,
}

/// A connection that is to be opened ahead of requests.
pub(crate) struct Dial {
    pub(crate) hall: Arc<Hall>,
    /// Nothing may be asked on it after this time.
    pub(crate) until: Time,
    pub(crate) worker: Name,
}

/// What a daemon is made of.
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) dials: Sender<Dial>,
    pub(crate) ledger: Ledger<Response>,
    pub(crate) life: u64,
    pub(crate) links: Links,
    pub(crate) metrics: Metrics,
    pub(crate) settings: Settings,
}

impl Daemon {
    pub(crate) fn new(parts: Parts) -> Self {
        let settings = parts.settings;
        let client = Client::new(settings.platform.clone(), settings.timeout, settings.calls);
        let now = parts.clock.now();
        Self {
            client,
            clock: parts.clock,
            dials: Mutex::new(Some(parts.dials)),
            flying: AtomicU64::new(0),
            isolated: AtomicBool::new(false),
            journal: Journal::default(),
            ledger: Mutex::new(parts.ledger),
            life: parts.life,
            links: parts.links,
            live: ArcSwap::from_pointee(Live::empty()),
            metrics: parts.metrics,
            next: AtomicU64::new(1),
            platform_ok: AtomicU64::new(0),
            pool: Pool::default(),
            replace: Mutex::new(()),
            seating: Mutex::new(()),
            spread: Mutex::default(),
            standing: Mutex::new(Standing::Joining),
            started: Instant::now(),
            view: Mutex::new(View::new(now, settings.name.clone(), parts.life)),
            settings,
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// A request's id, unique in this life.
    pub(crate) fn next_id(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn standing(&self) -> Standing {
        *self.standing.lock()
    }

    /// Whether the platform has answered lately.
    pub(crate) fn platform_near(&self) -> bool {
        let at = Time::at(Span::micros(self.platform_ok.load(Ordering::Relaxed)));
        at > Time::ZERO && self.now() - at < REACH
    }

    /// The instant at which a time of this daemon's clock comes.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        Instant::now() + Duration::from(time.since(self.now()))
    }

    /// Gives a service's desk an event and does what it says.
    pub(crate) fn drive(&self, hall: &Arc<Hall>, event: DeskEvent) {
        let now = self.now();
        for action in hall.step(now, event) {
            self.perform(now, hall, action);
        }
    }

    fn perform(&self, now: Time, hall: &Arc<Hall>, action: Action) {
        match action {
            Action::Assign { .. } | Action::Refuse { .. } => {}
            Action::Dial(worker, until) => self.dial(hall, worker, until),
            Action::Drop(worker) => self.pool.drop_all(&worker),
            Action::Note(decision) => self.note(now, hall, decision),
            Action::Send(peer, msg) => {
                let service = hall.name.to_string();
                self.links.send(peer, Frame::Desk { msg, service });
            }
            Action::Tell(msg) => {
                for peer in self.view.lock().listed_names() {
                    let service = hall.name.to_string();
                    let msg = msg.clone();
                    self.links.send(peer, Frame::Desk { msg, service });
                }
            }
        }
    }

    fn dial(&self, hall: &Arc<Hall>, worker: Name, until: Time) {
        let dial = Dial {
            hall: Arc::clone(hall),
            until,
            worker,
        };
        let full = match &*self.dials.lock() {
            Some(dials) => dials.try_send(dial).err().map(TrySendError::into_inner),
            None => Some(dial),
        };
        if let Some(dial) = full {
            self.drive(&dial.hall, DeskEvent::Skipped(dial.worker));
        }
    }

    /// Closes the links to peers and the channel of connections to be opened.
    pub(crate) fn close(&self) {
        drop(self.dials.lock().take());
        self.links.close();
    }

    fn note(&self, at: Time, hall: &Hall, decision: Decision) {
        match &decision {
            Decision::Cold { why, worker } => log(Event::WorkerCold, format!("{worker}: {why}")),
            Decision::Failing(worker) => log(Event::WorkerFailing, worker),
            Decision::Slow(worker) => log(Event::WorkerSlow, worker),
            Decision::Warm(worker) => log(Event::WorkerWarm, worker),
            Decision::Chosen { .. } | Decision::Home(_) | Decision::Queued { .. } => {}
        }
        let service = hall.name.clone();
        self.journal.add(Entry {
            at,
            decision,
            service,
        });
    }

    /// Puts a newer site in force; an older one changes nothing.
    ///
    /// A site that isn't valid is refused as a whole, and the one in force stays.
    pub(crate) fn put_site(&self, bundle: Bundle) {
        let _guard = self.replace.lock();
        let generation = bundle.generation;
        if generation <= self.spread.lock().generation() {
            return;
        }
        let services = match bundle.services() {
            Ok(services) => services,
            Err(problems) => {
                self.spread.lock().refuse(generation);
                log(
                    Event::BadGeneration,
                    format!("{}: {problems}", generation.0),
                );
                return;
            }
        };
        let old = self.live.load_full();
        let mut halls = Map::default();
        for (name, service) in services {
            let limits = spec(&service, self.settings.policy);
            let hall = match old.services.get(&name) {
                Some((_, hall)) => {
                    self.drive(hall, DeskEvent::Spec(limits));
                    Arc::clone(hall)
                }
                None => Hall::new(name.clone(), self.settings.name.clone(), limits),
            };
            halls.insert(name, (service, hall));
        }
        self.live.store(Arc::new(Live {
            bundle: Arc::new(bundle),
            list: Arc::clone(&old.list),
            services: halls,
            vms: old.vms.clone(),
        }));
        self.reseat();
        self.spread.lock().accept(generation);
        self.metrics
            .generation
            .set(i64::try_from(generation.0).unwrap_or(i64::MAX));
        log(Event::Generation, generation.0);
    }

    /// Puts a newer list of VMs in force; an older one changes nothing.
    pub(crate) fn put_list(&self, list: VmList) {
        let _guard = self.replace.lock();
        if !self.spread.lock().accept_list(list.version) {
            return;
        }
        let version = list.version;
        let old = self.live.load_full();
        let vms = list
            .vms
            .iter()
            .map(|vm| (vm.name.clone(), Arc::new(vm.clone())));
        self.live.store(Arc::new(Live {
            bundle: Arc::clone(&old.bundle),
            vms: vms.collect(),
            list: Arc::new(list),
            services: old.services.clone(),
        }));
        self.reseat();
        log(Event::List, version);
    }

    /// The generation in force.
    pub(crate) fn generation(&self) -> Generation {
        self.live.load().bundle.generation
    }
}
