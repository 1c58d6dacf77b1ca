//! Client for requests to other daemons.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::{FutureExt, SinkExt, StreamExt};
use indexmap::IndexMap;
use jasminetack_wire::peer;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time;

use super::model_request::ModelRequest;
use super::peer_connection::{self, PeerStream};
use super::response_decoder::ResponseDecoder;
use super::response_event::{Refusal, ResponseEvent};

/// Events that are buffered for a slow reader before reading from the peer pauses.
const EVENT_BUFFER: usize = 16;
/// Maximum time between frames before the head; the owner sends progress every 300 ms.
const QUEUED_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum time between frames after the head. It is longer than before the head, because the
/// request can no longer be retried and the owner may recover from a pause.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum time to write a request to the connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum time for a call; a round trip between regions takes far less.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of pooled idle connections to each peer.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Maximum idle time of a pooled connection; shorter than the time after which peers close it.
const MAX_IDLE_AGE: Duration = Duration::from_secs(60);

/// Sends requests to other daemons over pooled connections, each with one request at a time.
#[derive(Clone, Debug)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    hello: peer::Hello,
    idle: Mutex<IndexMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: PeerStream,
    since: Instant,
}

impl PeerClient {
    /// Creates a client that sends `hello` as the first frame of each connection.
    #[must_use]
    pub fn new(hello: peer::Hello) -> Self {
        Self { shared: Arc::new(Shared { hello, idle: Mutex::default() }) }
    }

    /// Forwards a model request to the owner of its worker; dropping the receiver cancels it.
    #[must_use]
    pub fn forward(
        &self,
        address: SocketAddr,
        order: ModelRequest,
    ) -> mpsc::Receiver<ResponseEvent> {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let Err(refusal) = shared.forward(address, order, &sender).await else { return };
            // The receiver is dropped when the caller disconnects.
            let _ = sender.send(ResponseEvent::Refused(refusal)).await;
        });
        receiver
    }

    /// Sends one frame to another daemon and returns its response.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached or does not respond in time.
    pub async fn call(&self, address: SocketAddr, body: peer::Body) -> io::Result<peer::Body> {
        time::timeout(CALL_TIMEOUT, self.shared.call(address, body)).await?
    }
}

impl Shared {
    async fn call(&self, address: SocketAddr, body: peer::Body) -> io::Result<peer::Body> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => peer_connection::connect(address, self.hello.clone()).await?,
        };
        connection.send(peer::Frame { body: Some(body) }).await?;
        let frame = connection.next().await.transpose()?;
        let response = frame.and_then(|frame| frame.body);
        let response = response.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        self.put_idle(address, connection);
        Ok(response)
    }

    async fn forward(
        &self,
        address: SocketAddr,
        order: ModelRequest,
        events: &mpsc::Sender<ResponseEvent>,
    ) -> Result<(), Refusal> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => peer_connection::connect(address, self.hello.clone())
                .await
                .map_err(|error| owner_unreachable(address, &error))?,
        };
        let mut decoder = ResponseDecoder::new(order.request_id.to_string());
        send(&mut connection, address, order).await?;
        loop {
            let idle_timeout =
                if decoder.is_streaming() { STREAM_IDLE_TIMEOUT } else { QUEUED_IDLE_TIMEOUT };
            let frame = tokio::select! {
                // Closing the connection cancels the request at the owner.
                () = events.closed() => return Ok(()),
                frame = time::timeout(idle_timeout, connection.next()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(owner_lost(address, &error.to_string())),
                Ok(None) => return Err(owner_lost(address, "the connection was closed")),
                Err(_) => {
                    return Err(owner_lost(address, "no frame arrived within the idle timeout"));
                }
            };
            let event =
                decoder.decode(frame).map_err(|error| owner_lost(address, &error.to_string()))?;
            let Some(event) = event else { continue };
            let is_last = matches!(event, ResponseEvent::End | ResponseEvent::Refused(_));
            if events.send(event).await.is_err() {
                return Ok(());
            }
            if is_last {
                self.put_idle(address, connection);
                return Ok(());
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PeerStream> {
        let mut pool = self.idle.lock();
        let idle = pool.get_mut(&address)?;
        while let Some(Idle { mut connection, since }) = idle.pop() {
            // Peers send nothing on idle connections, so readable data means that one was closed.
            if since.elapsed() < MAX_IDLE_AGE && connection.next().now_or_never().is_none() {
                return Some(connection);
            }
        }
        pool.swap_remove(&address);
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: PeerStream) {
        let mut pool = self.idle.lock();
        let idle = pool.entry(address).or_default();
        idle.retain(|idle| idle.since.elapsed() < MAX_IDLE_AGE);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle { connection, since: Instant::now() });
        }
    }
}

async fn send(
    connection: &mut PeerStream,
    address: SocketAddr,
    order: ModelRequest,
) -> Result<(), Refusal> {
    let frame = peer::Frame { body: Some(peer::Body::Forward(order.into())) };
    match time::timeout(SEND_TIMEOUT, connection.send(frame)).await {
        Ok(Ok(())) => Ok(()),
        // The codec rejects an oversized frame before it writes any byte.
        Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidInput => {
            Err(Refusal::not_run(413, "forward_too_large", error.to_string()))
        }
        Ok(Err(error)) => Err(owner_lost(address, &error.to_string())),
        Err(_) => Err(owner_lost(address, "the request was not written within the send timeout")),
    }
}

fn owner_unreachable(address: SocketAddr, error: &io::Error) -> Refusal {
    let message = format!("cannot reach the owner at {address}: {error}");
    Refusal::not_run(503, "owner_unreachable", message)
}

fn owner_lost(address: SocketAddr, reason: &str) -> Refusal {
    let message = format!("lost the owner at {address}: {reason}");
    Refusal::unknown(502, "owner_lost", message)
}
