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
    AnswerFacts, DispatchFacts, Malformed, OperatorEntry, OrderTicket, RequestFacts, WorkerReport,
};

/// Translation for one platform; decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header cannot be read.
    fn request(&self, head: &request::Parts) -> Result<RequestFacts, Malformed>;

    /// Removes the headers that callers may not send to workers and adds the daemon's own.
    fn dispatch(&self, headers: &mut HeaderMap, facts: &DispatchFacts<'_>);

    /// Reads the head of a worker's answer to a request.
    fn answer(&self, head: &response::Parts, request_id: &name::RequestId) -> AnswerFacts;

    /// Reads an entry of the operator.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be used.
    fn operator_entry(&self, key: &str, value: &[u8]) -> Result<OperatorEntry, Malformed>;

    /// Reads the entry of a worker.
    ///
    /// # Errors
    ///
    /// Fails when the entry names no worker that can be used.
    fn upstream(&self, key: &str, value: &[u8]) -> Result<upstream::Upstream, Malformed>;

    /// Encodes an order as path and body of a POST request.
    fn order(&self, order: &placement::Order, ticket: &OrderTicket) -> (&'static str, Bytes);

    /// Reads what became of an order.
    fn order_result(&self, status: StatusCode) -> placement::OrderResult;

    /// Names the worker that a call of the daemon's own is meant for.
    fn address_worker(&self, headers: &mut HeaderMap, worker: &name::WorkerName);

    /// Returns the path of a worker's report.
    fn report_path(&self) -> &'static str;

    /// Reads a worker's report.
    ///
    /// # Errors
    ///
    /// Fails when the report cannot be read.
    fn report(&self, body: &[u8]) -> Result<WorkerReport, Malformed>;

    /// Returns the path of the readiness check.
    fn readiness_path(&self) -> &'static str;
}
