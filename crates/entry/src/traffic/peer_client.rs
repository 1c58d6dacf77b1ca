//! Requests that this daemon forwards to the owners of workers.

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

use super::answer_decoder::AnswerDecoder;
use super::answer_event::{AnswerEvent, Refusal};
use super::model_request::ModelRequest;
use super::peer_connection::{self, PeerStream};

/// Events that may wait for a slow reader before the peer is read no further.
const EVENT_BUFFER: usize = 16;
/// Silence before the head after which the peer counts as lost; it reports every 300 ms.
const QUEUED_SILENCE: Duration = Duration::from_millis(1_000);
/// Silence within an answer after which the peer counts as lost. It is longer because a retry is
/// no longer possible and a pause of the owner may pass.
const STREAM_SILENCE: Duration = Duration::from_millis(5_000);
/// Longest time to write a request to the connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time for a frame and its answer; a round trip between regions is far below it.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle connections that are kept for each peer.
const MAX_IDLE: usize = 32;
/// Age of idle connections that are not used again; peers close them later than that.
const MAX_IDLE_AGE: Duration = Duration::from_secs(60);

/// Forwards requests to other daemons over pooled connections, one request at a time on each.
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
    /// Creates a client that identifies itself with a first frame.
    #[must_use]
    pub fn new(hello: peer::Hello) -> Self {
        Self { shared: Arc::new(Shared { hello, idle: Mutex::default() }) }
    }

    /// Forwards a request; dropping the receiver cancels it.
    #[must_use]
    pub fn start(&self, address: SocketAddr, order: ModelRequest) -> mpsc::Receiver<AnswerEvent> {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let Err(refusal) = shared.forward(address, order, &sender).await else { return };
            // The reader is gone when the caller hung up.
            let _ = sender.send(AnswerEvent::Refused(refusal)).await;
        });
        receiver
    }

    /// Sends one frame to another daemon and returns the frame that answers it.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached or does not answer in time.
    pub async fn ask(&self, address: SocketAddr, body: peer::Body) -> io::Result<peer::Body> {
        time::timeout(ASK_TIMEOUT, self.shared.ask(address, body)).await?
    }
}

impl Shared {
    async fn ask(&self, address: SocketAddr, body: peer::Body) -> io::Result<peer::Body> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => peer_connection::connect(address, self.hello.clone()).await?,
        };
        connection.send(peer::Frame { body: Some(body) }).await?;
        let frame = connection.next().await.transpose()?;
        let answer = frame.and_then(|frame| frame.body);
        let answer = answer.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        self.put_idle(address, connection);
        Ok(answer)
    }

    async fn forward(
        &self,
        address: SocketAddr,
        order: ModelRequest,
        events: &mpsc::Sender<AnswerEvent>,
    ) -> Result<(), Refusal> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => peer_connection::connect(address, self.hello.clone())
                .await
                .map_err(|error| not_sent(address, &error))?,
        };
        let mut decoder = AnswerDecoder::new(order.request_id.to_string());
        send(&mut connection, address, order).await?;
        loop {
            let silence = if decoder.is_streaming() { STREAM_SILENCE } else { QUEUED_SILENCE };
            let frame = tokio::select! {
                // Closing the connection cancels the request at the owner.
                () = events.closed() => return Ok(()),
                frame = time::timeout(silence, connection.next()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(lost(address, &error.to_string())),
                Ok(None) => return Err(lost(address, "the connection was closed")),
                Err(_) => return Err(lost(address, "no sign of life")),
            };
            let event = decoder.decode(frame).map_err(|error| lost(address, &error.to_string()))?;
            let Some(event) = event else { continue };
            let is_last = matches!(event, AnswerEvent::End | AnswerEvent::Refused(_));
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
            // An idle connection that has something to read was closed by the peer.
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
        if idle.len() < MAX_IDLE {
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
        // The encoder refuses a frame that is too long before it writes anything.
        Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidInput => {
            Err(Refusal::not_run(413, "forward_too_large", error.to_string()))
        }
        Ok(Err(error)) => Err(lost(address, &error.to_string())),
        Err(_) => Err(lost(address, "the request could not be written in time")),
    }
}

fn not_sent(address: SocketAddr, error: &io::Error) -> Refusal {
    let message = format!("the owner at {address} cannot be reached: {error}");
    Refusal::not_run(503, "owner_unreachable", message)
}

fn lost(address: SocketAddr, reason: &str) -> Refusal {
    let message = format!("the owner at {address} was lost: {reason}");
    Refusal::unknown(502, "owner_lost", message)
}
