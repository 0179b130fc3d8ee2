//! Postcard as the codec of frames.

use std::io;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_serde::{Deserializer, Serializer};

/// The largest frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Encodes a value, for frames and for files.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(value)
}

/// Decodes a value; fails on malformed bytes and on bytes left over.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

/// The codec of all frames between processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        let bytes = encode(item).map_err(io::Error::other)?;
        Ok(bytes.into())
    }
}

impl<T: DeserializeOwned> Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<T, io::Error> {
        decode(source).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
