//! The listener for calls of other processes.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};

use super::Service;
use super::connection::accept_service;

/// Serves one connection until it closes.
pub type Handler = Arc<dyn Fn(TcpStream) + Send + Sync>;

/// The services that a process offers.
#[derive(Default, Clone)]
pub struct Services {
    handlers: BTreeMap<Service, Handler>,
}

impl Services {
    /// Adds a service. `call_handler!` makes the handler from a server of a concrete type.
    pub fn offer(&mut self, service: Service, handler: Handler) {
        self.handlers.insert(service, handler);
    }
}

/// Makes a handler of connections from a server.
///
/// A macro, because the futures of tarpc's traits are known to be `Send` only for a concrete type.
#[macro_export]
macro_rules! call_handler {
    ($service:expr, $server:expr) => {{
        let server = $server;
        let handler: $crate::rpc::Handler = std::sync::Arc::new(move |stream| {
            let transport = $crate::rpc::wrap(stream, $service);
            let channel = tarpc::server::BaseChannel::with_defaults(transport);
            let calls = tarpc::server::Channel::execute(channel, server.clone().serve());
            tokio::spawn(futures::StreamExt::for_each(calls, |call| async {
                tokio::spawn(call);
            }));
        });
        handler
    }};
}

/// Accepts connections and hands them to the service that they ask for. Does not return.
pub async fn serve(listener: TcpListener, services: Services) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(dispatch(stream, services.clone()));
            }
            Err(error) => {
                // Out of file descriptors, most likely; the pause lets some be closed.
                tracing::error!(%error, "cannot accept a connection");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn dispatch(mut stream: TcpStream, services: Services) {
    let peer = stream.peer_addr();
    let handler = match accept_service(&mut stream).await {
        Ok(service) => services.handlers.get(&service).ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::Unsupported,
                format!("no {} service here", service.as_str()),
            )
        }),
        Err(error) => Err(error),
    };
    match handler {
        Ok(handler) => handler(stream),
        Err(error) => tracing::warn!(?peer, %error, "connection refused"),
    }
}
