//! The model as builds up to 02d23ad encode it. These shapes never change; the conversions leave out
//! or map what such a build can't decode.

mod change;
mod config;
mod revs;

pub use {change::LegacyChange, revs::LegacyRevs};
