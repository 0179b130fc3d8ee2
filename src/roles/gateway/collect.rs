//! Buffers whole response bodies with a bound on the total memory used.
//!
//! Guards against faulty upstreams that send endless bodies. Small bodies are buffered without a
//! limit on their number. Only a few large bodies are held at a time, until their callers have
//! received them; reading of further ones pauses, which applies backpressure to their senders.

use std::sync::Arc;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bodies up to this size are read without a permit. Plain responses usually have a few KB, and 200
/// bodies of this size at once take 13 MB of the 88 MB that the smallest entry has.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Upper bound on the size of a body that is buffered whole.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Number of large bodies held at a time. As buffers double when they grow, they take up to 24 MB.
const MAX_LARGE_BODIES: usize = 3;

/// Limits how many large bodies a process holds at a time.
pub(super) struct LargeBodies(Arc<Semaphore>);

impl Default for LargeBodies {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_LARGE_BODIES)))
    }
}

/// A large body with its permit, which is returned when the body is dropped.
struct LargeBody {
    bytes: Vec<u8>,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for LargeBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl LargeBodies {
    /// Reads a body to its end. Fails if it is cut short or exceeds `MAX_BODY_BYTES`.
    pub(super) async fn collect(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut bytes = Vec::new();
        let mut permit = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.remaining();
            if length > MAX_BODY_BYTES {
                return Err(format!("the response body exceeds {MAX_BODY_BYTES} bytes"));
            }
            if length > SMALL_BODY_BYTES && permit.is_none() {
                let acquired = Arc::clone(&self.0).acquire_owned().await;
                permit = Some(acquired.map_err(|error| error.to_string())?);
            }
            // Copied, since a small frame may keep a whole read buffer alive.
            bytes.extend_from_slice(&data);
        }
        Ok(match permit {
            Some(permit) => Bytes::from_owner(LargeBody {
                bytes,
                _permit: permit,
            }),
            None => bytes.into(),
        })
    }
}
