use unit::Span;

/// How long a closed connection waits for its other end to close.
pub(crate) const LINGER: Span = Span::secs(1);
/// How long a connection that asks a question may be idle.
pub(crate) const ADMIN_IDLE: Span = Span::secs(30);
/// How long fetching from another daemon may take.
pub(crate) const FETCH_TIME: Span = Span::millis(1_000);
/// How long an unused connection to a worker is kept.
pub(crate) const WORKER_IDLE: Span = Span::secs(30);
/// How long an unused connection to the store is kept.
pub(crate) const STORE_IDLE: Span = Span::secs(10);
/// For how long callers may keep an answer of the directory.
pub(crate) const DIRECTORY_KEEP: Span = Span::secs(2);
/// The most addresses in an answer of the directory.
pub(crate) const MAX_ADDRESSES: usize = 64;
/// When callers that can't be served yet may come back.
pub(crate) const COME_BACK: Span = Span::millis(100);
/// How long after the order to stop requests are still taken, as a part of the time to stop.
pub(crate) const TAKE_PART: f64 = 0.5;
/// How long after the order to stop idle connections of callers are kept, as a part of the same.
pub(crate) const KEEP_PART: f64 = 0.6;
/// When the daemon stops whatever is under way, as a part of the same.
pub(crate) const STOP_PART: f64 = 0.93;
/// The part of the descriptors that callers' connections may use.
pub(crate) const CALLER_PART: f64 = 0.6;
/// Descriptors that the platform keeps for files.
pub(crate) const RESERVED_DESCRIPTORS: u32 = 200;
/// The part of a worker's connections that the daemons use together.
pub(crate) const CONNS_PART: f64 = 0.9;
/// The longest answer of a worker, of the store or of another daemon, in bytes.
pub(crate) const MAX_ANSWER: usize = 16 << 20;
