use {
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    unit::Name,
};

/// One execution of a request by a worker.
#[derive(Clone, Debug)]
pub struct Execution {
    /// When it began.
    pub began: Instant,
    /// Whether the worker was cold then.
    pub cold: bool,
    /// Whether the worker worked to the end.
    pub finished: bool,
    /// The request's id.
    pub request: String,
    /// The worker's id.
    pub worker: Name,
}

/// What all workers ran, as they saw it.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog(Arc<Mutex<Vec<Execution>>>);

impl ExecutionLog {
    /// All executions, in the order in which they began.
    pub fn entries(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    /// How many times each request ran.
    pub fn counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for run in self.lock().iter() {
            *counts.entry(run.request.clone()).or_default() += 1;
        }
        counts
    }

    pub(crate) fn begin(&self, run: Execution) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    pub(crate) fn finish(&self, at: usize) {
        if let Some(run) = self.lock().get_mut(at) {
            run.finished = true;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Execution>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
