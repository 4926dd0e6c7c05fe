use unit::Span;

/// How long a closed connection waits for its other end to close.
pub(crate) const LINGER_TIMEOUT: Span = Span::secs(1);
/// How long a connection that asks a question may be idle.
pub(crate) const ADMIN_IDLE_TIMEOUT: Span = Span::secs(30);
/// How long fetching from another daemon may take.
pub(crate) const FETCH_TIMEOUT: Span = Span::millis(1_000);
/// How long an unused connection to a worker is kept.
pub(crate) const WORKER_IDLE_TIMEOUT: Span = Span::secs(30);
/// How long an unused connection to the store is kept.
pub(crate) const STORE_IDLE_TIMEOUT: Span = Span::secs(10);
/// For how long callers may keep an answer of the directory.
pub(crate) const DIRECTORY_TTL: Span = Span::secs(2);
/// The most addresses in an answer of the directory.
pub(crate) const MAX_DIRECTORY_ADDRESSES: usize = 64;
/// When callers that can't be served yet may come back.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Span = Span::millis(100);
/// How long after the order to stop requests are still taken, as a part of the time to stop.
pub(crate) const ADMIT_FRACTION: f64 = 0.5;
/// How long after the order to stop idle connections of callers are kept, as a part of the same.
pub(crate) const KEEP_IDLE_FRACTION: f64 = 0.6;
/// When the daemon stops whatever is under way, as a part of the same.
pub(crate) const STOP_FRACTION: f64 = 0.93;
/// The part of the descriptors that callers' connections may use.
pub(crate) const CALLER_FD_FRACTION: f64 = 0.6;
/// Descriptors that the platform keeps for files.
pub(crate) const RESERVED_FDS: u32 = 200;
/// The part of a worker's connections that the daemons use together.
pub(crate) const WORKER_CONN_FRACTION: f64 = 0.9;
/// The longest answer of a worker, of the store or of another daemon, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 << 20;
