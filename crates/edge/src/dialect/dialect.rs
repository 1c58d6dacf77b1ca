//! Encoding and decoding of a platform's messages.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::http::request;
use hyper::http::response;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::team;
use jasminetack_domain::upstream;

use super::{
    DecodeError, ForwardMetadata, OperatorEntry, OrderContext, RequestMetadata, ResponseMetadata,
    WorkerReport,
};

/// Codec for the messages of one platform; makes no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the digest of the caller's key; `None` if the request has none or several.
    ///
    /// The key is checked before the rest of the head is decoded, so that a caller without one learns
    /// nothing else.
    fn decode_key(&self, headers: &HeaderMap) -> Option<team::KeyDigest>;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header is missing or invalid.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestMetadata, DecodeError>;

    /// Removes the headers that callers may not send to workers, and adds the daemon's own headers.
    fn set_forward_headers(&self, headers: &mut HeaderMap, facts: &ForwardMetadata<'_>);

    /// Decodes the head of a worker's response to a request.
    fn decode_response(
        &self,
        head: &response::Parts,
        request_id: &name::RequestId,
    ) -> ResponseMetadata;

    /// Decodes a row of the operator table.
    ///
    /// # Errors
    ///
    /// Fails if the row is invalid.
    fn decode_operator_entry(&self, key: &str, value: &[u8]) -> Result<OperatorEntry, DecodeError>;

    /// Decodes a row of the workers table.
    ///
    /// # Errors
    ///
    /// Fails if the row does not describe a usable worker.
    fn decode_worker_entry(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<upstream::Upstream, DecodeError>;

    /// Encodes an order as the path and body of a POST request.
    fn encode_order(
        &self,
        order: &placement::Order,
        context: &OrderContext,
    ) -> (&'static str, Bytes);

    /// Decodes the result of an order from the response status.
    fn decode_order_result(&self, status: StatusCode) -> placement::OrderResult;

    /// Sets the header that names the intended receiver of a call to a worker.
    fn set_target_worker(&self, headers: &mut HeaderMap, worker: &name::WorkerName);

    /// Returns the path of a worker's report.
    fn report_path(&self) -> &'static str;

    /// Decodes a worker's report.
    ///
    /// # Errors
    ///
    /// Fails if the report is invalid.
    fn decode_report(&self, body: &[u8]) -> Result<WorkerReport, DecodeError>;

    /// Returns the path of the daemon's readiness endpoint.
    fn readiness_path(&self) -> &'static str;
}
