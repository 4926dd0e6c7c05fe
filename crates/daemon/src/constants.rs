//! Constants that several modules use.

use unit::Span;

/// How long the other end of a lingering close has to close the connection after everything was sent;
/// then it is closed here.
pub(crate) const LINGER_TIMEOUT: Span = Span::secs(1);
/// How long a connection to the directory, readiness or operators' listener may be idle, and how
/// long a connection of a fetching daemon may be open.
pub(crate) const ADMIN_IDLE_TIMEOUT: Span = Span::secs(30);
/// How long a fetch from another daemon may take.
pub(crate) const FETCH_TIMEOUT: Span = Span::millis(1_000);
/// How long an idle connection to a worker is kept.
pub(crate) const WORKER_IDLE_TIMEOUT: Span = Span::secs(30);
/// How long an idle connection to the store is kept.
pub(crate) const STORE_IDLE_TIMEOUT: Span = Span::secs(10);
/// How long callers may cache a response of the directory, unless the settings have a lower limit.
pub(crate) const DIRECTORY_TTL: Span = Span::secs(2);
/// The maximum number of addresses in a response of the directory.
pub(crate) const MAX_DIRECTORY_ADDRESSES: usize = 64;
/// The delay after which callers may retry, in responses of a daemon that knows no configuration yet.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Span = Span::millis(100);
/// The fraction of the unreserved file descriptors that callers' connections may use.
pub(crate) const CALLER_FD_FRACTION: f64 = 0.6;
/// File descriptors that the platform keeps for files.
pub(crate) const RESERVED_FDS: u32 = 200;
/// The fraction of a worker's connection limit that all daemons together may use.
pub(crate) const WORKER_CONN_FRACTION: f64 = 0.9;
