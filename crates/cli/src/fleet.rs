use {
    crate::{context::Context, error::CliError},
    conf::{Generation, Role, Vm},
    plat::Client,
    serde::Serialize,
    serde_json::Value,
    std::{net::SocketAddr, thread, time::Duration},
    unit::{Clock, Name, Span},
};

const ASK: Duration = Duration::from_millis(800);
const POLL: Duration = Duration::from_millis(100);

/// What one daemon says of itself.
#[derive(Debug, Serialize)]
pub(crate) struct DaemonState {
    /// Its data centre.
    pub(crate) data_centre: Name,
    /// What it has in force; `None` where it doesn't answer.
    pub(crate) generation: Option<u64>,
    /// Whether it refuses work since it can reach nobody.
    pub(crate) isolated: bool,
    /// Its name.
    pub(crate) name: Name,
    /// A newer generation that it refused as not valid.
    pub(crate) refused: Option<u64>,
    /// Where it is in its life.
    pub(crate) standing: String,
}

/// Asks a daemon for something at its operators' address.
pub(crate) fn ask(address: SocketAddr, path: &str) -> Result<Value, CliError> {
    let response = attohttpc::get(format!("http://{address}{path}"))
        .connect_timeout(ASK)
        .timeout(ASK)
        .send()?;
    let good = response.is_success();
    let text = response.text()?;
    if !good {
        let told = format!("the daemon refused: {}; check the request id", text.trim());
        return Err(CliError::Refused(told));
    }
    Ok(serde_json::from_str(&text)?)
}

/// The daemons that the platform lists.
pub(crate) fn listed(client: &Client) -> Result<Vec<Vm>, CliError> {
    let list = client.vms(0, Span::ZERO)?.unwrap_or_default();
    let entry = |vm: &Vm| matches!(vm.role, Role::Entry { .. });
    Ok(list.vms.into_iter().filter(entry).collect())
}

/// Asks every daemon for its state, all at once.
pub(crate) fn states(vms: &[Vm]) -> Vec<DaemonState> {
    thread::scope(|scope| {
        let asked: Vec<_> = vms.iter().map(|vm| scope.spawn(|| state(vm))).collect();
        asked
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    })
}

fn state(vm: &Vm) -> DaemonState {
    let dump = match vm.role {
        Role::Entry { operators, .. } => ask(operators, "/dump").unwrap_or_default(),
        Role::Upstream { .. } => Value::Null,
    };
    let standing = dump["view"]["standing"].as_str().unwrap_or("silent");
    DaemonState {
        data_centre: vm.centre.clone(),
        generation: dump["generation"].as_u64(),
        isolated: dump["isolated"].as_bool().unwrap_or_default(),
        name: vm.name.clone(),
        refused: dump["refused_generation"].as_u64(),
        standing: standing.to_owned(),
    }
}

/// Waits until every listed daemon has a generation in force, and shows which are missing.
pub(crate) fn wait_in_force(
    context: &Context,
    client: &Client,
    generation: Generation,
) -> Result<(), CliError> {
    let clock = Clock::start();
    let end = clock.now() + context.timeout;
    let mut shown = String::new();
    loop {
        let vms = listed(client)?;
        let all = states(&vms);
        let has = |state: &&DaemonState| state.generation >= Some(generation.0);
        let count = all.iter().filter(has).count();
        let missing: Vec<&str> = all
            .iter()
            .filter(|state| !has(state))
            .map(|state| &*state.name)
            .collect();
        let line = format!(
            "in force at {count} of {}; waiting for: {}",
            all.len(),
            missing.join(" ")
        );
        if missing.is_empty() {
            eprintln!("in force at all {count} daemons");
            return Ok(());
        }
        if line != shown {
            eprintln!("{line}");
            shown = line;
        }
        if clock.now() >= end {
            let told = format!("published, but not yet in force at: {}", missing.join(" "));
            return Err(CliError::Refused(told));
        }
        thread::sleep(POLL);
    }
}
