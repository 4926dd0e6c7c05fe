//! Whole fleets of decision cores in virtual time: golden sessions, and random failures.

mod chaos;
mod fleet;
mod sessions;
