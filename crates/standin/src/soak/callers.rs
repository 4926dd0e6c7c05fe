use {
    crate::{
        caller::{Attempt, Caller},
        config::{READ_PREFIX, WRITE_PREFIX},
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

/// How long a caller keeps an answer of the directory.
const KEEP: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(40);
const DEADLINE: Span = Span::millis(1_500);

/// A request and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) attempt: Attempt,
    pub(crate) began: Instant,
    /// Whether it may run at most once.
    pub(crate) write: bool,
}

/// One caller: asks a directory, keeps the answer for a while and sends requests, one after another.
pub(crate) fn call(
    name: &str,
    centre: &str,
    directories: &[SocketAddrV4],
    stop: &AtomicBool,
    seen: &Sender<Seen>,
) {
    let mut rng = Rng::new();
    let mut caller = Caller::new(name, DEADLINE);
    let mut known: Vec<SocketAddrV4> = Vec::new();
    let mut asked = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        if known.is_empty() || asked.elapsed() > KEEP {
            let directory = directories[rng.usize(..directories.len())];
            // A directory that can't be reached leaves what is known.
            if let Ok(found) = Caller::resolve(directory, centre) {
                known = found;
                asked = Instant::now();
            }
        }
        let Some(daemon) = rng.choice(known.iter().copied()) else {
            thread::sleep(PAUSE);
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
        let began = Instant::now();
        let attempt = caller.send(daemon, method, &format!("{path}1"));
        let told = Seen {
            attempt,
            began,
            write,
        };
        if seen.send(told).is_err() {
            return;
        }
        thread::sleep(PAUSE.mul_f64(rng.f64() * 2.0));
    }
}
