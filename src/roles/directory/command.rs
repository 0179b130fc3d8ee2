//! The commands of the directory's replicated log and its snapshots, as they are stored.
//!
//! Logs and snapshots of versions without evacuations remain readable: a log entry that is not marked
//! as a [`Command`] is a [`PutDocument`], and a snapshot may end after the document.

use serde::{Deserialize, Serialize};

use crate::domain::evacuation::{Evacuations, ZoneOrder};
use crate::rpc::directory::Published;
use crate::rpc::{decode, encode};

/// Precedes every command other than a bare [`PutDocument`], which begins with a version: no
/// encoded number has ten bytes of 0xff.
const MARK: [u8; 10] = [0xff; 10];

/// Publishes a document. Stored without a mark.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutDocument {
    pub version: u64,
    pub body: Vec<u8>,
}

/// The commands that are stored with a mark.
#[derive(Serialize, Deserialize)]
enum Marked {
    Evacuation(ZoneOrder),
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    Put(PutDocument),
    Evacuation(ZoneOrder),
}

impl Command {
    /// Returns the bytes that are stored in the log.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        match self {
            Self::Put(put) => encode(put),
            Self::Evacuation(order) => {
                let mut bytes = MARK.to_vec();
                bytes.extend(encode(&Marked::Evacuation(order.clone()))?);
                Ok(bytes)
            }
        }
    }

    /// Decodes a log entry of this version or an earlier one.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match bytes.strip_prefix(&MARK) {
            Some(marked) => match decode(marked)? {
                Marked::Evacuation(order) => Ok(Self::Evacuation(order)),
            },
            None => decode(bytes).map(Self::Put),
        }
    }
}

/// The whole state of the directory, as a snapshot stores it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    pub published: Option<Published>,
    pub evacuations: Evacuations,
}

impl Snapshot {
    /// Returns the bytes that are stored. As long as no order was given, earlier versions can read
    /// them too.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = encode(&self.published)?;
        if self.evacuations.revision() > 0 {
            bytes.extend(encode(&self.evacuations)?);
        }
        Ok(bytes)
    }

    /// Decodes a snapshot of this version or an earlier one.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (published, rest) = postcard::take_from_bytes(bytes)?;
        let evacuations = match rest {
            [] => Evacuations::default(),
            rest => decode(rest)?,
        };
        Ok(Self {
            published,
            evacuations,
        })
    }
}
