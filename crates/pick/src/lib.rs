//! Worker selection: what a daemon knows of each worker, and in which order it probes and uses
//! them.

mod attempt_outcome;
mod dropped;
mod fleet;
mod latency_estimate;
mod locality;
mod median_estimate;
mod named_limit;
mod observations;
mod permits;
mod rejection;
mod selection;
mod worker_key;
mod worker_record;
mod worker_table;

pub use {
    attempt_outcome::AttemptOutcome,
    latency_estimate::LatencyEstimate,
    locality::{PriceError, TransferEstimate, TransferPrice, has_remote_room},
    median_estimate::MedianEstimate,
    named_limit::{LimitNews, NoticeSource},
    rejection::{RejectionNews, RejectionSource},
    selection::{Criteria, Ranking, Selection},
    worker_key::WorkerKey,
    worker_record::{Standing, WorkerRecord},
    worker_table::WorkerTable,
};
