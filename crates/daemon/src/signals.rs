//! The signals that the process handles.

use {
    crate::error::DaemonError,
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        flag,
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Flags that the signal handlers set.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    /// Set by SIGHUP.
    reload: Arc<AtomicBool>,
    /// Set by SIGINT and SIGTERM.
    stop: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the signal handlers.
    ///
    /// # Errors
    /// Fails if the system refuses a handler.
    pub(crate) fn register() -> Result<Self, DaemonError> {
        let signals = Self::default();
        flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        flag::register(SIGINT, Arc::clone(&signals.stop))?;
        flag::register(SIGTERM, Arc::clone(&signals.stop))?;
        Ok(signals)
    }

    /// Whether a reload of the settings was requested since the last call.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Whether the process was asked to stop.
    pub(crate) fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}
