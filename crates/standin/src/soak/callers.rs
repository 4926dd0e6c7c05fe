//! The callers of a soak.

use {
    crate::{
        caller::{Caller, RequestResult},
        config::{READ_PREFIX, WRITE_PREFIX},
        key_ring::KeyRing,
    },
    fastrand::Rng,
    std::{
        net::SocketAddrV4,
        sync::{
            atomic::{AtomicBool, Ordering},
            mpsc::Sender,
        },
        thread,
        time::{Duration, Instant},
    },
    unit::Span,
};

/// How long a caller uses the addresses that the directory returned.
const RESOLVE_TTL: Duration = Duration::from_secs(2);
/// The mean pause between two requests of a caller.
const MEAN_PAUSE: Duration = Duration::from_millis(40);
/// The time allowed for each request.
const DEADLINE: Span = Span::millis(1_500);

/// A caller's request with its result.
#[derive(Clone, Debug)]
pub(crate) struct TimedResult {
    pub(crate) result: RequestResult,
    /// When the request was sent.
    pub(crate) began: Instant,
    /// Whether the request may run at most once.
    pub(crate) write: bool,
}

/// Runs a caller until `stop` is set: it resolves addresses and sends requests one after another,
/// with keys of the ring if it has any.
pub(crate) fn run_caller(
    name: &str,
    centre: &str,
    directories: &[SocketAddrV4],
    keys: &KeyRing,
    stop: &AtomicBool,
    results: &Sender<TimedResult>,
) {
    let mut rng = Rng::new();
    let mut caller = Caller::new(name, DEADLINE);
    let mut addresses: Vec<SocketAddrV4> = Vec::new();
    let mut resolved = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        if addresses.is_empty() || resolved.elapsed() > RESOLVE_TTL {
            let directory = directories[rng.usize(..directories.len())];
            // If the directory can't be reached, the caller goes on with the addresses it has.
            if let Ok(found) = Caller::resolve(directory, centre) {
                addresses = found;
                resolved = Instant::now();
            }
        }
        let Some(daemon) = rng.choice(addresses.iter().copied()) else {
            thread::sleep(MEAN_PAUSE);
            continue;
        };
        if rng.u32(..4) == 0 {
            caller.disconnect();
        }
        let write = rng.u32(..3) == 0;
        let (method, path) = if write {
            ("POST", WRITE_PREFIX)
        } else {
            ("GET", READ_PREFIX)
        };
        caller.key = keys.any(&mut rng);
        let began = Instant::now();
        let result = caller.send(daemon, method, &format!("{path}1"));
        let timed = TimedResult {
            result,
            began,
            write,
        };
        if results.send(timed).is_err() {
            return;
        }
        thread::sleep(MEAN_PAUSE.mul_f64(rng.f64() * 2.0));
    }
}
