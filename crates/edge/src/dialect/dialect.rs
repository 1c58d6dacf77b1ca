//! Translation between a platform's messages and the product's terms.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::http::request;
use hyper::http::response;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;

use super::{
    DecodeError, ForwardMetadata, OperatorEntry, OrderContext, RequestMetadata, ResponseMetadata,
    WorkerReport,
};

/// Translation for one platform; decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header cannot be read.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestMetadata, DecodeError>;

    /// Removes the headers that callers may not send to workers and adds the daemon's own.
    fn set_forward_headers(&self, headers: &mut HeaderMap, facts: &ForwardMetadata<'_>);

    /// Reads the head of a worker's answer to a request.
    fn decode_response(
        &self,
        head: &response::Parts,
        request_id: &name::RequestId,
    ) -> ResponseMetadata;

    /// Reads an entry of the operator.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be used.
    fn decode_operator_entry(&self, key: &str, value: &[u8]) -> Result<OperatorEntry, DecodeError>;

    /// Reads the entry of a worker.
    ///
    /// # Errors
    ///
    /// Fails when the entry names no worker that can be used.
    fn decode_worker_entry(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<upstream::Upstream, DecodeError>;

    /// Encodes an order as path and body of a POST request.
    fn encode_order(
        &self,
        order: &placement::Order,
        context: &OrderContext,
    ) -> (&'static str, Bytes);

    /// Reads what became of an order.
    fn decode_order_result(&self, status: StatusCode) -> placement::OrderResult;

    /// Names the worker that a call of the daemon's own is meant for.
    fn set_target_worker(&self, headers: &mut HeaderMap, worker: &name::WorkerName);

    /// Returns the path of a worker's report.
    fn report_path(&self) -> &'static str;

    /// Reads a worker's report.
    ///
    /// # Errors
    ///
    /// Fails when the report cannot be read.
    fn decode_report(&self, body: &[u8]) -> Result<WorkerReport, DecodeError>;

    /// Returns the path of the readiness check.
    fn readiness_path(&self) -> &'static str;
}
