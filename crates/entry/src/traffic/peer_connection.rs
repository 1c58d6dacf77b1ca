//! Connections between daemons.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::SinkExt;
use jasminetack_wire::codec;
use jasminetack_wire::peer;
use tokio::net::TcpStream;
use tokio::time;
use tokio_util::codec::Framed;

/// Maximum time to connect and send the first frame; a round trip between regions takes far less.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Framed TCP connection to another daemon.
pub type PeerStream = Framed<TcpStream, codec::ProstCodec<peer::Frame>>;

/// Connects to another daemon and sends `hello` as the first frame.
///
/// # Errors
///
/// Fails when the peer cannot be reached in time; no request has been sent then.
pub async fn connect(address: SocketAddr, hello: peer::Hello) -> io::Result<PeerStream> {
    let connect = async {
        let stream = TcpStream::connect(address).await?;
        // Tokens are small; Nagle's algorithm would delay them.
        stream.set_nodelay(true)?;
        let mut connection = Framed::new(stream, codec::ProstCodec::default());
        connection.send(peer::Frame { body: Some(peer::Body::Hello(hello)) }).await?;
        Ok(connection)
    };
    time::timeout(CONNECT_TIMEOUT, connect).await?
}
