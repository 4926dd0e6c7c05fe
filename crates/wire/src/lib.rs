//! HTTP/1.1 messages read from and written to byte buffers, without sockets or clocks.

mod body;
mod error;
mod headers;
mod limits;
mod request;
mod request_reader;
mod response;
mod response_reader;

pub use {
    error::WireError,
    headers::Headers,
    limits::Limits,
    request::Request,
    request_reader::RequestReader,
    response::Response,
    response_reader::{Ending, ResponseReader},
};
