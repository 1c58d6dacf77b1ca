//! Framing of messages between daemons: a 4-byte big-endian length, followed by a prost message.

use std::io;
use std::marker::PhantomData;

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec;

/// Maximum length of a frame that is read or written.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Encodes and decodes length-delimited prost messages of one type.
#[derive(Debug)]
pub struct ProstCodec<Frame> {
    frames: codec::LengthDelimitedCodec,
    marker: PhantomData<Frame>,
}

impl<Frame> Default for ProstCodec<Frame> {
    fn default() -> Self {
        Self::with_max_frame_bytes(MAX_FRAME_BYTES)
    }
}

impl<Frame> ProstCodec<Frame> {
    /// Creates a codec that rejects frames longer than `max_frame_bytes`.
    #[must_use]
    pub fn with_max_frame_bytes(max_frame_bytes: usize) -> Self {
        Self {
            frames: codec::LengthDelimitedCodec::builder()
                .max_frame_length(max_frame_bytes)
                .new_codec(),
            marker: PhantomData,
        }
    }
}

impl<Frame> codec::Decoder for ProstCodec<Frame>
where
    Frame: Message + Default,
{
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, io::Error> {
        let Some(bytes) = self.frames.decode(source)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        Ok(Some(frame))
    }
}

impl<Frame> codec::Encoder<Frame> for ProstCodec<Frame>
where
    Frame: Message,
{
    type Error = io::Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), io::Error> {
        self.frames.encode(bytes::Bytes::from(frame.encode_to_vec()), target)
    }
}
