use {
    crate::{arguments::Arguments, error::CliError},
    plat::Client,
    serde::Serialize,
    std::net::SocketAddr,
    unit::Span,
};

const CALLS: u32 = 100;
const CALL: Span = Span::secs(2);

/// What every command works with.
pub(crate) struct Context {
    json: bool,
    platform: Vec<SocketAddr>,
    /// How long to try.
    pub(crate) timeout: Span,
}

impl Context {
    pub(crate) fn new(arguments: &Arguments) -> Self {
        Self {
            json: arguments.json,
            platform: arguments.platform.clone(),
            timeout: Span::secs(arguments.timeout),
        }
    }

    /// A client of the platform.
    pub(crate) fn client(&self) -> Result<Client, CliError> {
        if self.platform.is_empty() {
            let told = "no platform address; give --platform or set ANVILFERRY_PLATFORM";
            return Err(CliError::Refused(told.to_owned()));
        }
        Ok(Client::new(self.platform.clone(), CALL, CALLS))
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
