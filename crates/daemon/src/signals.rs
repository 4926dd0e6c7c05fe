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

/// The signals that arrived.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl Signals {
    pub(crate) fn register() -> Result<Self, DaemonError> {
        let signals = Self::default();
        flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        flag::register(SIGINT, Arc::clone(&signals.stop))?;
        flag::register(SIGTERM, Arc::clone(&signals.stop))?;
        Ok(signals)
    }

    /// Whether the settings file changed since the last question.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Whether the process is to stop.
    pub(crate) fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}
