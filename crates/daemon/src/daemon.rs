use {
    crate::{
        channel::Channel,
        conn::{Conn, ConnKind},
        error::DaemonError,
        event::{self, Event},
        listeners::{Door, FIRST_CONN, Listeners},
        log::Log,
        metrics::Metrics,
        options::LINGER,
        pool::Pool,
        requests::Ticket,
        shutdown::Shutdown,
        signals::Signals,
        timers::Timers,
        workers::Link,
    },
    call::{CallId, Dispatcher, LinkId, Policy},
    conf::Settings,
    mio::{Events, Interest, Poll, Token, net::TcpStream},
    peer::{HEARTBEAT_PERIOD, Roster, Stage},
    pick::{WorkerKey, WorkerTable},
    serde_json::{Value, json},
    site::{Config, View},
    slab::Slab,
    std::{
        collections::VecDeque,
        io::{self, ErrorKind},
        net::SocketAddrV4,
        sync::Arc,
        time::Duration,
    },
    store::StoreClient,
    unit::{Clock, Map, Name, Set, Time},
    wire::ConnectionEnd,
};

const EVENTS: usize = 256;

/// The daemon's process.
pub(crate) struct Daemon {
    /// Daemons that were alive when that was last looked at.
    pub(crate) alive_peers: Set<Name>,
    pub(crate) calls: Map<CallId, Ticket>,
    pub(crate) clock: Clock,
    /// Connections of callers that are open.
    pub(crate) caller_count: usize,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) conns: Slab<Conn>,
    pub(crate) dispatcher: Dispatcher,
    /// Events for the desk that arose while its actions were carried out.
    pub(crate) call_events: VecDeque<call::CallEvent>,
    /// Whether something is being fetched from another daemon.
    pub(crate) fetching: bool,
    pub(crate) links: Map<LinkId, Link>,
    pub(crate) listeners: Listeners,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) next_heartbeat: Time,
    pub(crate) next_call: u64,
    next_serial: u64,
    pub(crate) poll: Poll,
    pub(crate) pools: Map<WorkerKey, Pool>,
    pub(crate) roster: Roster,
    pub(crate) settings: Settings,
    pub(crate) shutdown: Shutdown,
    signals: Signals,
    pub(crate) stage: Stage,
    pub(crate) store: StoreClient,
    pub(crate) store_calls: Map<store::CallId, usize>,
    /// Connections to the store that are free.
    pub(crate) store_idle: Vec<usize>,
    pub(crate) timers: Timers,
    pub(crate) view: View,
}

impl Daemon {
    pub(crate) fn start(
        settings: Settings,
        metrics_port: Option<u16>,
    ) -> Result<Self, DaemonError> {
        let clock = Clock::start();
        let now = clock.now();
        let poll = Poll::new()?;
        let listen = &settings.listen;
        let mut doors = vec![
            (Door::Callers, listen.callers),
            (Door::Ready, listen.ready),
            (Door::Directory, listen.directory),
        ];
        doors.extend(listen.operators.map(|address| (Door::Operators, address)));
        doors.extend(
            metrics_port.map(|port| (Door::Operators, SocketAddrV4::new(settings.ip, port))),
        );
        let port = settings.peer_ports.0;
        doors.push((Door::Peers, SocketAddrV4::new(settings.ip, port)));
        let listeners = Listeners::open(&poll, &doors, (settings.ip, port))?;
        let own = platform::MemberEntry {
            centre: settings.centre.clone(),
            ip: settings.ip,
            name: settings.name.clone(),
            operator_port: listen.operators.map(|address| address.port()),
            peer_port: port,
        };
        let table = WorkerTable::new(settings.name.clone(), settings.centre.clone());
        let policy = Policy::new(settings.bounds);
        let mut daemon = Self {
            alive_peers: Set::default(),
            calls: Map::default(),
            clock,
            caller_count: 0,
            config: None,
            conns: Slab::new(),
            dispatcher: Dispatcher::new(policy, table, fastrand::Rng::new()),
            call_events: VecDeque::new(),
            fetching: false,
            links: Map::default(),
            listeners,
            log: Log::start(settings.name.clone()),
            metrics: Metrics::new(),
            next_heartbeat: now,
            next_call: 0,
            next_serial: 0,
            poll,
            pools: Map::default(),
            roster: Roster::new(
                settings.name.clone(),
                settings.centre.clone(),
                settings.ip,
                settings.seeds.clone(),
                now,
                fastrand::Rng::new(),
            ),
            shutdown: Shutdown::default(),
            signals: Signals::listen()?,
            stage: Stage::Starting,
            store: StoreClient::new(own, now, fastrand::Rng::new()),
            store_calls: Map::default(),
            store_idle: Vec::new(),
            timers: Timers::default(),
            view: View::default(),
            settings,
        };
        daemon.log_start(now);
        Ok(daemon)
    }

