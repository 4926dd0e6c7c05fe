//! Requests that crash each worker that runs them.
//!
//! Such a request comes again and again, at any daemon, and would end one worker after the other.
//! Daemons note which request was in flight at a worker that crashed, tell each other of it, and
//! bar a request once it has crashed [`MAX_CRASHES`] workers without one that served it in between.

mod crash_log;
mod crash_news;
mod fingerprint;

pub use {
    crash_log::{CrashLog, MAX_CRASHES},
    crash_news::CrashNews,
    fingerprint::Fingerprint,
};
