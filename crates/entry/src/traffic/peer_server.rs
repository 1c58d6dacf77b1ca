//! Port for other daemons.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use futures_util::{SinkExt, StreamExt};
use jasminetack_domain::name;
use jasminetack_wire::codec;
use jasminetack_wire::peer;
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::codec::Framed;

use super::answer_encoder::AnswerEncoder;
use super::answer_event::{AnswerEvent, Refusal};
use super::ceilings::Ceilings;
use super::local_owner::LocalOwner;
use super::model_request::ModelRequest;
use super::peer_connection::PeerStream;
use crate::control;
use crate::in_flight;

/// Longest time until the first frame.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest first frame; a sender that is not authenticated must not make us reserve more.
const MAX_HELLO_BYTES: usize = 4 * 1024;
/// Connections that have not sent a valid first frame.
const MAX_UNAUTHENTICATED: usize = 512;
/// Silence after which an idle connection is closed; longer than peers keep idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Interval of signs of life while a request produces no event.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time to write a frame. A caller may read slowly, so this only ends dead connections.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves requests of other daemons for owned workers and takes their control messages.
#[derive(Debug)]
pub struct PeerServer<Local> {
    secret: String,
    control: Sender<control::Message>,
    local: Local,
    ceilings: Ceilings,
    in_flight: in_flight::InFlight,
    unauthenticated: Arc<Semaphore>,
}

impl<Local> PeerServer<Local>
where
    Local: LocalOwner + Send + Sync + 'static,
{
    /// Creates a server that is not listening yet.
    #[must_use]
    pub fn new(
        secret: String,
        control: Sender<control::Message>,
        local: Local,
        ceilings: Ceilings,
        in_flight: in_flight::InFlight,
    ) -> Self {
        let unauthenticated = Arc::new(Semaphore::new(MAX_UNAUTHENTICATED));
        Self { secret, control, local, ceilings, in_flight, unauthenticated }
    }

    /// Serves other daemons for as long as the process lives.
    pub async fn serve(self, listener: TcpListener) {
        let server = Arc::new(self);
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    let error = error.to_string();
                    spdlog::warn!("accept-failed", kv: { port = "peers", error = error.as_str() });
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&server.unauthenticated).try_acquire_owned() else {
                continue;
            };
            let server = Arc::clone(&server);
            tokio::spawn(async move {
                let result = match server.authenticate(stream).await {
                    Ok((from, connection)) => {
                        drop(permit);
                        server.serve_connection(&from, connection).await
                    }
                    Err(error) => Err(error),
                };
                if let Err(error) = result {
                    let error = error.to_string();
                    spdlog::info!("peer-connection-ended", kv: { error = error.as_str() });
                }
            });
        }
    }

    async fn authenticate(&self, stream: TcpStream) -> io::Result<(name::HostName, PeerStream)> {
        stream.set_nodelay(true)?;
        let codec = codec::ProstCodec::with_max_frame_bytes(MAX_HELLO_BYTES);
        let mut connection: PeerStream = Framed::new(stream, codec);
        let frame = time::timeout(HELLO_TIMEOUT, connection.next()).await?;
        let Some(frame) = frame.transpose()? else {
            return Err(protocol_error("closed before the first frame"));
        };
        let Some(peer::Body::Hello(hello)) = frame.body else {
            return Err(protocol_error("the first frame is not a hello"));
        };
        if !bool::from(hello.secret.as_bytes().ct_eq(self.secret.as_bytes())) {
            let refusal = Refusal::not_run(503, "bad_secret", "the peer secret is not valid");
            let mut encoder = AnswerEncoder::new(String::new());
            send(&mut connection, encoder.encode(AnswerEvent::Refused(refusal))).await?;
            return Err(protocol_error("the peer secret is not valid"));
        }
        let connection = connection.map_codec(|_| codec::ProstCodec::default());
        Ok((name::HostName::from(hello.host), connection))
    }

    async fn serve_connection(
        &self,
        from: &name::HostName,
        mut connection: PeerStream,
    ) -> io::Result<()> {
        while let Some(frame) = time::timeout(IDLE_TIMEOUT, connection.next()).await? {
            let Some(body) = frame?.body else {
                return Err(protocol_error("frame without known content"));
            };
            match body {
                peer::Body::Forward(forward) => {
                    self.serve_forward(&mut connection, forward).await?;
                }
                peer::Body::PermitRequest(order) => {
                    let answer = self.ceilings.decide(from, &order);
                    let body = Some(peer::Body::PermitResponse(answer.into()));
                    send(&mut connection, peer::Frame { body }).await?;
                }
                peer::Body::Hello(_)
                | peer::Body::PermitResponse(_)
                | peer::Body::Progress(_)
                | peer::Body::Head(_)
                | peer::Body::Chunk(_)
                | peer::Body::End(_)
                | peer::Body::Refused(_) => {
                    return Err(protocol_error("frame of a kind that clients do not send"));
                }
                body => {
                    let message = control::Message::Peer { from: from.clone(), body };
                    // The control thread ends only with the process.
                    let _ = self.control.send(message);
                }
            }
        }
        Ok(())
    }

    async fn serve_forward(
        &self,
        connection: &mut PeerStream,
        forward: peer::Forward,
    ) -> io::Result<()> {
        let _guard = self.in_flight.enter();
        let mut encoder = AnswerEncoder::new(forward.request_id.clone());
        let order = match ModelRequest::try_from(forward) {
            Ok(order) => order,
            Err(error) => {
                let refusal = Refusal::not_run(400, "bad_forward", error.to_string());
                return send(connection, encoder.encode(AnswerEvent::Refused(refusal))).await;
            }
        };
        let mut events = self.local.start(order);
        loop {
            let event = tokio::select! {
                event = events.recv() => event.unwrap_or_else(ended_early),
                () = time::sleep(PROGRESS_INTERVAL) => {
                    send(connection, encoder.progress()).await?;
                    continue;
                }
                // Clients send nothing while a request runs: this is the end of the connection,
                // and dropping the receiver cancels the request.
                frame = connection.next() => {
                    frame.transpose()?;
                    return Err(protocol_error("closed while a request was running"));
                }
            };
            let is_last = matches!(event, AnswerEvent::End | AnswerEvent::Refused(_));
            send(connection, encoder.encode(event)).await?;
            if is_last {
                return Ok(());
            }
        }
    }
}

async fn send(connection: &mut PeerStream, frame: peer::Frame) -> io::Result<()> {
    time::timeout(SEND_TIMEOUT, connection.send(frame)).await?
}

fn ended_early() -> AnswerEvent {
    let message = "the owner of the worker ended without an answer";
    AnswerEvent::Refused(Refusal::unknown(502, "owner_lost", message))
}

fn protocol_error(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
