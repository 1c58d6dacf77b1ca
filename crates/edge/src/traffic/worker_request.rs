//! Requests as they are sent to workers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header;
use hyper::{HeaderMap, Request};

use super::call::Call;
use super::worker_search::Target;
use crate::dialect;

/// Rank that workers assume for requests without one; the least urgent routes stay above it.
const MAX_PRIORITY: u8 = 9;

impl<Dialect> Call<Dialect>
where
    Dialect: dialect::Dialect,
{
    pub(super) fn worker_request(
        &self,
        target: &Target,
        last_event_id: Option<&str>,
        now_ms: u64,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.head.headers.clone();
        remove_connection_headers(&mut headers);
        // hyper sets it from the body, which may have come in chunks.
        headers.remove(header::CONTENT_LENGTH);
        let view = self.traffic.view.load();
        let version = self.required_version(&view);
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let facts = dialect::ForwardMetadata {
            worker: &target.decision.worker,
            deadline_ms: self.facts.deadline_ms.map(|_| left_ms),
            priority: self
                .facts
                .size
                .is_generation()
                .then(|| self.route.priority.min(MAX_PRIORITY)),
            adapter_version: (version > 0).then_some(version),
            last_event_id,
        };
        self.traffic.dialect.set_forward_headers(&mut headers, &facts);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Removes the headers that concern one connection.
pub(super) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<header::HeaderName>().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::PROXY_AUTHORIZATION,
        header::PROXY_AUTHENTICATE,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
