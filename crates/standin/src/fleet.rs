//! A fleet of real processes on free ports of this machine.

use {
    crate::{
        StandinError,
        mood::{Count, Mood},
        platform::{Faults, Stats},
        process::Process,
    },
    conf::{Role, Standing, Vm},
    nix::sys::signal::Signal,
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        net::SocketAddr,
        os::unix::fs::PermissionsExt,
        path::PathBuf,
        process::Command,
        time::{Duration, Instant},
    },
    unit::Name,
};

const POLL: Duration = Duration::from_millis(20);

/// A service of a planned fleet.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The service file.
    pub file: String,
    /// Its name.
    pub name: String,
    /// Its workers, dealt to the data centres in turn.
    pub workers: usize,
}

/// A fleet to be started.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centres; daemons and workers are dealt to them in turn.
    pub centres: Vec<String>,
    /// The number of daemons.
    pub daemons: usize,
    /// Lines for the daemons' settings, below `[limits]`.
    pub limits: String,
    /// `lease`, `alone` or `hedged`.
    pub policy: String,
    /// The services.
    pub services: Vec<ServicePlan>,
}

/// One daemon of a fleet.
#[derive(Debug)]
pub struct DaemonSeat {
    /// Its data centre.
    pub centre: String,
    /// Its name.
    pub name: String,
    /// Its process; `None` once it was killed.
    pub process: Option<Process>,
}

/// A running fleet; everything it started ends when it is dropped.
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<DaemonSeat>,
    /// Files of this fleet; removed when it is dropped.
    pub dir: PathBuf,
    /// VMs that the list calls leaving.
    pub leaving: BTreeSet<String>,
    plan: Plan,
    platform: Process,
    upstreams: Vec<Process>,
    workers: BTreeMap<String, WorkerSeat>,
}

#[derive(Clone, Debug)]
struct WorkerSeat {
    centre: String,
    process: usize,
    service: String,
}

