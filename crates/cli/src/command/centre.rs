use {
    crate::{
        context::Context,
        error::CliError,
        session::{Session, Written},
    },
    platform::StoreCall,
    unit::Name,
};

/// Which way a data centre goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Way {
    /// Give its workers work again.
    In,
    /// Give its workers no new work.
    Out,
}

/// Takes a data centre out, or brings it in.
#[derive(Debug, clap::Args)]
pub(crate) struct Centre {
    /// Out or in.
    #[arg(value_enum)]
    way: Way,

    /// The data centre.
    name: String,
}

impl Centre {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let session = context.session()?;
        let name: Name = self.name.as_str().into();
        let changed = match self.way {
            Way::In => take_back(&session, &name)?,
            Way::Out => take_out(&session, &name)?,
        };
        let way = if self.way == Way::Out { "out" } else { "in" };
        let value = serde_json::json!({"centre": name, "way": way, "changed": changed});
        context.show(&value, || {
            let already = if changed { "" } else { " already" };
            format!("data centre {name} is{already} {way}\n")
        })
    }
}

fn is_out(session: &Session, name: &Name) -> Result<bool, CliError> {
    let out = session.evacuations()?;
    Ok(out.iter().any(|entry| entry.value == *name))
}

fn take_out(session: &Session, name: &Name) -> Result<bool, CliError> {
    match session.write(&StoreCall::Evacuate(name.clone()))? {
        Written::Done => Ok(true),
        Written::Conflict => Ok(false),
        Written::Lost | Written::NotFound if is_out(session, name)? => Ok(true),
        Written::Lost | Written::NotFound => Err(CliError::Unknown(format!(
            "data centre {name} is not out yet"
        ))),
    }
}

fn take_back(session: &Session, name: &Name) -> Result<bool, CliError> {
    let out = session.evacuations()?;
    let Some(entry) = out.iter().find(|entry| entry.value == *name) else {
        return Ok(false);
    };
    match session.write(&StoreCall::EndEvacuation(name.clone(), entry.rev))? {
        Written::Done | Written::NotFound => Ok(true),
        Written::Conflict => {
            let told = format!("somebody else changed data centre {name} meanwhile");
            Err(CliError::Conflict(told))
        }
        Written::Lost if !is_out(session, name)? => Ok(true),
        Written::Lost => Err(CliError::Unknown(format!(
            "data centre {name} is still out"
        ))),
    }
}
