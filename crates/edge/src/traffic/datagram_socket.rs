//! UDP socket for datagrams between daemons.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::Sender;
use jasminetack_wire::fleet;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::control;

/// Longest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Sends datagrams of the control thread and passes received ones to it.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: Arc<UdpSocket>,
}

impl DatagramSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address is not available.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: Arc::new(UdpSocket::bind(address).await?) })
    }

    /// Starts sending and receiving datagrams.
    pub fn start(
        self,
        mut outgoing: mpsc::UnboundedReceiver<control::OutgoingDatagram>,
        control: Sender<control::Message>,
    ) {
        let socket = Arc::clone(&self.socket);
        tokio::spawn(async move {
            while let Some(message) = outgoing.recv().await {
                let bytes = message.datagram.encode_to_vec();
                for address in message.receivers {
                    if let Err(error) = socket.send_to(&bytes, address).await {
                        spdlog::debug!("datagram-lost to={address} error=\"{error}\"");
                    }
                }
            }
        });
        tokio::spawn(self.receive(control));
    }

    async fn receive(self, control: Sender<control::Message>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // The receiver of an earlier datagram rejected it (ICMP port unreachable).
                    spdlog::debug!("datagram-refused error=\"{error}\"");
                    continue;
                }
            };
            match fleet::Datagram::decode(&buffer[..length]) {
                Ok(datagram) => {
                    if control.send(control::Message::Datagram(Box::new(datagram))).is_err() {
                        return;
                    }
                }
                Err(error) => spdlog::warn!("datagram-refused from={from} problem=\"{error}\""),
            }
        }
    }
}
