//! A daemon's settings and the operators' site files.

mod bounds;
mod listen;
mod settings;

pub use {bounds::Bounds, listen::Listen, settings::Settings};
