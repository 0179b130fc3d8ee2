//! Draws invalid documents.

use rand::RngExt;

use super::drafts::{Draft, Drafts};
use crate::platform::standin::{DOCUMENT_FAULTS, encode_document, encode_faulty_document};

/// Number of ways in which bytes are spoiled so that they cannot be read in full.
const BYTE_FAULTS: usize = 2;

/// Number of kinds of invalid documents.
const KINDS: usize = DOCUMENT_FAULTS.len() + BYTE_FAULTS;

impl Drafts {
    /// Returns an invalid document with a version above that of the last one.
    pub fn next_invalid(&mut self) -> Draft {
        let kind = self.random.random_range(0..KINDS);
        self.invalid(kind)
    }

    /// Returns one invalid document of each kind.
    pub fn every_invalid(&mut self) -> Vec<Draft> {
        (0..KINDS).map(|kind| self.invalid(kind)).collect()
    }

    fn invalid(&mut self, kind: usize) -> Draft {
        let (mut document, mut sent) = (self.document(), self.sent());
        sent.version += self.random.random_range(1..=3);
        document.version = sent.version;
        let (fault, body) = match DOCUMENT_FAULTS.get(kind) {
            Some(fault) => (fault.reason, encode_faulty_document(&document, fault)),
            None if kind == DOCUMENT_FAULTS.len() => {
                let mut body = encode_document(&document);
                body.truncate(self.random.random_range(0..body.len()));
                ("cut short", body)
            }
            None => {
                let mut body = encode_document(&document);
                body.push(b'}');
                ("bytes after the end", body)
            }
        };
        sent.fault = Some(fault.into());
        Draft::new(body, sent)
    }
}
