//! Parsing and encoding of HTTP/1 messages in byte buffers, without sockets or clocks, and a
//! blocking request-response exchange for tools and tests.

mod body;
mod error;
mod exchange;
mod head;
mod headers;
mod limits;
mod request;
mod request_reader;
mod response;
mod response_reader;
mod target;

pub use {
    error::WireError,
    exchange::exchange,
    head::is_header_value,
    headers::Headers,
    limits::Limits,
    request::Request,
    request_reader::RequestReader,
    response::{BodyCoding, Response},
    response_reader::{ConnectionEnd, PartialResponse, ResponseReader},
    target::{Target, decode_part},
};