    /// Serves until the daemon was told to stop and has nothing left to do.
    pub(crate) fn run(&mut self) -> Result<(), DaemonError> {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let wait = self.wait(self.clock.now());
            match self.poll.poll(&mut events, Some(wait)) {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            let now = self.clock.now();
            self.obey_signals(now);
            for event in &events {
                self.ready(now, event.token(), event.is_writable());
            }
            self.due(self.clock.now());
            self.log.flush(now);
            if self
                .shutdown
                .done(now, &self.settings.bounds, self.caller_count)
            {
                self.log
                    .line(now, event::STOP, json!({"callers": self.caller_count}));
                self.log.finish(now);
                return Ok(());
            }
        }
    }

    /// Adds a log line.
    pub(crate) fn log_event(&mut self, now: Time, event: Event, fields: Value) {
        self.log.line(now, event, fields);
    }

    /// Connects to an address.
    pub(crate) fn connect(
        &mut self,
        address: SocketAddrV4,
        kind: ConnKind,
        now: Time,
    ) -> io::Result<usize> {
        let sock = TcpStream::connect(address.into())?;
        self.add_conn(sock, false, kind, now)
    }

    /// Adds a connection.
    pub(crate) fn add_conn(
        &mut self,
        mut sock: TcpStream,
        connected: bool,
        kind: ConnKind,
        now: Time,
    ) -> io::Result<usize> {
        let entry = self.conns.vacant_entry();
        let place = entry.key();
        let token = Token(FIRST_CONN + place);
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut sock, token, interest)?;
        self.next_serial += 1;
        entry.insert(Conn {
            channel: Channel::new(sock, connected, now),
            timer: None,
            kind,
            serial: self.next_serial,
        });
        Ok(place)
    }

    /// Sets the moment at which something is due on a connection.
    pub(crate) fn set_timer(&mut self, place: usize, at: Time) {
        if let Some(conn) = self.conns.get_mut(place) {
            conn.timer = Some(at);
            self.timers.set(at, place, conn.serial);
        }
    }

    /// Drops a connection; what its purpose was is not told anyone.
    pub(crate) fn remove_conn(&mut self, place: usize) -> Option<Conn> {
        let conn = self.conns.try_remove(place)?;
        if matches!(conn.kind, ConnKind::Caller(_)) {
            self.caller_count -= 1;
        }
        Some(conn)
    }

    /// Sends bytes on a connection; a failure shows when the connection is next read.
    pub(crate) fn write_conn(
        &mut self,
        place: usize,
        bytes: &[u8],
        now: Time,
    ) -> Result<(), ConnectionEnd> {
        match self.conns.get_mut(place) {
            Some(conn) => conn.channel.write(bytes, now),
            None => Err(ConnectionEnd::Closed),
        }
    }

    /// Closes a connection once the other end has read everything.
    pub(crate) fn linger(&mut self, place: usize, now: Time) {
        let Some(conn) = self.conns.get_mut(place) else {
            return;
        };
        if matches!(conn.kind, ConnKind::Caller(_)) {
            self.caller_count -= 1;
        }
        conn.kind = ConnKind::Lingering;
        if !conn.channel.has_unsent() {
            conn.channel.half_close();
        }
        self.set_timer(place, now + LINGER);
    }

    /// Gives the desk an event and carries out what it answers with.
    pub(crate) fn dispatch(&mut self, now: Time, event: call::CallEvent) {
        self.call_events.push_back(event);
        while let Some(event) = self.call_events.pop_front() {
            let actions = self.dispatcher.handle(now, event);
            self.log_notes(now);
            for action in actions {
                self.carry_out(now, action);
            }
        }
    }

    fn wait(&self, now: Time) -> Duration {
        let next = [
            Some(self.next_heartbeat),
            self.dispatcher.next_tick(),
            self.store.next_tick(),
            self.timers.next(),
        ];
        let next = next.into_iter().flatten().min();
        next.map_or(HEARTBEAT_PERIOD, |at| at.since(now)).into()
    }

    fn obey_signals(&mut self, now: Time) {
        if self.signals.take_reload() {
            self.reload(now);
        }
        if self.signals.stop() && self.stage != Stage::Leaving {
            self.leave(now);
        }
    }

    fn log_start(&mut self, now: Time) {
        let fields = json!({
            "version": env!("CARGO_PKG_VERSION"),
            "centre": self.settings.centre,
            "callers": self.settings.listen.callers.to_string(),
            "store": self.settings.store.to_string(),
        });
        self.log_event(now, event::START, fields);
    }
}
