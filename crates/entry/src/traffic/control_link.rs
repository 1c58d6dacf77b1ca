//! Persistent connections for control frames to other daemons.

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

/// Maximum number of frames queued for a peer. Further frames are dropped, which is safe because
/// every exchange is repeated.
const MAX_QUEUED_FRAMES: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum time to write a frame; a paused peer reads nothing, and its socket buffers fill up.
const SEND_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time without a frame after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

type Connection = Framed<TcpStream, codec::ProstCodec<peer::Frame>>;

/// One connection to each daemon that control frames are sent to.
///
/// The control thread queues frames without blocking. One task per daemon on the traffic runtime
/// connects and writes them.
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
    /// Creates links that send `hello` as the first frame of each connection.
    #[must_use]
    pub fn new(runtime: runtime::Handle, hello: peer::Hello) -> Self {
        Self { runtime, hello, links: IndexMap::new() }
    }

    /// Queues a frame for a daemon; drops it when the queue is full.
    pub fn send(&mut self, host: &name::HostName, address: SocketAddr, body: peer::Body) {
        let body = match self.links.get(host) {
            Some(link) if link.address == address => match link.frames.try_send(body) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
                Err(mpsc::error::TrySendError::Closed(body)) => body,
            },
            _ => body,
        };
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        // The new channel has free capacity.
        let _ = frames.try_send(body);
        self.links.insert(host.clone(), Link { address, frames });
        self.runtime.spawn(write_frames(address, self.hello.clone(), receiver));
    }
}

async fn write_frames(
    address: SocketAddr,
    hello: peer::Hello,
    mut frames: mpsc::Receiver<peer::Body>,
) {
    let mut connection: Option<Connection> = None;
    loop {
        let body = tokio::select! {
            body = frames.recv() => body,
            // Peers send nothing on these connections, so any event means that the connection
            // ended. Without this branch, the first frame after a peer's restart would be lost.
            () = closed(connection.as_mut()) => {
                connection = None;
                continue;
            }
            () = time::sleep(IDLE_TIMEOUT) => return,
        };
        let Some(body) = body else { return };
        let frame = peer::Frame { body: Some(body) };
        if let Some(current) = &mut connection {
            if send(current, frame.clone()).await.is_ok() {
                continue;
            }
            connection = None;
        }
        if let Ok(mut new) = connect(address, hello.clone()).await
            && send(&mut new, frame).await.is_ok()
        {
            connection = Some(new);
        }
    }
}

async fn closed(connection: Option<&mut Connection>) {
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
