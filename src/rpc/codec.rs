//! The Postcard codec for frames, with counters of the frames and bytes sent and received.

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
static FRAMES: OnceLock<IntCounterVec> = OnceLock::new();

/// The frames of a service that this process has sent, and their size without length prefixes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    pub frames: u64,
    pub bytes: u64,
}

/// Returns what this process has sent for a service.
pub fn sent_traffic(service: &str) -> Traffic {
    Traffic {
        frames: frame_counters().with_label_values(&[service, "sent"]).get(),
        bytes: byte_counters().with_label_values(&[service, "sent"]).get(),
    }
}

fn byte_counters() -> &'static IntCounterVec {
    let help = "Bytes of frames between processes, by service and direction.";
    counters(&FRAME_BYTES, "lilac_rpc_bytes_total", help)
}

fn frame_counters() -> &'static IntCounterVec {
    let help = "Frames between processes, by service and direction.";
    counters(&FRAMES, "lilac_rpc_frames_total", help)
}

fn counters(
    cell: &'static OnceLock<IntCounterVec>,
    name: &str,
    help: &str,
) -> &'static IntCounterVec {
    cell.get_or_init(|| {
        let counters = IntCounterVec::new(Opts::new(name, help), &["service", "direction"])
            .expect("constant options are valid");
        // Registration fails only if the name is taken, which the OnceLock rules out.
        let _ = registry().register(Box::new(counters.clone()));
        counters
    })
}

/// Encodes a value with Postcard, for frames and for stored files.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(value)
}

/// Decodes a value; fails on malformed input and on trailing bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

/// The codec of all frames between processes.
#[derive(Debug, Clone)]
pub struct Postcard {
    sent: TrafficCounters,
    received: TrafficCounters,
}

#[derive(Debug, Clone)]
struct TrafficCounters {
    frames: IntCounter,
    bytes: IntCounter,
}

impl TrafficCounters {
    fn new(service: &str, direction: &str) -> Self {
        let labels = [service, direction];
        Self {
            frames: frame_counters().with_label_values(&labels),
            bytes: byte_counters().with_label_values(&labels),
        }
    }

    fn record_frame(&self, length: usize) {
        self.frames.inc();
        self.bytes.inc_by(u64::try_from(length).unwrap_or(u64::MAX));
    }
}

impl Postcard {
    /// Returns a codec that counts its frames and bytes under the name of a service.
    pub(super) fn for_service(service: &str) -> Self {
        Self {
            sent: TrafficCounters::new(service, "sent"),
            received: TrafficCounters::new(service, "received"),
        }
    }
}

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        let bytes = encode(item).map_err(io::Error::other)?;
        self.sent.record_frame(bytes.len());
        Ok(bytes.into())
    }
}

impl<T: DeserializeOwned> Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<T, io::Error> {
        self.received.record_frame(source.len());
        decode(source).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
