//! The state of the daemon process and its event loop.

use {
    crate::{
        account_usage::AccountUsage,
        channel::Channel,
        conn::{Conn, ConnKind},
        error::DaemonError,
        listeners::{FIRST_CONN_TOKEN, ListenerKind, Listeners},
        log::Log,
        log_event::{self, LogEvent},
        metrics::Metrics,
        peers::Beat,
        pool::Pool,
        relays::RelayedResponse,
        requests::ActiveRequest,
        rollouts::RolloutBook,
        shutdown::Shutdown,
        signals::Signals,
        store_conn::StoreConns,
        timers::Timers,
        workers::LinkState,
    },
    call::{Arrival, BodyMemory, CallId, Dispatcher, LinkId, Policy, StartupHold},
    conf::Settings,
    mio::{Events, Interest, Poll, Token, net::TcpStream},
    nix::{
        errno::Errno,
        sys::socket::{setsockopt, sockopt::IpBindAddressNoPort},
    },
    peer::{HEARTBEAT_PERIOD, Roster, Stage},
    pick::{TransferPrice, WorkerKey, WorkerTable},
    quota::Quota,
    serde_json::{Value, json},
    site::{Config, View},
    slab::Slab,
    socket2::{Domain, Socket, Type},
    std::{
        collections::VecDeque,
        io::{self, ErrorKind},
        net::{Ipv4Addr, SocketAddrV4},
        sync::Arc,
        time::Duration,
    },
    store::StoreClient,
    unit::{Clock, Map, Set, Time},
    wire::ConnectionEnd,
};

/// The most socket events that one poll returns.
const EVENT_CAPACITY: usize = 256;

/// The state of the daemon process. One thread owns it: the event loop in [`Self::run`].
pub(crate) struct Daemon {
    /// The requests of each client account that this daemon admitted.
    pub(crate) account_usage: AccountUsage,
    /// Which callers' requests are read while bodies take much memory.
    pub(crate) body_memory: BodyMemory,
    /// Requests that have no response yet.
    pub(crate) calls: Map<CallId, ActiveRequest>,
    pub(crate) clock: Clock,
    /// The number of open connections from callers, and from daemons that forward requests, also
    /// while they are closing.
    pub(crate) caller_count: usize,
    /// The configuration in force; `None` until the first one arrives.
    pub(crate) config: Option<Arc<Config>>,
    /// All stream connections. A key may be used again once its connection is gone;
    /// [`Conn::serial`] tells the two apart.
    pub(crate) conns: Slab<Conn>,
    /// The listeners at which accepting failed, such as for lack of descriptors.
    pub(crate) failed_accepts: Set<Token>,
    /// Decides how requests are sent to workers.
    pub(crate) dispatcher: Dispatcher,
    /// Events for the dispatcher that arose while its actions were performed, oldest first.
    pub(crate) call_events: VecDeque<call::CallEvent>,
    /// Whether a fetch of changes from another daemon is in progress; there is at most one.
    pub(crate) fetching: bool,
    /// Uses of worker connections that are in progress, and responses that the dispatcher has not
    /// decided on yet.
    pub(crate) links: Map<LinkId, LinkState>,
    pub(crate) hold: StartupHold,
    /// The responses that are being passed on while they arrive.
    pub(crate) relays: Map<CallId, RelayedResponse>,
    pub(crate) listeners: Listeners,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) beat: Beat,
    /// The number of the next request.
    pub(crate) next_call: u64,
    /// The serial number that was given last.
    next_serial: u64,
    pub(crate) poll: Poll,
    /// The connections of which there may be more to read though their readiness isn't reported
    /// again: their keys in `conns` and their serial numbers.
    pub(crate) unread: VecDeque<(usize, u64)>,
    /// The connections to each worker.
    pub(crate) pools: Map<WorkerKey, Pool>,
    /// The quotas of client accounts.
    pub(crate) quota: Quota,
    /// The requests that wait for a token of their account's quota.
    pub(crate) quota_waits: Map<CallId, Arrival>,
    /// The other daemons of the fleet.
    pub(crate) roster: Roster,
    /// The settings as read at the start; a reload replaces the bounds only.
    pub(crate) settings: Settings,
    pub(crate) shutdown: Shutdown,
    signals: Signals,
    /// What is known of workers' versions; `None` where no version is rolled out.
    pub(crate) rollouts: Option<RolloutBook>,
    /// Whether this daemon is starting, ready or leaving.
    pub(crate) stage: Stage,
    /// The client of the platform's store.
    pub(crate) store: StoreClient,
    pub(crate) store_conns: StoreConns,
    pub(crate) timers: Timers,
    /// Workers, configuration and evacuations as last received from the store or other daemons.
    pub(crate) view: View,
}

