//! Postcard as the codec of frames, with counters of the bytes that pass.

use std::io;
use std::pin::Pin;
use std::sync::OnceLock;

use bytes::{Bytes, BytesMut};
use prometheus::{IntCounter, IntCounterVec, Opts};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_serde::{Deserializer, Serializer};

use crate::adapters::telemetry::registry;

/// The largest frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

static FRAME_BYTES: OnceLock<IntCounterVec> = OnceLock::new();

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
#[derive(Debug, Clone)]
pub struct Postcard {
    sent_bytes: IntCounter,
    received_bytes: IntCounter,
}

impl Postcard {
    /// Returns a codec that counts its bytes under the name of a service.
    pub(super) fn counted(service: &str) -> Self {
        let counters = FRAME_BYTES.get_or_init(|| {
            let opts = Opts::new(
                "lilac_rpc_bytes_total",
                "Bytes of frames between processes, by service and direction.",
            );
            let counters = IntCounterVec::new(opts, &["service", "direction"])
                .expect("constant options are valid");
            // Registration fails only if the name is taken, which the OnceLock rules out.
            let _ = registry().register(Box::new(counters.clone()));
            counters
        });
        Self {
            sent_bytes: counters.with_label_values(&[service, "sent"]),
            received_bytes: counters.with_label_values(&[service, "received"]),
        }
    }
}

fn count(counter: &IntCounter, length: usize) {
    counter.inc_by(u64::try_from(length).unwrap_or(u64::MAX));
}

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        let bytes = encode(item).map_err(io::Error::other)?;
        count(&self.sent_bytes, bytes.len());
        Ok(bytes.into())
    }
}

impl<T: DeserializeOwned> Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<T, io::Error> {
        count(&self.received_bytes, source.len());
        decode(source).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
