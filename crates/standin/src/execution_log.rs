//! A record of the requests that workers run.

use {
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    unit::Name,
};

/// One execution of a request by a worker, as the worker records it.
#[derive(Clone, Debug)]
pub struct Execution {
    /// When the execution began.
    pub began: Instant,
    /// Whether the worker was in its cold start when the execution began.
    pub cold: bool,
    /// Whether the execution ran to completion; false while it runs, and where the request timed
    /// out or its connection closed.
    pub finished: bool,
    /// The request's id.
    pub request: String,
    /// The worker's id.
    pub worker: Name,
}

/// A log, shared by all workers, of every execution of a request.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog(Arc<Mutex<Vec<Execution>>>);

impl ExecutionLog {
    /// Returns all executions in the order in which they began.
    pub fn entries(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    /// Returns the number of executions of each request, by request id.
    pub fn counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for execution in self.lock().iter() {
            *counts.entry(execution.request.clone()).or_default() += 1;
        }
        counts
    }

    /// Adds an execution and returns its index, which `finish` takes.
    pub(crate) fn begin(&self, execution: Execution) -> usize {
        let mut executions = self.lock();
        executions.push(execution);
        executions.len() - 1
    }

    /// Marks the execution at an index as finished.
    pub(crate) fn finish(&self, index: usize) {
        if let Some(execution) = self.lock().get_mut(index) {
            execution.finished = true;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Execution>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
