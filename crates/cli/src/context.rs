use {
    crate::{arguments::Arguments, error::CliError, store_session::StoreSession},
    serde::Serialize,
    std::{net::SocketAddrV4, time::Duration},
};

/// The global arguments, as every subcommand gets them.
pub(crate) struct Context {
    /// Whether output is JSON in place of text.
    json: bool,
    /// The address of the platform's store; not every subcommand needs it.
    store: Option<SocketAddrV4>,
    /// How long calls to the store are retried in one session, and the time limit for one exchange
    /// with a daemon.
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

    /// A session with the platform's store, which retries calls from now until the timeout. Fails
    /// if no address of the store was given.
    pub(crate) fn store_session(&self) -> Result<StoreSession, CliError> {
        match self.store {
            Some(address) => Ok(StoreSession::new(address, self.timeout)),
            None => {
                let message = "no store address; give --store or set ANVILFERRY_STORE";
                Err(CliError::Failed(message.to_owned()))
            }
        }
    }

    /// Prints `value` as JSON if the arguments ask for JSON, else `text`.
    pub(crate) fn print(
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
