//! The operators' tool: checks, publishes and shows a site, and looks into daemons.

mod arguments;
mod command;
mod context;
mod error;
mod files;
mod http;
mod run;
mod session;

pub use run::run;
