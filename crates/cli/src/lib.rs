//! The command-line tool for operators: checks and publishes the configuration of a site, evacuates
//! data centres, and shows the state of daemons.

mod arguments;
mod command;
mod context;
mod error;
mod files;
mod http;
mod run;
mod store_session;

pub use run::run;
