use {
    crate::{Object, PlatError},
    attohttpc::{Method, RequestBuilder, Response},
    conf::{OBJECT_LIMIT, VmList},
    parking_lot::Mutex,
    serde::de::DeserializeOwned,
    std::{
        io::Read,
        net::SocketAddr,
        sync::atomic::{AtomicU64, AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    unit::Span,
};

const LIST_LIMIT: u64 = 8 << 20;

/// Calls made to the platform since the client was made.
#[derive(Debug, Default)]
pub struct Counts {
    /// Calls that failed, conflicts aside.
    pub failed: AtomicU64,
    /// All calls.
    pub made: AtomicU64,
    /// Calls that the client's own budget held back.
    pub spent: AtomicU64,
}

/// A client of the platform's object API.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    /// Calls left in the present second, and when that second began.
    budget: Mutex<(u32, Instant)>,
    calls: u32,
    counts: Counts,
    /// The address that answered last.
    current: AtomicUsize,
    timeout: Duration,
}

impl Client {
    /// A client that tries `addresses` in turn and makes at most `calls` calls a second.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Span, calls: u32) -> Self {
        Self {
            addresses,
            budget: Mutex::new((calls, Instant::now())),
            calls,
            counts: Counts::default(),
            current: AtomicUsize::new(0),
            timeout: timeout.into(),
        }
    }

    /// The counts of its calls.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Reads an object; `None` where there is none.
    ///
    /// # Errors
    /// Any of [`PlatError`] but a conflict.
    pub fn read(&self, name: &str) -> Result<Option<Object>, PlatError> {
        let response = self.call(
            Method::GET,
            &format!("/v1/objects/{name}"),
            None,
            Duration::ZERO,
        )?;
        match response.status().as_u16() {
            200 => object(response).map(Some),
            404 => Ok(None),
            status => Err(self.refused(status)),
        }
    }

    /// Waits up to `wait` for a version of an object after `after`; `None` where none came.
    ///
    /// # Errors
    /// Any of [`PlatError`] but a conflict.
    pub fn watch(&self, name: &str, after: u64, wait: Span) -> Result<Option<Object>, PlatError> {
        let path = format!(
            "/v1/objects/{name}?after={after}&wait_ms={}",
            wait.as_millis()
        );
        let response = self.call(Method::GET, &path, None, wait.into())?;
        match response.status().as_u16() {
            200 => object(response).map(Some),
            204 | 404 => Ok(None),
            status => Err(self.refused(status)),
        }
    }

    /// Writes an object if it still has the version `base`, 0 for none, and returns its new version.
    ///
    /// # Errors
    /// [`PlatError::Lost`] leaves open whether the write took effect.
    pub fn write(&self, name: &str, base: u64, value: &str) -> Result<u64, PlatError> {
        if value.len() > OBJECT_LIMIT {
            return Err(PlatError::Refused { status: 413 });
        }
        let path = format!("/v1/objects/{name}?if_version={base}");
        let response = self.call(Method::PUT, &path, Some(value), Duration::ZERO)?;
        match response.status().as_u16() {
            200 => object(response).map(|object| object.version),
            409 => Err(PlatError::Conflict {
                version: object(response)?.version,
            }),
            status => Err(self.refused(status)),
        }
    }

    /// Removes an object.
    ///
    /// # Errors
    /// Any of [`PlatError`] but a conflict.
    pub fn remove(&self, name: &str) -> Result<(), PlatError> {
        let path = format!("/v1/objects/{name}");
        let response = self.call(Method::DELETE, &path, None, Duration::ZERO)?;
        match response.status().as_u16() {
            200 | 204 | 404 => Ok(()),
            status => Err(self.refused(status)),
        }
    }

    /// Waits up to `wait` for a list of VMs newer than `after`; `None` where none came.
    ///
    /// # Errors
    /// Any of [`PlatError`] but a conflict.
    pub fn vms(&self, after: u64, wait: Span) -> Result<Option<VmList>, PlatError> {
        let path = format!("/v1/vms?after={after}&wait_ms={}", wait.as_millis());
        let response = self.call(Method::GET, &path, None, wait.into())?;
        match response.status().as_u16() {
            200 => decode(response, LIST_LIMIT).map(Some),
            204 => Ok(None),
            status => Err(self.refused(status)),
        }
    }

    fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&str>,
        wait: Duration,
    ) -> Result<Response, PlatError> {
        self.spend()?;
        self.counts.made.fetch_add(1, Ordering::Relaxed);
        let index = self.current.load(Ordering::Relaxed) % self.addresses.len().max(1);
        let Some(address) = self.addresses.get(index) else {
            return Err(PlatError::Invalid {
                reason: "no platform address is set".to_owned(),
            });
        };
        let url = format!("http://{address}{path}");
        let limit = self.timeout + wait;
        let request = RequestBuilder::new(method, url)
            .connect_timeout(self.timeout)
            .read_timeout(limit)
            .timeout(limit);
        let sent = request.text(body.unwrap_or_default()).send();
        sent.map_err(|error| {
            self.counts.failed.fetch_add(1, Ordering::Relaxed);
            self.current.fetch_add(1, Ordering::Relaxed);
            PlatError::Lost {
                reason: error.to_string(),
            }
        })
    }

    fn spend(&self) -> Result<(), PlatError> {
        let mut budget = self.budget.lock();
        if budget.1.elapsed() >= Duration::from_secs(1) {
            *budget = (self.calls, Instant::now());
        }
        if budget.0 == 0 {
            self.counts.spent.fetch_add(1, Ordering::Relaxed);
            return Err(PlatError::Spent);
        }
        budget.0 -= 1;
        Ok(())
    }

    fn refused(&self, status: u16) -> PlatError {
        self.counts.failed.fetch_add(1, Ordering::Relaxed);
        PlatError::Refused { status }
    }
}

fn object(response: Response) -> Result<Object, PlatError> {
    // Escapes can double a value's length on the wire.
    decode(response, OBJECT_LIMIT as u64 * 2 + 1_024)
}

fn decode<T: DeserializeOwned>(response: Response, most: u64) -> Result<T, PlatError> {
    let mut text = Vec::new();
    let read = response.split().2.take(most).read_to_end(&mut text);
    read.map_err(|error| PlatError::Lost {
        reason: error.to_string(),
    })?;
    serde_json::from_slice(&text).map_err(|error| PlatError::Invalid {
        reason: error.to_string(),
    })
}
