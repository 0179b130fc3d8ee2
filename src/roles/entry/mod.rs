//! The entry role: the HTTP front end that callers send their requests to.

mod attempt;
mod claim;
mod completions;
mod core;
mod events;
mod failure;
mod fleet;
mod generation;
mod input;
mod load;
mod metrics;
mod params;
mod poller;
mod probes;
mod prompt;
mod reader_buffer;
mod recovery;
mod reply;
mod room;
mod routes;
mod service_calls;
mod start;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use self::core::Entry;
use crate::adapters::http::{self, Server, StartError};
use crate::roles::subscriber::Subscriber;
use crate::settings::EntrySettings;

pub use room::{Acquire, RoomPort, SlotGuard};

/// A running entry role.
pub struct EntryRole {
    entry: Arc<Entry>,
    address: SocketAddr,
    server: Mutex<Option<Server>>,
}

impl EntryRole {
    /// Starts the entry without a limit on slots; fails if its address is in use.
    pub async fn start(
        settings: &EntrySettings,
        subscriber: Arc<Subscriber>,
    ) -> Result<Arc<Self>, StartError> {
        Self::start_with_room(settings, subscriber, RoomPort::unlimited()).await
    }

    /// Starts the entry, which takes its slots from `room`; fails if its address is in use.
    pub async fn start_with_room(
        settings: &EntrySettings,
        subscriber: Arc<Subscriber>,
        room: RoomPort,
    ) -> Result<Arc<Self>, StartError> {
        let entry = Entry::new(settings.clone(), subscriber, room);
        let server = http::start(settings.http_address, settings.body_limit_bytes, |rocket| {
            rocket
                .mount("/", routes::routes(&entry))
                .register("/", routes::catchers())
        })
        .await?;
        tokio::spawn(probes::probe_sidecars(Arc::downgrade(&entry)));
        Ok(Arc::new(Self {
            address: server.address,
            server: Mutex::new(Some(server)),
            entry,
        }))
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until no request is open, then stops the HTTP server.
    pub async fn drain(&self) {
        self.entry.open_requests.wait_for_none().await;
        let server = self
            .server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(server) = server {
            server.stop().await;
        }
    }
}
