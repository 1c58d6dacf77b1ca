//! Dispatch of a call to an app service.

use std::sync::Arc;

use hyper::Response;
use jasminetack_domain::table;

use super::body::Body;
use super::caller_error::CallerError;
use super::claimed_call::ClaimedCall;
use super::service_call::ServiceCall;
use super::service_context::ServiceContext;

/// Acquires a permit for a call and serves it, at most once if it has an idempotency key.
///
/// # Errors
///
/// Fails when the ceiling of the service is reached, no host responds before the deadline, or the
/// key of the call is in use.
pub async fn run(
    context: Arc<ServiceContext>,
    call: ServiceCall,
) -> Result<Response<Body>, CallerError> {
    let row = table::RowKey::new(table::RowKind::Service, call.service.as_str());
    let permit = context.limiter.acquire(row, &call.limits).await?;
    match call.idempotency_key.clone() {
        Some(key) => ClaimedCall::new(context, call, permit).run(&key).await,
        None => context.run_repeatable(call, permit).await,
    }
}
