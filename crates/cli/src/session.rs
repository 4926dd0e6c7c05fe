use {
    crate::{error::CliError, http::ask},
    platform::{MemberEntry, Object, StoreCall, StoreReply, decode_reply, encode_call},
    site::{Config, Departure, ObjectState, Rev, Topic, Versioned},
    std::{
        net::SocketAddrV4,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    unit::Name,
};

/// How long one call may take.
const CALL: Duration = Duration::from_secs(2);
/// The pause before a call that was refused or lost is made again.
const PAUSE: Duration = Duration::from_millis(200);

/// Calls to the platform's store on behalf of an operator.
pub(crate) struct Session {
    address: SocketAddrV4,
    end: Instant,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// The object isn't as the call supposed.
    Conflict,
    /// It is done.
    Done,
    /// There was no answer, so it may have been done, now or later.
    Lost,
    /// There is no such object.
    NotFound,
}

impl Session {
    pub(crate) fn new(address: SocketAddrV4, span: Duration) -> Self {
        Self {
            address,
            end: Instant::now() + span,
        }
    }

    /// Whether there is time for another try.
    pub(crate) fn goes_on(&self) -> bool {
        Instant::now() < self.end
    }

    /// The configuration in the store.
    pub(crate) fn config(&self) -> Result<Option<Versioned<Arc<Config>>>, CliError> {
        let mut found = None;
        for object in self.list(Topic::Config)? {
            if let ObjectState::Config(config) = object.value {
                let rev = object.rev;
                found = Some(Versioned { rev, value: config });
            }
        }
        Ok(found)
    }

    /// The evacuated data centres.
    pub(crate) fn evacuations(&self) -> Result<Vec<Versioned<Name>>, CliError> {
        let items = self.list(Topic::Evacuations)?.into_iter();
        let name = |item: Versioned<ObjectState>| match item.value {
            ObjectState::Evacuated(value) => Some(Versioned {
                rev: item.rev,
                value,
            }),
            _ => None,
        };
        Ok(items.filter_map(name).collect())
    }

    /// The registered daemons.
    pub(crate) fn members(&self) -> Result<Vec<MemberEntry>, CliError> {
        let mut members = Vec::new();
        let mut after = None;
        loop {
            let (objects, next) = self.read_page(&StoreCall::ListMembers {
                after,
                stale_ok: false,
            })?;
            members.extend(objects.into_iter().filter_map(|object| match object {
                Object::Member(_, entry) => Some(entry),
                _ => None,
            }));
            if next.is_none() {
                return Ok(members);
            }
            after = next;
        }
    }

    /// Makes a change once. Where the store refuses it, nothing was done and it is made again.
    pub(crate) fn write(&self, call: &StoreCall) -> Result<Written, CliError> {
        loop {
            let response = match ask(self.address, &encode_call(call, &self.host()), CALL) {
                Ok(response) => response,
                Err(CliError::Unreachable { .. }) => return Ok(Written::Lost),
                Err(error) => return Err(error),
            };
            match decode_reply(call, &response, Departure::Left)? {
                StoreReply::Conflict => return Ok(Written::Conflict),
                StoreReply::NotFound => return Ok(Written::NotFound),
                StoreReply::Refused(_) if self.goes_on() => thread::sleep(PAUSE),
                StoreReply::Refused(status) => {
                    let told = format!("the store refuses the change with {status}");
                    return Err(CliError::Refused(told));
                }
                _ => return Ok(Written::Done),
            }
        }
    }

    fn host(&self) -> String {
        self.address.to_string()
    }

    fn list(&self, topic: Topic) -> Result<Vec<Versioned<ObjectState>>, CliError> {
        let mut items = Vec::new();
        let mut after = None;
        loop {
            let (objects, next) = self.read_page(&StoreCall::List { after, topic })?;
            items.extend(objects.into_iter().filter_map(|object| match object {
                Object::Topic(item) => Some(item),
                _ => None,
            }));
            if next.is_none() {
                return Ok(items);
            }
            after = next;
        }
    }

    /// Reads a page, again while the store refuses or can't be reached.
    fn read_page(&self, call: &StoreCall) -> Result<(Vec<Object>, Option<Name>), CliError> {
        loop {
            let told = match ask(self.address, &encode_call(call, &self.host()), CALL) {
                Ok(response) => match decode_reply(call, &response, Departure::Left)? {
                    StoreReply::Page { next, objects, .. } => return Ok((objects, next)),
                    other => CliError::Refused(format!("the store answered {other:?}")),
                },
                Err(error) => error,
            };
            if !self.goes_on() {
                return Err(told);
            }
            thread::sleep(PAUSE);
        }
    }
}

/// The revision and version that the next configuration replaces.
pub(crate) fn base(known: &Versioned<Arc<Config>>) -> Versioned<u64> {
    let rev: Rev = known.rev;
    Versioned {
        rev,
        value: known.value.version,
    }
}
