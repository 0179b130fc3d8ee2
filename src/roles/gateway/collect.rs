//! Reads whole answers with a bound on the memory that all of them take together.
//!
//! Answers upstreams in trouble that send bytes without end. Small answers are read freely. Of larger
//! ones only a few are held at once, until their callers have taken them; the next one waits, and its
//! sender with it.

use std::sync::Arc;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Answers up to this size are read without waiting. Plain answers have some KB on the sites planned
/// for, and 200 of this size at once take 13 MB of the smallest entry's 88 MB.
const SMALL_BYTES: usize = 64 * 1024;
/// Upper bound on an answer that is held as a whole.
const LARGE_BYTES: usize = 4 * 1024 * 1024;
/// Larger answers held at once; with buffers that double as they grow they take up to 24 MB.
const LARGE_AT_ONCE: usize = 3;

/// The places for large answers of one process.
pub(super) struct LargeAnswers(Arc<Semaphore>);

impl Default for LargeAnswers {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(LARGE_AT_ONCE)))
    }
}

/// A large answer and its place.
struct Large {
    bytes: Vec<u8>,
    _place: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Large {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl LargeAnswers {
    /// Returns a whole body. Fails if it breaks off, or goes on beyond the bound.
    pub(super) async fn collect(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut bytes = Vec::new();
        let mut place = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.remaining();
            if length > LARGE_BYTES {
                return Err(format!("the answer has over {LARGE_BYTES} bytes"));
            }
            if length > SMALL_BYTES && place.is_none() {
                let acquired = Arc::clone(&self.0).acquire_owned().await;
                place = Some(acquired.map_err(|error| error.to_string())?);
            }
            // Copied, since a few bytes of a frame may keep a whole read buffer.
            bytes.extend_from_slice(&data);
        }
        Ok(match place {
            Some(place) => Bytes::from_owner(Large {
                bytes,
                _place: place,
            }),
            None => bytes.into(),
        })
    }
}
