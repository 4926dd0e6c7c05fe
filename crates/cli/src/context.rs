use {
    crate::{arguments::Arguments, error::CliError, session::Session},
    serde::Serialize,
    std::{net::SocketAddrV4, time::Duration},
};

/// What every command works with.
pub(crate) struct Context {
    json: bool,
    store: Option<SocketAddrV4>,
    /// How long to try.
    pub(crate) timeout: Duration,
}

impl Context {
    pub(crate) fn new(arguments: &Arguments) -> Self {
        Self {
            json: arguments.json,
            store: arguments.store,
            timeout: Duration::from_secs(arguments.timeout),
        }
    }

    /// A session with the platform's store.
    pub(crate) fn session(&self) -> Result<Session, CliError> {
        match self.store {
            Some(address) => Ok(Session::new(address, self.timeout)),
            None => {
                let told = "no store address; give --store or set ANVILFERRY_STORE";
                Err(CliError::Refused(told.to_owned()))
            }
        }
    }

    /// Prints `value` as JSON, or `text` for people.
    pub(crate) fn show(
        &self,
        value: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> Result<(), CliError> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            print!("{}", text());
        }
        Ok(())
    }
}
