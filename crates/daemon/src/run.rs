use {
    crate::{
        arguments::Arguments,
        daemon::{Daemon, Dial, Parts},
        dialer,
        error::DaemonError,
        event::{Event, log},
        flow::Callers,
        inbox,
        metrics::Metrics,
        operators::Operators,
        platform::{self, Source},
        ticker,
    },
    clap::Parser,
    conf::Settings,
    crossbeam::channel::{Receiver, Sender, bounded, unbounded},
    once::{Ledger, Limits as Keeping},
    peer::{Keys, Links, Standing},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{
        fs, io,
        io::Write,
        process::ExitCode,
        sync::{Arc, atomic::Ordering},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    unit::{Clock, Span},
    wire::{Limits, Server},
};

/// Threads that open connections ahead of requests.
const DIALERS: usize = 4;
/// Connections that wait to be opened.
const DIALS: usize = 256;
/// Clocks of two VMs may differ by so much.
const SKEW: u64 = 10_000;
const POLL: Duration = Duration::from_millis(20);
const OPERATOR_CONNS: usize = 32;

/// Runs the daemon until it is asked to stop.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match run_with(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anvilferryd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_with(arguments: &Arguments) -> Result<(), DaemonError> {
    let file = arguments.settings.display().to_string();
    let text = fs::read_to_string(&arguments.settings).map_err(|error| {
        let file = file.clone();
        DaemonError::Unreadable { error, file }
    })?;
    let settings = Settings::parse(&file, &text)?;
    let keys = Keys::read(&settings.keyfile)?;
    if arguments.check {
        println!("{file}: settings are valid");
        return Ok(());
    }
    start_log(&settings.log)?;
    serve(settings, keys)
}

fn start_log(level: &str) -> Result<(), DaemonError> {
    let level = match level {
        "error" => LevelFilter::Error,
        "warn" => LevelFilter::Warn,
        "debug" => LevelFilter::Debug,
        _ => LevelFilter::Info,
    };
    let config = ConfigBuilder::new()
        .add_filter_allow_str("daemon")
        .add_filter_allow_str("peer")
        .set_time_format_rfc3339()
        .build();
    Ok(WriteLogger::init(level, config, io::stderr())?)
}

/// The threads that run beside the servers, each ended by closing a channel.
struct Tasks {
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

fn serve(settings: Settings, keys: Keys) -> Result<(), DaemonError> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let (sink, inbox) = unbounded();
    let (dials, queue) = bounded(DIALS);
    let clock = Clock::start();
    let life = fastrand::u64(1 << 32..);
    let links = Links::start(settings.peers, settings.name.clone(), keys, sink)?;
    let keeping = Keeping {
        grace: settings.ticket.as_millis(),
        keys: settings.keys,
        ticket: settings.ticket.as_millis() + SKEW,
    };
    let daemon = Arc::new(Daemon::new(Parts {
        clock,
        dials,
        ledger: Ledger::new(settings.name.clone(), life, keeping),
        life,
        links,
        metrics: Metrics::new()?,
        settings,
    }));
    let mut callers = start_callers(&daemon)?;
    let mut operators = start_operators(&daemon)?;
    let tasks = start_tasks(&daemon, inbox, queue)?;
    daemon.reseat();
    announce(&daemon, &callers, &operators)?;
    signals.forever().next();
    log(Event::Stopping, &daemon.settings.name);
    leave(&daemon, &mut callers);
    operators.stop(Duration::ZERO);
    drop(operators);
    drop(callers);
    end(daemon, tasks);
    log(Event::Stopped, "all threads have ended");
    Ok(())
}

fn start_callers(daemon: &Arc<Daemon>) -> Result<Server, DaemonError> {
    let settings = &daemon.settings;
    let limits = Limits {
        body: settings.body,
        conns: settings.conns,
        head: settings.head,
        head_time: settings.headtime.into(),
        headers: settings.headers,
        idle: settings.idle.into(),
        ..Limits::default()
    };
    let handler = Arc::new(Callers(Arc::clone(daemon)));
    Ok(Server::start(settings.callers, limits, handler)?)
}

fn start_operators(daemon: &Arc<Daemon>) -> Result<Server, DaemonError> {
    let limits = Limits {
        body: 1 << 10,
        conns: OPERATOR_CONNS,
        head: 4 << 10,
        head_time: Duration::from_secs(1),
        idle: Duration::from_secs(5),
        ..Limits::default()
    };
    let handler = Arc::new(Operators(Arc::clone(daemon)));
    Ok(Server::start(daemon.settings.operators, limits, handler)?)
}

fn start_tasks(
    daemon: &Arc<Daemon>,
    inbox: Receiver<peer::Incoming>,
    queue: Receiver<Dial>,
) -> Result<Tasks, DaemonError> {
    let (stop, stopped) = bounded(0);
    let mut threads = Vec::new();
    let mut spawn = |name: &str, task: Box<dyn FnOnce(&Daemon) + Send>| {
        let daemon = Arc::clone(daemon);
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || task(&daemon))?;
        threads.push(thread);
        Ok::<(), io::Error>(())
    };
    spawn("inbox", Box::new(move |daemon| inbox::run(daemon, &inbox)))?;
    for _ in 0..DIALERS {
        let queue = queue.clone();
        spawn(
            "dialer",
            Box::new(move |daemon| dialer::run(daemon, &queue)),
        )?;
    }
    for source in [Source::List, Source::Site] {
        let stopped = stopped.clone();
        let follow = move |daemon: &Daemon| platform::run(daemon, source, &stopped);
        spawn("platform", Box::new(follow))?;
    }
    spawn(
        "ticker",
        Box::new(move |daemon| ticker::run(daemon, &stopped)),
    )?;
    Ok(Tasks { stop, threads })
}

/// Prints the addresses, so that whoever started the daemon on free ports learns them.
fn announce(daemon: &Daemon, callers: &Server, operators: &Server) -> Result<(), DaemonError> {
    let line = format!(
        "ready callers={} operators={} peers={}",
        callers.address(),
        operators.address(),
        daemon.links.address()
    );
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    log(Event::Started, line);
    Ok(())
}

/// Leaves the fleet: out of the answers, then until those have expired and requests are done.
fn leave(daemon: &Daemon, callers: &mut Server) {
    daemon.move_on(Standing::Leaving);
    let age = Duration::from(daemon.settings.age);
    thread::sleep(age);
    let end = Instant::now() + Duration::from(daemon.settings.drain);
    while daemon.flying.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        thread::sleep(POLL);
    }
    let flying = daemon.flying.load(Ordering::Relaxed);
    if flying > 0 {
        log(Event::Cut, format!("{flying} requests in progress"));
    }
    callers.stop(Duration::from(Span::millis(100)));
}

/// Closes every channel and waits for the threads.
fn end(daemon: Arc<Daemon>, tasks: Tasks) {
    drop(tasks.stop);
    daemon.close();
    drop(daemon);
    for thread in tasks.threads {
        drop(thread.join());
    }
}
