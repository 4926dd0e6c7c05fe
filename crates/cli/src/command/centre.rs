use {
    crate::{
        context::Context,
        error::CliError,
        store_session::{StoreSession, WriteOutcome},
    },
    platform::StoreCall,
    unit::Name,
};

/// Whether a data centre is brought into use or taken out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Direction {
    /// Give its workers work again.
    In,
    /// Give its workers no new work.
    Out,
}

/// Starts or ends the evacuation of a data centre.
#[derive(Debug, clap::Args)]
pub(crate) struct Centre {
    /// Out or in.
    #[arg(value_enum)]
    way: Direction,

    /// The data centre.
    name: String,
}

impl Centre {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let store = context.store_session()?;
        let name: Name = self.name.as_str().into();
        let changed = match self.way {
            Direction::In => end_evacuation(&store, &name)?,
            Direction::Out => evacuate(&store, &name)?,
        };
        let way = if self.way == Direction::Out {
            "out"
        } else {
            "in"
        };
        let value = serde_json::json!({"centre": name, "way": way, "changed": changed});
        context.print(&value, || {
            let already = if changed { "" } else { " already" };
            format!("data centre {name} is{already} {way}\n")
        })
    }
}

fn is_evacuated(store: &StoreSession, name: &Name) -> Result<bool, CliError> {
    let evacuations = store.evacuations()?;
    Ok(evacuations.iter().any(|entry| entry.value == *name))
}

/// Evacuates a data centre. Returns false if it was evacuated already. If the store's response is
/// lost, an evacuation that is found afterwards counts as a change.
fn evacuate(store: &StoreSession, name: &Name) -> Result<bool, CliError> {
    match store.write(&StoreCall::Evacuate(name.clone()))? {
        WriteOutcome::Done => Ok(true),
        WriteOutcome::Conflict => Ok(false),
        WriteOutcome::NoResponse | WriteOutcome::NotFound if is_evacuated(store, name)? => Ok(true),
        WriteOutcome::NoResponse | WriteOutcome::NotFound => Err(CliError::UnknownOutcome(
            format!("data centre {name} is not evacuated yet"),
        )),
    }
}

/// Ends the evacuation of a data centre. Returns whether it was evacuated.
fn end_evacuation(store: &StoreSession, name: &Name) -> Result<bool, CliError> {
    let evacuations = store.evacuations()?;
    let Some(entry) = evacuations.iter().find(|entry| entry.value == *name) else {
        return Ok(false);
    };
    match store.write(&StoreCall::EndEvacuation(name.clone(), entry.rev))? {
        WriteOutcome::Done | WriteOutcome::NotFound => Ok(true),
        WriteOutcome::Conflict => {
            let message = format!(
                "another operator changed data centre {name}; check with 'anvilferry status'"
            );
            Err(CliError::Conflict(message))
        }
        WriteOutcome::NoResponse if !is_evacuated(store, name)? => Ok(true),
        WriteOutcome::NoResponse => Err(CliError::UnknownOutcome(format!(
            "data centre {name} is still evacuated"
        ))),
    }
}
