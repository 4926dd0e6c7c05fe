//! Real daemons on loopback addresses, between a store and workers of this process.

use {
    crate::{
        caller::{Attempt, Caller},
        config::{SERVICE, config},
        error::StandinError,
        execution_log::ExecutionLog,
        ports::find_free_ports,
        process::Process,
        proxy::Proxy,
        settings::settings,
        store::Store,
        upstream::Upstream,
    },
    conf::Settings,
    nix::sys::signal::Signal,
    platform::{SETTINGS_VARIABLE, standin::encode_settings},
    std::{
        collections::HashMap,
        fs,
        io::{self, Read, Write},
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
        path::{Path, PathBuf},
        sync::atomic::{AtomicU32, Ordering},
        time::{Duration, Instant},
    },
    unit::Name,
};

const CONNECT: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(20);
/// How long a fleet may take to become ready.
const START: Duration = Duration::from_secs(20);

/// Counts the fleets of this process, so that each has addresses of its own.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The data centre of each daemon.
    pub daemon_centres: Vec<&'static str>,
    /// The program.
    pub program: PathBuf,
    /// Whether daemons reach the store, and workers, through proxies.
    pub proxied: bool,
    /// How long the workers' requests take.
    pub work_time: Duration,
    /// The data centre of each worker.
    pub worker_centres: Vec<&'static str>,
}

impl FleetPlan {
    /// Two daemons and two workers in each of two data centres.
    pub fn new(program: &Path) -> Self {
        Self {
            daemon_centres: vec!["a", "a", "b", "b"],
            program: program.to_owned(),
            proxied: false,
            work_time: Duration::from_millis(20),
            worker_centres: vec!["a", "a", "b", "b"],
        }
    }
}

struct Daemon {
    log: PathBuf,
    process: Option<Process>,
    settings: Settings,
    settings_file: PathBuf,
}

/// A fleet under test.
pub struct Fleet {
    daemons: Vec<Daemon>,
    folder: PathBuf,
    /// What the workers ran.
    pub executions: ExecutionLog,
    program: PathBuf,
    /// The platform's store.
    pub store: Store,
    /// The proxies between the daemons and the store, where there are any.
    pub store_proxies: Vec<Proxy>,
    /// The proxies before the workers, where there are any, by the workers' ids.
    pub worker_proxies: HashMap<Name, Proxy>,
    /// The workers.
    pub workers: Vec<Upstream>,
}

impl Fleet {
    /// Starts a fleet and waits until all its daemons are ready.
    ///
    /// # Errors
    /// Fails where something can't be started or isn't ready in time.
    pub fn start(plan: &FleetPlan) -> Result<Self, StandinError> {
        let store = Store::start()?;
        let executions = ExecutionLog::default();
        store.put_config(&config(1));
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("fleet-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            daemons: Vec::new(),
            folder,
            executions,
            program: plan.program.clone(),
            store,
            store_proxies: Vec::new(),
            worker_proxies: HashMap::new(),
            workers: Vec::new(),
        };
        for (at, centre) in plan.worker_centres.iter().enumerate() {
            fleet.add_worker(&format!("w-{at}"), centre, plan.work_time, plan.proxied)?;
        }
        fleet.add_daemons(plan, number)?;
        for at in 0..fleet.daemons.len() {
            fleet.launch(at)?;
        }
        for at in 0..fleet.daemons.len() {
            fleet.wait_ready(at)?;
        }
        Ok(fleet)
    }

    /// Starts a worker and enters it in the store.
    ///
    /// # Errors
    /// Fails where it can't be started.
    pub fn add_worker(
        &mut self,
        id: &str,
        centre: &str,
        work_time: Duration,
        proxied: bool,
    ) -> Result<(), StandinError> {
        let mut worker = Upstream::start(id, SERVICE, centre, work_time, &self.executions)?;
        if proxied {
            let link = Proxy::start(worker.entry.address)?;
            worker.entry.address = link.address;
            self.worker_proxies.insert(worker.entry.id.clone(), link);
        }
        self.store.put_worker(&worker.entry);
        self.workers.push(worker);
        Ok(())
    }

    /// Where callers reach a daemon.
    pub fn address(&self, at: usize) -> SocketAddrV4 {
        self.daemons[at].settings.listen.callers
    }

    /// Where callers ask a daemon for addresses.
    pub fn directory(&self, at: usize) -> SocketAddrV4 {
        self.daemons[at].settings.listen.directory
    }

    /// The number of daemons.
    pub fn size(&self) -> usize {
        self.daemons.len()
    }

    /// Starts a daemon that isn't running.
    ///
    /// # Errors
    /// Fails where it can't be started.
    pub fn launch(&mut self, at: usize) -> Result<(), StandinError> {
        let daemon = &mut self.daemons[at];
        let variable = (SETTINGS_VARIABLE, daemon.settings_file.as_path());
        daemon.process = Some(Process::start(&self.program, variable, &daemon.log)?);
        Ok(())
    }

