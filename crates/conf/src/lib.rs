//! A daemon's settings, and the INI files in which operators configure a site.

mod account_section;
mod bounds;
mod ini_file;
mod listen;
mod problem;
mod quota_bounds;
mod route_section;
mod service_file;
mod settings;
mod site_file;

pub use {
    bounds::{Bounds, RolloutBounds},
    listen::Listen,
    problem::{Problem, Problems},
    quota_bounds::QuotaBounds,
    service_file::ServiceFile,
    settings::Settings,
    site_file::{SiteFile, compile},
};
