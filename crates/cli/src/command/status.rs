use {
    crate::{context::Context, error::CliError, http::page, session::Session},
    platform::MemberEntry,
    serde::Serialize,
    serde_json::Value,
    std::{net::SocketAddrV4, thread, time::Duration},
    unit::Name,
};

const ASK: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(200);

/// Shows what is in force at each daemon.
#[derive(Debug, clap::Args)]
pub(crate) struct Status {}

/// A daemon as its own state shows it.
#[derive(Debug, Serialize)]
struct Row {
    age: Option<u64>,
    centre: Name,
    config: Option<u64>,
    name: Name,
    stage: String,
}

impl Status {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let session = context.session()?;
        let published = session.config()?.map(|config| config.value.version);
        let out = session.evacuations()?;
        let out: Vec<Name> = out.into_iter().map(|entry| entry.value).collect();
        let rows = rows(&session)?;
        let behind = rows.iter().any(|row| row.config != published);
        let value = serde_json::json!({"published": published, "out": out, "daemons": rows});
        context.show(&value, || table(published, &out, &rows))?;
        if behind {
            let told = "some daemons don't have the published version in force, or can't be asked";
            return Err(CliError::Refused(told.to_owned()));
        }
        Ok(())
    }
}

/// Waits until every registered daemon that can be asked has a version in force.
pub(crate) fn wait_in_force(
    context: &Context,
    session: &Session,
    version: u64,
) -> Result<(), CliError> {
    loop {
        let rows = rows(session)?;
        let behind: Vec<String> = rows
            .iter()
            .filter(|row| row.config.is_some_and(|known| known < version))
            .map(|row| row.name.to_string())
            .collect();
        if behind.is_empty() {
            return Ok(());
        }
        if !session.goes_on() {
            let told = format!(
                "published, but after {} s not in force at {}",
                context.timeout.as_secs(),
                behind.join(", ")
            );
            return Err(CliError::Refused(told));
        }
        thread::sleep(PAUSE);
    }
}

fn rows(session: &Session) -> Result<Vec<Row>, CliError> {
    let members = session.members()?;
    Ok(members.into_iter().map(row).collect())
}

fn row(member: MemberEntry) -> Row {
    let address = member
        .operator_port
        .map(|port| SocketAddrV4::new(member.ip, port));
    let told = address.map(|address| page(address, "/dump", ASK));
    let (state, stage) = match told {
        None => (Value::Null, "has no address for operators".to_owned()),
        Some(Err(error)) => (Value::Null, error.to_string()),
        Some(Ok(text)) => {
            // A page that is no JSON shows as a daemon without a state.
            let state: Value = serde_json::from_str(&text).unwrap_or_default();
            let stage = state["stage"].as_str().unwrap_or("unknown").to_owned();
            (state, stage)
        }
    };
    Row {
        age: state["age_ms"].as_u64(),
        centre: member.centre,
        config: state["config"].as_u64(),
        name: member.name,
        stage,
    }
}

fn table(published: Option<u64>, out: &[Name], rows: &[Row]) -> String {
    let version = |version: Option<u64>| version.map_or("-".to_owned(), |v| v.to_string());
    let mut text = format!("published: {}\n", version(published));
    if !out.is_empty() {
        text += &format!("data centres out: {}\n", out.join(", "));
    }
    for row in rows {
        let age = version(row.age);
        let config = version(row.config);
        text += &format!(
            "{:<28} {:<14} version {config:<8} known up to {age} ms ago  {}\n",
            row.name, row.centre, row.stage
        );
    }
    text
}
