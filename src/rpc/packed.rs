//! Published documents as they travel: compressed, since a version goes to each entry as a whole.
//!
//! Answers the load of a document of many routes on a fleet of many entries: 1,500 routes take 0.4 MB,
//! and a hundred entries are told each version over one link of the leader.

use std::io::{self, Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use super::directory::Published;

/// Upper bound on what is unpacked. Operators' bodies are at most 2 MiB.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// A version of the document, compressed with DEFLATE.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    pub version: u64,
    deflated: Arc<[u8]>,
}

impl Packed {
    /// Compresses a document; fails only for want of memory.
    pub fn new(published: &Published) -> io::Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&published.body)?;
        Ok(Self {
            version: published.version,
            deflated: encoder.finish()?.into(),
        })
    }

    /// Returns the document; fails if the bytes are malformed, or more than any document has.
    pub fn unpack(&self) -> io::Result<Published> {
        let mut body = Vec::new();
        let mut decoder = DeflateDecoder::new(&*self.deflated).take(MAX_BODY_BYTES + 1);
        let length = decoder.read_to_end(&mut body)?;
        if u64::try_from(length).is_ok_and(|length| length > MAX_BODY_BYTES) {
            return Err(io::Error::other(format!(
                "version {} unpacks to more than {MAX_BODY_BYTES} bytes",
                self.version
            )));
        }
        Ok(Published {
            version: self.version,
            body: body.into(),
        })
    }

    /// Returns the number of bytes that travel.
    pub fn len(&self) -> usize {
        self.deflated.len()
    }

    /// Returns true if there are none, which no document packs to.
    pub fn is_empty(&self) -> bool {
        self.deflated.is_empty()
    }
}
