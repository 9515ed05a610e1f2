//! Encodes messages, and reads and writes them as HTTP/2 bodies.

use bytes::Bytes;
use model::StepError;
use serde::{Serialize, de::DeserializeOwned};

/// Size limit of one encoded message: twice the largest request body that a router's settings allow
/// (4 MiB).
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Header that names the encoding of a message, on requests and replies. The encoding doesn't describe
/// itself: a message of another release could be decoded into something else.
pub(crate) const ENCODING_HEADER: &str = "jackdaw-encoding";

/// The encoding of this release; changes with each type that is part of a message.
pub(crate) const ENCODING: &str = "3";

/// Fails if the sender of these headers encodes messages otherwise, or doesn't name its encoding.
pub(crate) fn check_encoding(headers: &http::HeaderMap) -> Result<(), StepError> {
    match headers.get(ENCODING_HEADER) {
        Some(it) if it == ENCODING => Ok(()),
        Some(it) => Err(StepError::new("check-encoding", "peer", format!("{it:?}"))),
        None => Err(StepError::new("check-encoding", "peer", "none named")),
    }
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Bytes, StepError> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|err| StepError::new("encode", "peer", err))
}

/// Bytes that a message takes when it is encoded.
pub fn encoded_len<T: Serialize>(message: &T) -> usize {
    let mut counter = LengthCounter(0);
    // Counting can't fail: these types hold only numbers, text and lists.
    let _ = bincode::serde::encode_into_writer(message, &mut counter, bincode::config::standard());
    counter.0
}

struct LengthCounter(usize);

impl bincode::enc::write::Writer for LengthCounter {
    fn write(&mut self, bytes: &[u8]) -> Result<(), bincode::error::EncodeError> {
        self.0 += bytes.len();
        Ok(())
    }
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StepError> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    match bincode::serde::decode_from_slice(bytes, config) {
        Ok((message, n_read)) if n_read == bytes.len() => Ok(message),
        Ok(_) => Err(StepError::new("decode", "peer", "bytes after the message")),
        Err(err) => Err(StepError::new("decode", "peer", err)),
    }
}

/// Reads a body to its end; a body that is cut off or too large is an error.
pub(crate) async fn read_body(mut body: h2::RecvStream) -> Result<Vec<u8>, StepError> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|err| StepError::new("read-body", "peer", err))?;
        if bytes.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(StepError::new("read-body", "peer", "message too large"));
        }
        let _ = body.flow_control().release_capacity(chunk.len());
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

/// Writes `bytes` as flow control allows, and ends the stream.
pub(crate) async fn write_body(
    mut stream: h2::SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), StepError> {
    let failed = |err: h2::Error| StepError::new("write-body", "peer", err);
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let n_bytes = match capacity {
            Some(res) => res.map_err(failed)?.min(bytes.len()),
            None => return Err(StepError::new("write-body", "peer", "stream closed")),
        };
        let chunk = bytes.split_to(n_bytes);
        stream.send_data(chunk, bytes.is_empty()).map_err(failed)?;
    }
    Ok(())
}
