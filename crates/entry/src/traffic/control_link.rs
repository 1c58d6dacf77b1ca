//! Long-lived connections that carry control frames to other daemons.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_wire::codec;
use jasminetack_wire::peer;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::codec::Framed;

/// Frames that may wait for a slow peer; more are dropped, since every exchange is repeated.
const MAX_WAITING_FRAMES: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time to write a frame; a paused peer takes none once its buffers are full.
const SEND_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Silence after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

type Connection = Framed<TcpStream, codec::ProstCodec<peer::Frame>>;

/// One connection to each daemon that control frames are sent to.
///
/// The control thread sends and never waits; a task for each daemon on the traffic runtime connects
/// and writes.
#[derive(Debug)]
pub struct ControlLinks {
    runtime: runtime::Handle,
    hello: peer::Hello,
    links: IndexMap<name::HostName, Link>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    frames: mpsc::Sender<peer::Body>,
}

impl ControlLinks {
    /// Creates links whose connections start with a hello.
    #[must_use]
    pub fn new(runtime: runtime::Handle, hello: peer::Hello) -> Self {
        Self { runtime, hello, links: IndexMap::new() }
    }

    /// Queues a frame for a daemon; it is dropped when too many wait.
    pub fn send(&mut self, host: &name::HostName, address: SocketAddr, body: peer::Body) {
        let body = match self.links.get(host) {
            Some(link) if link.address == address => match link.frames.try_send(body) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
                Err(mpsc::error::TrySendError::Closed(body)) => body,
            },
            _ => body,
        };
        let (frames, receiver) = mpsc::channel(MAX_WAITING_FRAMES);
        // The channel is new and has room.
        let _ = frames.try_send(body);
        self.links.insert(host.clone(), Link { address, frames });
        self.runtime.spawn(run(address, self.hello.clone(), receiver));
    }
}

async fn run(address: SocketAddr, hello: peer::Hello, mut frames: mpsc::Receiver<peer::Body>) {
    let mut connection: Option<Connection> = None;
    loop {
        let body = tokio::select! {
            body = frames.recv() => body,
            // Peers send nothing on these connections, so any event is the end of one. Without
            // this, the first frame after a peer's restart would be lost.
            () = ended(connection.as_mut()) => {
                connection = None;
                continue;
            }
            () = time::sleep(IDLE_TIMEOUT) => return,
        };
        let Some(body) = body else { return };
        let frame = peer::Frame { body: Some(body) };
        if let Some(open) = &mut connection {
            if send(open, frame.clone()).await.is_ok() {
                continue;
            }
            connection = None;
        }
        if let Ok(mut open) = connect(address, hello.clone()).await
            && send(&mut open, frame).await.is_ok()
        {
            connection = Some(open);
        }
    }
}

async fn ended(connection: Option<&mut Connection>) {
    match connection {
        Some(connection) => drop(connection.next().await),
        None => std::future::pending().await,
    }
}

async fn connect(address: SocketAddr, hello: peer::Hello) -> io::Result<Connection> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let mut connection = Framed::new(stream, codec::ProstCodec::default());
    send(&mut connection, peer::Frame { body: Some(peer::Body::Hello(hello)) }).await?;
    Ok(connection)
}

async fn send(connection: &mut Connection, frame: peer::Frame) -> io::Result<()> {
    time::timeout(SEND_TIMEOUT, connection.send(frame)).await?
}
