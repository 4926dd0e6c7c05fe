use {
    crate::{context::Context, error::CliError, http::fetch_page, store_session::StoreSession},
    platform::MemberEntry,
    serde::Serialize,
    serde_json::Value,
    std::{net::SocketAddrV4, thread, time::Duration},
    unit::Name,
};

/// The time limit for asking one daemon.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which daemons are asked again.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Shows the version that each registered daemon has in force.
#[derive(Debug, clap::Args)]
pub(crate) struct Status {}

/// The state of a daemon. The names of the fields are part of the JSON output.
#[derive(Debug, Serialize)]
struct DaemonStatus {
    /// The accounts that are not in force as they are configured, if the daemon reports any.
    accounts: Vec<String>,
    /// The staleness of the daemon's view of the store in milliseconds, if the daemon reports it.
    age: Option<u64>,
    centre: Name,
    /// The version in force, if the daemon reports one.
    config: Option<u64>,
    name: Name,
    /// The routes that the daemon can't serve as they are configured, if it reports any.
    problems: Vec<String>,
    /// The rollouts that the daemon knows, each in a line.
    rollouts: Vec<String>,
    /// The daemon's stage, or why it isn't known.
    stage: String,
}

impl Status {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let store = context.store_session()?;
        let published = store.config()?.map(|config| config.value.version);
        let evacuations = store.evacuations()?;
        let evacuated: Vec<Name> = evacuations.into_iter().map(|entry| entry.value).collect();
        let daemons = daemon_statuses(&store)?;
        let behind = daemons.iter().any(|daemon| daemon.config != published);
        let value =
            serde_json::json!({"published": published, "out": evacuated, "daemons": daemons});
        context.print(&value, || format_text(published, &evacuated, &daemons))?;
        if behind {
            let message = "some daemons don't have the published version in force, \
                 or can't be asked; check their stage and address";
            return Err(CliError::Failed(message.to_owned()));
        }
        Ok(())
    }
}

/// Waits until every registered daemon that can be asked has `version` or a later one in force.
/// Fails when the session's deadline passes first, or if the store has lost the version.
pub(crate) fn wait_in_force(
    context: &Context,
    store: &StoreSession,
    version: u64,
) -> Result<(), CliError> {
    loop {
        let daemons = daemon_statuses(store)?;
        check_kept(store, version)?;
        let behind: Vec<String> = daemons
            .iter()
            .filter(|daemon| daemon.config.is_some_and(|current| current < version))
            .map(|daemon| daemon.name.to_string())
            .collect();
        if behind.is_empty() {
            return Ok(());
        }
        if !store.has_time() {
            let message = format!(
                "version {version} is published, but after {} s not in force at {}; \
                 check with 'anvilferry status'",
                context.timeout.as_secs(),
                behind.join(", ")
            );
            return Err(CliError::Failed(message));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Fails if the store has an older configuration than `version`, which it had acknowledged.
fn check_kept(store: &StoreSession, version: u64) -> Result<(), CliError> {
    let stored = store.config()?.map(|config| config.value.version);
    if stored >= Some(version) {
        return Ok(());
    }
    let message = format!(
        "version {version} was published, but the store has lost it: it came back from an older \
         copy; publish again"
    );
    Err(CliError::Failed(message))
}

fn daemon_statuses(store: &StoreSession) -> Result<Vec<DaemonStatus>, CliError> {
    let members = store.members()?;
    Ok(members.into_iter().map(daemon_status).collect())
}

/// Asks a registered daemon for its state.
fn daemon_status(member: MemberEntry) -> DaemonStatus {
    let address = member
        .operator_port
        .map(|port| SocketAddrV4::new(member.ip, port));
    let response = address.map(|address| fetch_page(address, "/dump", FETCH_TIMEOUT));
    let (state, stage) = match response {
        None => (Value::Null, "has no address for operators".to_owned()),
        Some(Err(error)) => (Value::Null, error.to_string()),
        Some(Ok(text)) => {
            // A response that is not JSON counts as a state without any fields.
            let state: Value = serde_json::from_str(&text).unwrap_or_default();
            let stage = state["stage"].as_str().unwrap_or("unknown").to_owned();
            (state, stage)
        }
    };
    DaemonStatus {
        accounts: problem_texts("account", &state["accounts"]["problems"]),
        age: state["age_ms"].as_u64(),
        centre: member.centre,
        config: state["config"].as_u64(),
        name: member.name,
        problems: problem_texts("route", &state["problems"]),
        rollouts: rollout_texts(&state["rollouts"]),
        stage,
    }
}

/// The problems with routes or accounts in a daemon's state as `name: reason`; `kind` is the field
/// that has the name.
fn problem_texts(kind: &str, problems: &Value) -> Vec<String> {
    let problems = problems.as_array().map_or(&[][..], Vec::as_slice);
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    problems
        .iter()
        .map(|problem| format!("{}: {}", text(&problem[kind]), text(&problem["reason"])))
        .collect()
}

/// The rollouts in a daemon's state, with what the fleet has counted of their versions.
fn rollout_texts(rollouts: &Value) -> Vec<String> {
    let rollouts = rollouts.as_array().map_or(&[][..], Vec::as_slice);
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let counts = |value: &Value| {
        let number = |field: &str| value[field].as_u64().unwrap_or_default();
        let [requests, failed, slow] = ["requests", "failed", "slow"].map(number);
        format!("{requests} requests, {failed} failed, {slow} slow")
    };
    let line = |value: &Value| {
        format!(
            "{} to {}: {}, new {}; old {}",
            text(&value["service"]),
            text(&value["target"]),
            text(&value["phase"]),
            counts(&value["new"]),
            counts(&value["old"])
        )
    };
    rollouts.iter().map(line).collect()
}

/// The text output: the published version, the evacuated data centres and a line for each daemon.
fn format_text(published: Option<u64>, evacuated: &[Name], daemons: &[DaemonStatus]) -> String {
    let or_dash = |number: Option<u64>| number.map_or("-".to_owned(), |number| number.to_string());
    let mut text = format!("published: {}\n", or_dash(published));
    if !evacuated.is_empty() {
        text += &format!("data centres out: {}\n", evacuated.join(", "));
    }
    for daemon in daemons {
        let age = or_dash(daemon.age);
        let config = or_dash(daemon.config);
        text += &format!(
            "{:<28} {:<14} version {config:<8} known up to {age} ms ago  {}\n",
            daemon.name, daemon.centre, daemon.stage
        );
        for problem in &daemon.problems {
            text += &format!("    route {problem}\n");
        }
        for problem in &daemon.accounts {
            text += &format!("    account {problem}\n");
        }
        for rollout in &daemon.rollouts {
            text += &format!("    rollout {rollout}\n");
        }
    }
    text
}