impl Fleet {
    /// Starts everything, publishes the services, and waits until every daemon serves.
    ///
    /// # Errors
    /// Fails where a process can't be started or the fleet isn't ready in time.
    pub fn start(plan: Plan) -> Result<Self, StandinError> {
        let dir = std::env::temp_dir().join(format!(
            "anvilferry-{}-{:x}",
            std::process::id(),
            fastrand::u64(..)
        ));
        fs::create_dir_all(dir.join("site"))?;
        let keys = dir.join("keys");
        fs::write(&keys, "a-key-of-the-demonstration-fleet-only\n")?;
        fs::set_permissions(&keys, fs::Permissions::from_mode(0o600))?;
        let platform = Process::start("standin-platform", &[], &dir.join("platform.log"))?;
        let mut fleet = Self {
            daemons: Vec::new(),
            dir,
            leaving: BTreeSet::new(),
            plan,
            platform,
            upstreams: Vec::new(),
            workers: BTreeMap::new(),
        };
        fleet.start_upstreams()?;
        for index in 0..fleet.plan.daemons {
            let centre = fleet.centre(index);
            let name = format!("entry-{index:02}");
            let process = fleet.start_daemon(&name, &centre)?;
            fleet.daemons.push(DaemonSeat {
                centre,
                name,
                process: Some(process),
            });
        }
        fleet.put_list()?;
        fleet.publish_files()?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn centre(&self, index: usize) -> String {
        let centres = &self.plan.centres;
        centres
            .get(index % centres.len().max(1))
            .cloned()
            .unwrap_or_default()
    }

    fn start_upstreams(&mut self) -> Result<(), StandinError> {
        for (process, service) in self.plan.services.clone().iter().enumerate() {
            let names: Vec<String> = (0..service.workers)
                .map(|index| format!("{}-{index:02}", service.name))
                .collect();
            for (index, name) in names.iter().enumerate() {
                let seat = WorkerSeat {
                    centre: self.centre(index),
                    process,
                    service: service.name.clone(),
                };
                self.workers.insert(name.clone(), seat);
            }
            let log = self.dir.join(format!("{}.log", service.name));
            self.upstreams
                .push(Process::start("standin-upstream", &names, &log)?);
        }
        Ok(())
    }

    fn start_daemon(&self, name: &str, centre: &str) -> Result<Process, StandinError> {
        let platform = self.platform.address("platform")?;
        let settings = format!(
            "[daemon]\nname = {name}\ndata_centre = {centre}\nregion = here\npolicy = {}\n\n\
             [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\n\
             [peers]\nkeys = {}\nbootstrap = {}\n\n[platform]\naddresses = {platform}\n\n\
             [limits]\n{}\n",
            self.plan.policy,
            self.dir.join("keys").display(),
            self.bootstrap(),
            self.plan.limits,
        );
        // An empty key would be refused.
        let settings = settings.replace("bootstrap = \n", "");
        let file = self.dir.join(format!("{name}.ini"));
        fs::write(&file, settings)?;
        let log = self.dir.join(format!("{name}-{:x}.log", fastrand::u32(..)));
        Process::start("anvilferryd", &[file.display().to_string()], &log)
    }

    fn bootstrap(&self) -> String {
        let running = self.daemons.iter().filter_map(|seat| seat.process.as_ref());
        let peers = running.filter_map(|process| process.address("peers").ok());
        peers
            .map(|address| address.to_string())
            .collect::<Vec<_>>()
            .join(" ")
    }

    /// Starts a daemon again that was killed, in a new life and at new addresses.
    ///
    /// # Errors
    /// Fails where it can't be started.
    pub fn revive(&mut self, index: usize) -> Result<(), StandinError> {
        let Some(seat) = self.daemons.get(index) else {
            return Ok(());
        };
        let process = self.start_daemon(&seat.name.clone(), &seat.centre.clone())?;
        if let Some(seat) = self.daemons.get_mut(index) {
            seat.process = Some(process);
        }
        Ok(())
    }

    /// Replaces a daemon by a new life at the same addresses while the platform has `faults`.
    ///
    /// # Errors
    /// Fails where it can't be started.
    pub fn kill_and_revive_in_place(
        &mut self,
        index: usize,
        faults: &Faults,
    ) -> Result<(), StandinError> {
        let Some(seat) = self.daemons.get_mut(index) else {
            return Ok(());
        };
        let Some(process) = seat.process.take() else {
            return Ok(());
        };
        let name = seat.name.clone();
        let mut text = fs::read_to_string(self.dir.join(format!("{name}.ini")))?;
        for kind in ["callers", "operators", "peers"] {
            let address = process.address(kind)?;
            text = text.replace(
                &format!("{kind} = 127.0.0.1:0"),
                &format!("{kind} = {address}"),
            );
        }
        drop(process);
        self.faults(faults)?;
        let bootstrap = format!("[peers]\nbootstrap = {}\n", self.bootstrap());
        let text = match text.find("bootstrap = ") {
            Some(_) => text,
            None => text.replace("[peers]\n", &bootstrap),
        };
        let file = self.dir.join(format!("{name}-again.ini"));
        fs::write(&file, text)?;
        let log = self.dir.join(format!("{name}-again.log"));
        let process = Process::start("anvilferryd", &[file.display().to_string()], &log)?;
        if let Some(seat) = self.daemons.get_mut(index) {
            seat.process = Some(process);
        }
        Ok(())
    }

    /// Gives the platform the list of all VMs as they now are.
    ///
    /// # Errors
    /// Fails where the platform doesn't take it.
    pub fn put_list(&self) -> Result<(), StandinError> {
        let standing = |name: &str| {
            if self.leaving.contains(name) {
                Standing::Leaving
            } else {
                Standing::Live
            }
        };
        let mut vms = Vec::new();
        for seat in &self.daemons {
            let Some(process) = &seat.process else {
                continue;
            };
            vms.push(Vm {
                address: process.address("callers")?,
                centre: seat.centre.as_str().into(),
                name: seat.name.as_str().into(),
                region: "here".into(),
                role: Role::Entry {
                    operators: process.address("operators")?,
                    peers: process.address("peers")?,
                },
                standing: standing(&seat.name),
            });
        }
        for (name, seat) in &self.workers {
            let service: Name = seat.service.as_str().into();
            let Some(process) = self.upstreams.get(seat.process) else {
                continue;
            };
            vms.push(Vm {
                address: process.address(name)?,
                centre: seat.centre.as_str().into(),
                name: name.as_str().into(),
                region: "here".into(),
                role: Role::Upstream { service },
                standing: standing(name),
            });
        }
        self.admin("vms", &serde_json::to_string(&vms)?)
    }

    fn publish_files(&self) -> Result<(), StandinError> {
        for service in &self.plan.services {
            fs::write(
                self.site().join(format!("{}.ini", service.name)),
                &service.file,
            )?;
        }
        let site = self.site().display().to_string();
        let (status, told) = self.tool(&["publish", &site])?;
        if status == 0 {
            Ok(())
        } else {
            Err(std::io::Error::other(format!("publish failed: {told}")).into())
        }
    }

    /// The folder of the service files.
    pub fn site(&self) -> PathBuf {
        self.dir.join("site")
    }

    /// Runs the operators' tool against this fleet's platform; gives its status and output.
    ///
    /// # Errors
    /// Fails where the tool can't be run.
    pub fn tool(&self, arguments: &[&str]) -> Result<(i32, String), StandinError> {
        let own = std::env::current_exe()?;
        let folders = own.ancestors().skip(1).take(2);
        let tool = folders
            .map(|folder| folder.join("anvilferry"))
            .find(|path| path.exists());
        let tool = tool.ok_or_else(|| std::io::Error::other("anvilferry is not built"))?;
        let output = Command::new(tool)
            .args(arguments)
            .env(
                "ANVILFERRY_PLATFORM",
                self.platform.address("platform")?.to_string(),
            )
            .output()?;
        let text = [output.stdout, output.stderr].concat();
        let told = String::from_utf8_lossy(&text).into_owned();
        Ok((output.status.code().unwrap_or(-1), told))
    }

    /// Waits until every daemon that runs serves and has warm workers for every service.
    ///
    /// # Errors
    /// Fails after 30 seconds.
    pub fn wait_ready(&self) -> Result<(), StandinError> {
        self.wait(
            "all daemons to serve with open workers",
            Duration::from_secs(30),
            |fleet| {
                let running = fleet.daemons.iter().filter(|seat| seat.process.is_some());
                let count = running.clone().count();
                running.into_iter().all(|seat| fleet.serves(seat, count))
            },
        )
    }

    fn serves(&self, seat: &DaemonSeat, count: usize) -> bool {
        let Ok(dump) = self.dump_of(seat) else {
            return false;
        };
        let up = |member: &&Value| member["up"] == true && member["standing"] == "serving";
        let members = dump["view"]["members"]
            .as_array()
            .map_or(0, |members| members.iter().filter(up).count());
        dump["view"]["standing"] == "serving"
            && members + 1 >= count
            && dump["list"].as_u64().unwrap_or_default() > 0
            && self.plan.services.iter().all(|service| {
                let workers = &dump["services"][&service.name]["desk"]["workers"];
                let known = |worker: &Value| {
                    worker["boot"].is_u64() || worker["home"] != seat.name.as_str()
                };
                self.plan.policy != "lease"
                    || workers
                        .as_array()
                        .is_some_and(|workers| workers.iter().all(known))
            })
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    /// Fails after `most`.
    pub fn wait(
        &self,
        what: &str,
        most: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), StandinError> {
        let end = Instant::now() + most;
        while !condition(self) {
            if Instant::now() > end {
                let what = what.to_owned();
                return Err(StandinError::Waited { what });
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    /// The addresses for callers of all daemons that run.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter_map(|seat| seat.process.as_ref());
        running
            .filter_map(|process| process.address("callers").ok())
            .collect()
    }

    /// A daemon's state.
    ///
    /// # Errors
    /// Fails where the daemon doesn't answer.
    pub fn dump(&self, index: usize) -> Result<Value, StandinError> {
        let seat = self.daemons.get(index);
        seat.map_or(Ok(Value::Null), |seat| self.dump_of(seat))
    }

    fn dump_of(&self, seat: &DaemonSeat) -> Result<Value, StandinError> {
        let Some(process) = &seat.process else {
            return Ok(Value::Null);
        };
        let address = process.address("operators")?;
        let response = attohttpc::get(format!("http://{address}/dump"))
            .timeout(Duration::from_secs(2))
            .send()?;
        Ok(serde_json::from_str(&response.text()?)?)
    }

    /// The states of all daemons that run.
    pub fn dumps(&self) -> Vec<Value> {
        let running = self.daemons.iter().filter(|seat| seat.process.is_some());
        running.filter_map(|seat| self.dump_of(seat).ok()).collect()
    }

    /// Kills a daemon; the platform's list keeps it until [`Self::put_list`].
    pub fn kill(&mut self, index: usize) {
        if let Some(seat) = self.daemons.get_mut(index) {
            seat.process = None;
        }
    }

    /// Sends a daemon a signal.
    pub fn signal(&self, index: usize, signal: Signal) {
        let process = self
            .daemons
            .get(index)
            .and_then(|seat| seat.process.as_ref());
        if let Some(process) = process {
            process.signal(signal);
        }
    }

    /// Asks a daemon to stop and waits; `false` where it took longer than `most`.
    pub fn stop(&mut self, index: usize, most: Duration) -> bool {
        let seat = self.daemons.get_mut(index);
        let process = seat.and_then(|seat| seat.process.take());
        process.is_none_or(|mut process| process.stop(most))
    }

    /// The names of all workers of a service.
    pub fn workers(&self, service: &str) -> Vec<String> {
        let own = self
            .workers
            .iter()
            .filter(|(_, seat)| seat.service == service);
        own.map(|(name, _)| name.clone()).collect()
    }

    /// The addresses of all workers.
    pub fn worker_addresses(&self) -> Vec<SocketAddr> {
        let address = |(name, seat): (&String, &WorkerSeat)| {
            self.upstreams.get(seat.process)?.address(name).ok()
        };
        self.workers.iter().filter_map(address).collect()
    }

    /// A worker's data centre.
    pub fn worker_centre(&self, worker: &str) -> &str {
        self.workers.get(worker).map_or("", |seat| &seat.centre)
    }

    /// Changes how a worker misbehaves.
    ///
    /// # Errors
    /// Fails where the stand-in doesn't answer.
    pub fn mood(&self, worker: &str, mood: &Mood) -> Result<(), StandinError> {
        self.control(worker, "mood", &serde_json::to_string(mood)?)
    }

    /// Lets a worker begin a new life.
    ///
    /// # Errors
    /// Fails where the stand-in doesn't answer.
    pub fn restart(&self, worker: &str) -> Result<(), StandinError> {
        self.control(worker, "restart", "")
    }

    fn control(&self, worker: &str, call: &str, body: &str) -> Result<(), StandinError> {
        let seat = self.workers.get(worker);
        let Some(process) = seat.and_then(|seat| self.upstreams.get(seat.process)) else {
            return Ok(());
        };
        let address = process.address("control")?;
        attohttpc::post(format!("http://{address}/{call}?worker={worker}"))
            .text(body.to_owned())
            .send()?
            .error_for_status()?;
        Ok(())
    }

    /// What every worker has counted.
    ///
    /// # Errors
    /// Fails where a stand-in doesn't answer.
    pub fn counts(&self) -> Result<BTreeMap<String, Count>, StandinError> {
        let mut all = BTreeMap::new();
        for process in &self.upstreams {
            let address = process.address("control")?;
            let response = attohttpc::get(format!("http://{address}/counts")).send()?;
            let counts: BTreeMap<String, Count> = serde_json::from_str(&response.text()?)?;
            all.extend(counts);
        }
        Ok(all)
    }

    /// How often each idempotency key was run, over all workers.
    ///
    /// # Errors
    /// Fails where a stand-in doesn't answer.
    pub fn runs(&self) -> Result<BTreeMap<String, u64>, StandinError> {
        let mut runs = BTreeMap::new();
        for count in self.counts()?.into_values() {
            for (key, times) in count.keys {
                *runs.entry(key).or_default() += times;
            }
        }
        Ok(runs)
    }

    /// Sets the platform's faults.
    ///
    /// # Errors
    /// Fails where the stand-in doesn't answer.
    pub fn faults(&self, faults: &Faults) -> Result<(), StandinError> {
        self.admin("faults", &serde_json::to_string(faults)?)
    }

    /// The platform's counts.
    ///
    /// # Errors
    /// Fails where the stand-in doesn't answer.
    pub fn platform_stats(&self) -> Result<Stats, StandinError> {
        let address = self.platform.address("platform")?;
        let response = attohttpc::get(format!("http://{address}/admin/stats")).send()?;
        Ok(serde_json::from_str(&response.text()?)?)
    }

    /// The platform's address.
    ///
    /// # Errors
    /// Fails where the stand-in named none.
    pub fn platform(&self) -> Result<SocketAddr, StandinError> {
        self.platform.address("platform")
    }

    fn admin(&self, call: &str, body: &str) -> Result<(), StandinError> {
        let address = self.platform.address("platform")?;
        attohttpc::post(format!("http://{address}/admin/{call}"))
            .text(body.to_owned())
            .send()?
            .error_for_status()?;
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        self.upstreams.clear();
        self.platform.kill();
        if std::env::var_os("ANVILFERRY_KEEP").is_none() {
            drop(fs::remove_dir_all(&self.dir));
        }
    }
}
