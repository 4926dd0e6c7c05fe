//! A daemon's settings, and the files in which operators describe a site.

mod bounds;
mod doc;
mod listen;
mod problem;
mod route_file;
mod service_file;
mod settings;
mod site_file;

pub use {
    bounds::Bounds,
    listen::Listen,
    problem::{Problem, Problems},
    service_file::ServiceFile,
    settings::Settings,
    site_file::{compile, parse_limits},
};
