//! HTTP/1.1 messages read from and written to byte buffers, without sockets or clocks; and one
//! blocking exchange for tools.

mod body;
mod error;
mod exchange;
mod headers;
mod limits;
mod request;
mod request_reader;
mod response;
mod response_reader;

pub use {
    error::WireError,
    exchange::exchange,
    headers::Headers,
    limits::Limits,
    request::Request,
    request_reader::RequestReader,
    response::Response,
    response_reader::{ConnectionEnd, ResponseReader},
};