impl Daemon {
    /// Opens all listeners and creates the daemon.
    ///
    /// # Errors
    /// Fails if an address can't be listened on or the system refuses to poll or to handle signals.
    pub(crate) fn start(
        settings: Settings,
        metrics_port: Option<u16>,
        transfer_price: Option<TransferPrice>,
    ) -> Result<Self, DaemonError> {
        let clock = Clock::start();
        let now = clock.now();
        let poll = Poll::new()?;
        let listen = &settings.listen;
        let mut addresses = vec![
            (ListenerKind::Callers, listen.callers),
            (ListenerKind::Readiness, listen.ready),
            (ListenerKind::Directory, listen.directory),
        ];
        addresses.extend(
            listen
                .operators
                .map(|address| (ListenerKind::Operators, address)),
        );
        addresses.extend(metrics_port.map(|port| {
            (
                ListenerKind::Operators,
                SocketAddrV4::new(settings.ip, port),
            )
        }));
        let port = settings.peer_ports.0;
        addresses.push((ListenerKind::Peers, SocketAddrV4::new(settings.ip, port)));
        let listeners = Listeners::open(&poll, &addresses, (settings.ip, port))?;
        let own = platform::MemberEntry {
            centre: settings.centre.clone(),
            ip: settings.ip,
            name: settings.name.clone(),
            operator_port: listen.operators.map(|address| address.port()),
            peer_port: port,
        };
        let table = WorkerTable::new(settings.name.clone(), settings.centre.clone(), now);
        let policy = Policy {
            transfer_price,
            ..Policy::new(settings.bounds)
        };
        let mut daemon = Self {
            account_usage: AccountUsage::default(),
            body_memory: BodyMemory::default(),
            calls: Map::default(),
            hold: StartupHold::new(now),
            relays: Map::default(),
            clock,
            caller_count: 0,
            config: None,
            conns: Slab::new(),
            failed_accepts: Set::default(),
            dispatcher: Dispatcher::new(policy, table, fastrand::Rng::new()),
            call_events: VecDeque::new(),
            fetching: false,
            links: Map::default(),
            listeners,
            log: Log::start(settings.name.clone()),
            metrics: Metrics::new(),
            beat: Beat::new(now),
            quota: Quota::new(settings.ip, now, fastrand::Rng::new()),
            quota_waits: Map::default(),
            next_call: 0,
            next_serial: 0,
            poll,
            unread: VecDeque::new(),
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
            signals: Signals::register()?,
            rollouts: settings.bounds.rollouts.map(RolloutBook::new),
            stage: Stage::Starting,
            store: StoreClient::new(own, now, fastrand::Rng::new()),
            store_conns: StoreConns::default(),
            timers: Timers::default(),
            view: View::default(),
            settings,
        };
        if daemon.rollouts.is_some() {
            daemon.store.follow_rollouts();
            daemon.dispatcher.table.hold_new_workers();
        }
        daemon.log_start(now);
        Ok(daemon)
    }

    /// Runs the event loop until the shutdown that a signal began is complete.
    ///
    /// # Errors
    /// Fails if polling the sockets fails.
    pub(crate) fn run(&mut self) -> Result<(), DaemonError> {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let wait = self.poll_timeout(self.clock.now());
            match self.poll.poll(&mut events, Some(wait)) {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            let now = self.clock.now();
            self.handle_signals(now);
            for event in &events {
                self.handle_io_event(now, event.token(), event.is_writable());
            }
            self.read_rest(now);
            self.run_due_timers(self.clock.now());
            self.resume_bodies(self.clock.now());
            self.record_turn(now, events.iter().count());
            self.log.flush(now);
            if self.is_stopped(now) {
                self.log.finish(now);
                return Ok(());
            }
        }
    }

    /// Logs an event with `fields`, a JSON object, beside the fields that all events have.
    pub(crate) fn log_event(&mut self, now: Time, event: LogEvent, fields: Value) {
        self.log.append(now, event, fields);
    }

    /// Starts connecting to an address, from this daemon's own, without waiting; returns the new connection's key in
    /// `conns`.
    ///
    /// # Errors
    /// Fails if the system refuses to connect or to poll the socket.
    pub(crate) fn connect(
        &mut self,
        address: SocketAddrV4,
        kind: ConnKind,
        now: Time,
    ) -> io::Result<usize> {
        let sock = begin_connect(self.settings.ip, address)?;
        self.add_conn(sock, false, kind, now)
    }

