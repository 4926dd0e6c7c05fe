//! What a daemon believes of each worker, and in which order it asks them for room.

mod attempt_outcome;
mod latency_estimate;
mod median_estimate;
mod selection;
mod worker_key;
mod worker_record;
mod worker_table;

pub use {
    attempt_outcome::AttemptOutcome,
    latency_estimate::LatencyEstimate,
    median_estimate::MedianEstimate,
    selection::{Criteria, Selection},
    worker_key::WorkerKey,
    worker_record::{Standing, WorkerRecord},
    worker_table::WorkerTable,
};
