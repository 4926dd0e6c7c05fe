//! Bounded HTTP/1.1 over blocking sockets, for callers, operators and upstreams.
//!
//! Heads are parsed by `httparse`. Every read has a deadline and every buffer a bound.

mod body;
mod conn;
mod error;
mod head;
mod limits;
mod request;
mod response;
mod server;

pub use {
    conn::Conn,
    error::WireError,
    head::Headers,
    limits::Limits,
    request::Request,
    response::Response,
    server::{Handler, Server},
};
