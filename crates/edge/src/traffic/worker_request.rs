//! Requests to workers, built from callers' requests.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header;
use hyper::{HeaderMap, Request};

use super::proxy_request::ProxyRequest;
use super::worker_search::Target;
use crate::dialect;

/// Least urgent priority that is sent, which workers also assume for requests without a priority.
const MAX_PRIORITY: u8 = 9;

impl<Dialect> ProxyRequest<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Builds the request for a worker from the caller's request and the daemon's own headers.
    pub(super) fn worker_request(
        &self,
        target: &Target,
        last_event_id: Option<&str>,
        now_ms: u64,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.head.headers.clone();
        remove_connection_headers(&mut headers);
        // hyper sets the length from the buffered body; the caller may have sent it chunked.
        headers.remove(header::CONTENT_LENGTH);
        let view = self.shared.view.load();
        let version = self.required_version(&view);
        let remaining_ms = self.deadline_ms.saturating_sub(now_ms);
        let access = self.caller.access();
        let facts = dialect::ForwardMetadata {
            worker: &target.decision.worker,
            deadline_ms: self.facts.deadline_ms.map(|_| remaining_ms),
            priority: self
                .facts
                .size_or_default()
                .is_generation()
                .then(|| access.priority(self.route.priority).min(MAX_PRIORITY)),
            adapter_version: (version > 0).then_some(version),
            has_teams: access.has_teams(),
            team: access.team().map(|team| &team.name),
            last_event_id,
        };
        self.shared.dialect.set_forward_headers(&mut headers, &facts);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Removes hop-by-hop headers, including those named by the `Connection` header.
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
