//! The kept connections of an upstream's client, which are dropped if one of them cannot be trusted.

use std::sync::Mutex;

use reqwest::{Client, Response};

use super::UpstreamError;
use crate::adapters::mutex::lock;
use crate::adapters::status;

/// A client and what it is made from. Its connections close with the last copy of the client.
#[derive(Debug)]
pub(super) struct Connections {
    build: fn() -> Client,
    client: Mutex<Client>,
}

impl Connections {
    pub(super) fn new(build: fn() -> Client) -> Self {
        Self {
            build,
            client: Mutex::new(build()),
        }
    }

    pub(super) fn client(&self) -> Client {
        lock(&self.client).clone()
    }

    /// Fails unless a response has a final status. The upstream has lost track of the connection
    /// otherwise, and the library would use it again, so the client is replaced.
    pub(super) fn check_final(&self, response: &Response) -> Result<(), UpstreamError> {
        let status = response.status();
        if status::is_final(status) {
            return Ok(());
        }
        *lock(&self.client) = (self.build)();
        Err(UpstreamError::Broken(format!(
            "{status} is no final status"
        )))
    }
}