    /// Starts a daemon that isn't running, whose log nobody reads.
    ///
    /// # Errors
    /// Fails where it can't be started.
    pub fn launch_with_unread_log(&mut self, at: usize) -> Result<(), StandinError> {
        let daemon = &mut self.daemons[at];
        let variable = (SETTINGS_VARIABLE, daemon.settings_file.as_path());
        daemon.process = Some(Process::start_with_unread_output(&self.program, variable)?);
        Ok(())
    }

    /// Kills a daemon.
    pub fn kill(&mut self, at: usize) {
        self.daemons[at].process = None;
    }

    /// Sends a daemon a signal.
    ///
    /// # Errors
    /// Fails where it isn't running.
    pub fn signal(&self, at: usize, signal: Signal) -> Result<(), StandinError> {
        match &self.daemons[at].process {
            Some(process) => process.signal(signal),
            None => Err(StandinError::Timeout(format!("daemon {at} isn't running"))),
        }
    }

    /// Waits until a daemon that was told to stop has ended; tells whether it ended well.
    ///
    /// # Errors
    /// Fails where it goes on.
    pub fn wait_stopped(&mut self, at: usize, span: Duration) -> Result<bool, StandinError> {
        let Some(process) = &mut self.daemons[at].process else {
            return Ok(true);
        };
        let status = process.wait(span)?;
        let status = status.ok_or_else(|| StandinError::Timeout(format!("daemon {at} goes on")))?;
        self.daemons[at].process = None;
        Ok(status.success())
    }

    /// Waits until a daemon is ready.
    ///
    /// # Errors
    /// Fails where it isn't in time.
    pub fn wait_ready(&self, at: usize) -> Result<(), StandinError> {
        let ready = self.daemons[at].settings.listen.ready;
        let waited = wait_until(&format!("daemon {at} is ready"), START, || {
            get(ready, "/v1/ready").is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
        });
        waited.map_err(|error| {
            // The log says why; where it can't be read either, that is said in its place.
            let log = self.log(at).unwrap_or_else(|error| error.to_string());
            StandinError::Timeout(format!("{error}\n{log}"))
        })
    }

    /// Reads a page of a daemon's operators' address.
    ///
    /// # Errors
    /// Fails where the daemon can't be reached.
    pub fn operators_page(&self, at: usize, path: &str) -> Result<String, StandinError> {
        let listen = &self.daemons[at].settings.listen;
        let address = listen.operators.unwrap_or(listen.ready);
        let text = get(address, path)?;
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
        Ok(body.unwrap_or(text))
    }

    /// What a daemon has logged.
    ///
    /// # Errors
    /// Fails where its log can't be read.
    pub fn log(&self, at: usize) -> Result<String, StandinError> {
        Ok(fs::read_to_string(&self.daemons[at].log)?)
    }

    /// Sends a request of `caller` to a daemon.
    pub fn send(&self, caller: &mut Caller, at: usize, method: &str, path: &str) -> Attempt {
        caller.send(self.address(at), method, path)
    }

    fn add_daemons(&mut self, plan: &FleetPlan, number: u32) -> Result<(), StandinError> {
        let ip = |at: usize| {
            // Addresses of the loopback network that no other fleet of this process uses.
            let [high, low] = [number as u8, at as u8 + 10];
            Ipv4Addr::new(127, 16 + (std::process::id() % 200) as u8, high, low)
        };
        let base = find_free_ports(ip(0))?;
        for (at, centre) in plan.daemon_centres.iter().enumerate() {
            let name = format!("front-{centre}-{at}");
            let mut store = self.store.address;
            if plan.proxied {
                let link = Proxy::start(store)?;
                store = link.address;
                self.store_proxies.push(link);
            }
            let settings = settings(&name, centre, ip(at), base, store, ip(0));
            let settings_file = self.folder.join(format!("{name}.toml"));
            let text = encode_settings(&settings).map_err(io::Error::other)?;
            fs::write(&settings_file, text)?;
            self.daemons.push(Daemon {
                log: self.folder.join(format!("{name}.log")),
                process: None,
                settings,
                settings_file,
            });
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        // A folder that can't be removed is left to the system.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Waits until something holds.
///
/// # Errors
/// Fails where it doesn't in time.
pub(crate) fn wait_until(
    what: &str,
    span: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<(), StandinError> {
    let end = Instant::now() + span;
    while !holds() {
        if Instant::now() >= end {
            return Err(StandinError::Timeout(format!(
                "waited in vain until {what}"
            )));
        }
        std::thread::sleep(LOOK);
    }
    Ok(())
}

fn get(address: SocketAddrV4, path: &str) -> io::Result<String> {
    let mut conn = TcpStream::connect_timeout(&SocketAddr::V4(address), CONNECT)?;
    conn.set_read_timeout(Some(CONNECT))?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    conn.write_all(request.as_bytes())?;
    let mut text = String::new();
    conn.read_to_string(&mut text)?;
    Ok(text)
}
