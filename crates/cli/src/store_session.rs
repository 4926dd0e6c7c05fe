use {
    crate::{error::CliError, http::send_request},
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

/// The time limit of one call, without its retries.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Blocking calls to the platform's store. After the deadline, which they share, none is retried.
pub(crate) struct StoreSession {
    address: SocketAddrV4,
    deadline: Instant,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The object exists already, or its revision is not the expected one; nothing was changed.
    Conflict,
    /// The change was made.
    Done,
    /// No response arrived: the change may have been made, or may still be made later.
    NoResponse,
    /// The object doesn't exist.
    NotFound,
}

impl StoreSession {
    pub(crate) fn new(address: SocketAddrV4, timeout: Duration) -> Self {
        Self {
            address,
            deadline: Instant::now() + timeout,
        }
    }

    /// Whether the deadline has not passed, so that a call may be made again.
    pub(crate) fn has_time(&self) -> bool {
        Instant::now() < self.deadline
    }

    /// The published configuration.
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

    /// The evacuated data centres, each with the revision of its evacuation.
    pub(crate) fn evacuations(&self) -> Result<Vec<Versioned<Name>>, CliError> {
        let objects = self.list(Topic::Evacuations)?.into_iter();
        let evacuated = |object: Versioned<ObjectState>| match object.value {
            ObjectState::Evacuated(value) => Some(Versioned {
                rev: object.rev,
                value,
            }),
            _ => None,
        };
        Ok(objects.filter_map(evacuated).collect())
    }

    /// The entries of all registered daemons.
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

    /// Makes a change at most once. A refused call has changed nothing, so it is retried until the
    /// deadline; a call without a response is not.
    pub(crate) fn write(&self, call: &StoreCall) -> Result<WriteOutcome, CliError> {
        loop {
            let response =
                match send_request(self.address, &encode_call(call, &self.host()), CALL_TIMEOUT) {
                    Ok(response) => response,
                    Err(CliError::Unreachable { .. }) => return Ok(WriteOutcome::NoResponse),
                    Err(error) => return Err(error),
                };
            match decode_reply(call, &response, Departure::Left)? {
                StoreReply::Conflict => return Ok(WriteOutcome::Conflict),
                StoreReply::NotFound => return Ok(WriteOutcome::NotFound),
                StoreReply::Refused(_) if self.has_time() => thread::sleep(RETRY_DELAY),
                StoreReply::Refused(status) => {
                    let message = format!(
                        "the store refused the change with status {status}; try again later"
                    );
                    return Err(CliError::Failed(message));
                }
                _ => return Ok(WriteOutcome::Done),
            }
        }
    }

    /// The value of the Host header.
    fn host(&self) -> String {
        self.address.to_string()
    }

    /// Reads all objects of a topic, page by page.
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

    /// Reads a page. Returns its objects and the name after which the next page begins. Retries
    /// until the deadline if the store refuses or can't be reached.
    fn read_page(&self, call: &StoreCall) -> Result<(Vec<Object>, Option<Name>), CliError> {
        loop {
            let error =
                match send_request(self.address, &encode_call(call, &self.host()), CALL_TIMEOUT) {
                    Ok(response) => match decode_reply(call, &response, Departure::Left)? {
                        StoreReply::Page { next, objects, .. } => return Ok((objects, next)),
                        other => CliError::Failed(format!(
                            "the store responded with {other:?} in place of a list; try again later"
                        )),
                    },
                    Err(error) => error,
                };
            if !self.has_time() {
                return Err(error);
            }
            thread::sleep(RETRY_DELAY);
        }
    }
}

/// The revision and the version that a new configuration replaces.
pub(crate) fn base_version(current: &Versioned<Arc<Config>>) -> Versioned<u64> {
    let rev: Rev = current.rev;
    Versioned {
        rev,
        value: current.value.version,
    }
}
