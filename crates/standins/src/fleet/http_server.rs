//! HTTP server that runs on its own thread.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

/// Response body; an error aborts the connection.
pub type Body = BoxBody<Bytes, io::Error>;

/// Handles requests; `None` closes the connection without a response.
pub trait Handler: Send + Sync + 'static {
    /// Records that a client opened a connection.
    fn record_connection(&self) {}

    /// Waits until the server crashes; returns for how long it is down.
    fn wait_for_crash(&self) -> impl Future<Output = Duration> + Send {
        std::future::pending()
    }

    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<Response<Body>>> + Send;
}

/// Starts the server, which runs until the process exits, and returns its address.
///
/// # Errors
///
/// Returns an error if the address is not available or the thread cannot be spawned.
pub fn serve<Service>(handler: Arc<Service>, address: SocketAddr) -> io::Result<SocketAddr>
where
    Service: Handler,
{
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("stand-in".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let mut listener = TcpListener::from_std(listener).expect("the listener is ready");
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        connections.spawn(serve_connection(Arc::clone(&handler), stream));
                    }
                    Some(_) = connections.join_next() => {}
                    down_for = handler.wait_for_crash() => {
                        drop(listener);
                        connections.shutdown().await;
                        time::sleep(down_for).await;
                        listener = TcpListener::bind(address).await.expect("the port is still free");
                    }
                }
            }
        });
    })?;
    Ok(address)
}

async fn serve_connection<Service>(handler: Arc<Service>, stream: TcpStream)
where
    Service: Handler,
{
    let _ = stream.set_nodelay(true);
    handler.record_connection();
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move {
            handler
                .handle(request)
                .await
                .ok_or(io::Error::other("connection closed without a response"))
        }
    });
    let connection = http1::Builder::new();
    // Clients may disconnect at any time.
    let _ = connection.serve_connection(TokioIo::new(stream), service).await;
}

/// Creates a response with a complete body.
pub fn response<Data>(status: StatusCode, body: Data) -> Response<Body>
where
    Data: Into<Bytes>,
{
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
pub fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    response(status, value.to_string())
}
