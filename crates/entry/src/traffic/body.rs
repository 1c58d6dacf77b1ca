//! Bodies of answers to callers.

use std::fmt;

use bytes::Bytes;
use http_body_util::{Either, Full, channel};

/// Body of an answer: complete, or written while the upstream produces it.
pub type Body = Either<Full<Bytes>, channel::Channel<Bytes, Aborted>>;

/// The answer cannot be completed; the connection is aborted so that the caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was not completed")
    }
}

impl std::error::Error for Aborted {}

/// Creates a complete body.
pub fn full<Content>(content: Content) -> Body
where
    Content: Into<Bytes>,
{
    Either::Left(Full::new(content.into()))
}
