use {std::fmt, std::str::FromStr, unit::Name};

/// Binds requests with an idempotency key to one life of one daemon.
///
/// Written as `DAEMON.LIFE.EXPIRY`, the life in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The daemon.
    pub daemon: Name,
    /// When it ends, in milliseconds since the Unix epoch by that daemon's clock.
    pub expiry: u64,
    /// The daemon's life: a random number chosen at its start.
    pub life: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}.{}", self.daemon, self.life, self.expiry)
    }
}

impl FromStr for Ticket {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '.');
        let daemon = parts.next().filter(|part| !part.is_empty()).ok_or(())?;
        let life = parts.next().ok_or(())?;
        let expiry = parts.next().ok_or(())?;
        Ok(Self {
            daemon: daemon.into(),
            expiry: expiry.parse().map_err(drop)?,
            life: u64::from_str_radix(life, 16).map_err(drop)?,
        })
    }
}
