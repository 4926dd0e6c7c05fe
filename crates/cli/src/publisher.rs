use {
    crate::{context::Context, error::CliError, fleet},
    conf::{Change, Edit, Generation},
    fastrand::Rng,
    plat::{Client, PlatError, Publish, PublishAction, PublishEvent, ROOT, Site, Verdict},
    serde_json::json,
    std::{
        collections::BTreeMap,
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    unit::Clock,
};

/// A change that an operator asked for.
pub(crate) struct Order {
    pub(crate) by: String,
    pub(crate) edit: Edit,
    /// The texts of the objects that the edit names.
    pub(crate) files: BTreeMap<String, String>,
    pub(crate) id: String,
    /// The generation that the operator had looked at.
    pub(crate) seen: Option<Generation>,
    /// Whether to wait until every daemon has it in force.
    pub(crate) wait: bool,
}

impl Order {
    /// An order without files.
    pub(crate) fn plain(by: &str, edit: Edit, wait: bool) -> Self {
        Self {
            by: by.to_owned(),
            edit,
            files: BTreeMap::new(),
            id: new_id(),
            seen: None,
            wait,
        }
    }
}

/// A new change's id.
pub(crate) fn new_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// Publishes a change and says how it ended.
pub(crate) fn publish(context: &Context, order: &Order) -> Result<(), CliError> {
    let client = context.client()?;
    let generation = match drive(context, &client, order)? {
        Verdict::Conflict(conflict) => return Err(conflict.into()),
        Verdict::Done(generation) => generation,
        Verdict::Failed => {
            let told = "the platform could not be reached; nothing was published, try again";
            return Err(CliError::Refused(told.to_owned()));
        }
        Verdict::Unknown => {
            let told = format!(
                "the platform's answer was lost; look for change {} with `anvilferry history`",
                order.id
            );
            return Err(CliError::Unknown(told));
        }
    };
    let value = json!({"change": order.id, "generation": generation});
    context.show(&value, || {
        format!(
            "published change {} as generation {}\n",
            order.id, generation.0
        )
    })?;
    if order.wait {
        fleet::wait_in_force(context, &client, generation)?;
    }
    Ok(())
}

fn drive(context: &Context, client: &Client, order: &Order) -> Result<Verdict, CliError> {
    let clock = Clock::start();
    let mut rng = Rng::new();
    let end = clock.now() + context.timeout;
    let objects = order.files.keys().cloned().collect();
    let change = Change {
        at: unix_millis(),
        by: order.by.clone(),
        generation: 0,
        id: order.id.clone(),
        touched: order.edit.touched(),
    };
    let mut core = Publish::new(order.edit.clone(), change, objects, order.seen, end);
    let mut event = PublishEvent::Wake;
    loop {
        event = match core.step(clock.now(), event, &mut rng) {
            PublishAction::Finish(verdict) => return Ok(verdict),
            PublishAction::Pause(span) => {
                thread::sleep(Duration::from(span));
                PublishEvent::Wake
            }
            PublishAction::ReadRoot => match Site(client).root() {
                Ok((generation, root)) => PublishEvent::Root(generation, root),
                Err(error) => failure(&error),
            },
            PublishAction::Store(object) => store(client, order, &object),
            PublishAction::WriteRoot { base, root } => {
                let text = serde_json::to_string(&root)?;
                match client.write(ROOT, base.0, &text) {
                    Ok(version) => PublishEvent::Wrote(Generation(version)),
                    Err(PlatError::Conflict { .. }) => PublishEvent::Beaten,
                    Err(error) => failure(&error),
                }
            }
        };
    }
}

/// Creates a file's object; one that is there already holds the same text.
fn store(client: &Client, order: &Order, object: &str) -> PublishEvent {
    let text = order.files.get(object).map_or("", String::as_str);
    match client.write(object, 0, text) {
        Ok(version) => PublishEvent::Wrote(Generation(version)),
        Err(PlatError::Conflict { version }) => PublishEvent::Wrote(Generation(version)),
        Err(error) => failure(&error),
    }
}

fn failure(error: &PlatError) -> PublishEvent {
    match error {
        PlatError::Lost { .. } => PublishEvent::Lost,
        _ => PublishEvent::Refused,
    }
}

fn unix_millis() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or_default()
}
