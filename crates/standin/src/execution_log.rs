//! A record of the requests that reach workers, and of those that they run.

use {
    site::Notice,
    std::{
        collections::HashMap,
        net::IpAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    unit::Name,
};

/// A request that reached a worker, whether or not it ran.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The client accounts that the request named; at most one if the daemon works.
    pub accounts: Vec<String>,
    /// When the worker had read it.
    pub at: Instant,
    /// Whether the worker was in its cold start.
    pub cold: bool,
    /// The address that it came from, which is its daemon's.
    pub from: Option<IpAddr>,
    /// Whether the request carried a client's key, which workers mustn't see.
    pub has_key: bool,
    /// The worker's response, if it sent one.
    pub response: Option<Answer>,
    /// The request's id.
    pub request: String,
    /// The worker's id.
    pub worker: Name,
}

/// A worker's response to a request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When the worker began to send it.
    pub at: Instant,
    /// What it asks of the daemon.
    pub notice: Notice,
}

/// One execution of a request by a worker, as the worker records it.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The client accounts that the request named; at most one if the daemon works.
    pub accounts: Vec<String>,
    /// When the execution began.
    pub began: Instant,
    /// Whether the worker was in its cold start when the execution began.
    pub cold: bool,
    /// Whether the execution ran to completion; false while it runs, and where the request timed
    /// out or its connection closed.
    pub finished: bool,
    /// Whether the request carried a client's key, which workers mustn't see.
    pub has_key: bool,
    /// The request's id.
    pub request: String,
    /// The worker's id.
    pub worker: Name,
}

/// A log, shared by all workers, of every request that reached one and every execution.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog(Arc<Mutex<Records>>);

#[derive(Debug, Default)]
struct Records {
    arrivals: Vec<Arrival>,
    executions: Vec<Execution>,
}

impl ExecutionLog {
    /// Returns all executions in the order in which they began.
    pub fn entries(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    /// Returns all arrivals in the order in which the workers read them.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Adds an arrival and returns its index, which `answer` takes.
    pub(crate) fn arrive(&self, arrival: Arrival) -> usize {
        let mut records = self.lock();
        records.arrivals.push(arrival);
        records.arrivals.len() - 1
    }

    /// Records the response to the arrival at an index.
    pub(crate) fn answer(&self, index: usize, response: Answer) {
        if let Some(arrival) = self.lock().arrivals.get_mut(index) {
            arrival.response = Some(response);
        }
    }

    /// Returns the number of executions of each request, by request id.
    pub fn counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for execution in &self.lock().executions {
            *counts.entry(execution.request.clone()).or_default() += 1;
        }
        counts
    }

    /// Adds an execution and returns its index, which `finish` takes.
    pub(crate) fn begin(&self, execution: Execution) -> usize {
        let mut records = self.lock();
        records.executions.push(execution);
        records.executions.len() - 1
    }

    /// Marks the execution at an index as finished.
    pub(crate) fn finish(&self, index: usize) {
        if let Some(execution) = self.lock().executions.get_mut(index) {
            execution.finished = true;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