    /// Adds a connection and registers its socket; returns its key in `conns`.
    ///
    /// # Errors
    /// Fails if the system refuses to poll the socket.
    pub(crate) fn add_conn(
        &mut self,
        mut sock: TcpStream,
        connected: bool,
        kind: ConnKind,
        now: Time,
    ) -> io::Result<usize> {
        let entry = self.conns.vacant_entry();
        let conn_key = entry.key();
        let token = Token(FIRST_CONN_TOKEN + conn_key);
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut sock, token, interest)?;
        self.next_serial += 1;
        entry.insert(Conn {
            channel: Channel::new(sock, connected, now),
            timer: None,
            kind,
            serial: self.next_serial,
        });
        Ok(conn_key)
    }

    /// Sets a connection's timer, in place of an earlier setting.
    pub(crate) fn set_timer(&mut self, conn_key: usize, at: Time) {
        if let Some(conn) = self.conns.get_mut(conn_key) {
            conn.timer = Some(at);
            self.timers.set(at, conn_key, conn.serial);
        }
    }

    /// Removes and closes a connection. Nothing is logged, and the dispatcher and the store client
    /// are not told, even if a request, probe or call was in flight on it.
    pub(crate) fn remove_conn(&mut self, conn_key: usize) -> Option<Conn> {
        let conn = self.conns.try_remove(conn_key)?;
        self.caller_count -= usize::from(conn.is_of_caller());
        Some(conn)
    }

    /// Sends bytes on a connection, or buffers them until it takes them.
    ///
    /// # Errors
    /// Fails if the connection is gone or broken; if it is still in `conns`, the next read fails
    /// too.
    pub(crate) fn write_conn(
        &mut self,
        conn_key: usize,
        bytes: &[u8],
        now: Time,
    ) -> Result<(), ConnectionEnd> {
        match self.conns.get_mut(conn_key) {
            Some(conn) => conn.channel.write(bytes, now),
            None => Err(ConnectionEnd::Closed),
        }
    }

    /// Passes an event to the dispatcher and performs the actions that it returns, and likewise for
    /// the events that arise from these actions.
    pub(crate) fn dispatch(&mut self, now: Time, event: call::CallEvent) {
        self.call_events.push_back(event);
        while let Some(event) = self.call_events.pop_front() {
            let actions = self.dispatcher.handle(now, event);
            self.log_decisions(now);
            self.log_notice_changes(now);
            self.log_rejection_changes(now);
            self.log_crashes(now);
            self.log_reach_changes(now);
            for action in actions {
                self.perform(now, action);
            }
        }
    }

    /// How long polling may wait: until the next heartbeat, tick or timer is due; not at all while
    /// there is more to read.
    fn poll_timeout(&self, now: Time) -> Duration {
        if !self.unread.is_empty() {
            return Duration::ZERO;
        }
        let next = [
            Some(self.beat.next),
            self.dispatcher.next_tick(),
            self.quota.next_tick(),
            self.store.next_tick(),
            self.timers.next_due(),
            self.hold.next_check(),
            self.shutdown.next_check(now),
        ];
        let next = next.into_iter().flatten().min();
        next.map_or(HEARTBEAT_PERIOD, |at| at.since(now)).into()
    }

    fn handle_signals(&mut self, now: Time) {
        if self.signals.take_reload() {
            self.reload_settings(now);
        }
        if self.signals.stop_requested() && self.stage != Stage::Leaving {
            self.begin_shutdown(now);
        }
    }

    fn log_start(&mut self, now: Time) {
        let fields = json!({
            "version": env!("CARGO_PKG_VERSION"),
            "centre": self.settings.centre,
            "callers": self.settings.listen.callers.to_string(),
            "store": self.settings.store.to_string(),
        });
        self.log_event(now, log_event::START, fields);
    }
}

/// Starts connecting from the address by which other daemons know this one.
fn begin_connect(from: Ipv4Addr, to: SocketAddrV4) -> io::Result<TcpStream> {
    let sock = Socket::new(Domain::IPV4, Type::STREAM.nonblocking(), None)?;
    // A failure is ignored: without the option fewer connections can be open at a time.
    let _ = setsockopt(&sock, IpBindAddressNoPort, &true);
    sock.bind(&SocketAddrV4::new(from, 0).into())?;
    match sock.connect(&to.into()) {
        Err(error) if error.raw_os_error() != Some(Errno::EINPROGRESS as i32) => Err(error),
        Ok(()) | Err(_) => Ok(TcpStream::from_std(sock.into())),
    }
}
