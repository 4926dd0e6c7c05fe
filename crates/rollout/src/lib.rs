//! Rollouts of a service's version: which requests may go to the new version, what its responses
//! show, and when it is completed or rolled back.
//!
//! All of it is state machines without clock or socket. Each daemon keeps one [`Rollout`] for each
//! rollout object that it knows, and tells others its own counts in a [`Report`].

mod binomial;
mod evidence;
mod exposure;
mod fleet_reports;
mod history;
mod lane;
mod params;
mod report;
mod rollout;
mod slow_bound;
mod timetable;
mod verdict;
mod versions;

pub use {
    evidence::{Counts, Evidence, Outcome, RouteEvidence, Side},
    exposure::Exposure,
    fleet_reports::FleetReports,
    lane::Lane,
    params::Params,
    report::{Listing, Report, RolloutNews, RolloutSection},
    rollout::{Conditions, Order, Phase, Rollout, hash},
    timetable::Timetable,
    verdict::{Finding, Pending, Symptom, Verdict},
    versions::Versions,
};
