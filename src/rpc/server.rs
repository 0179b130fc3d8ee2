//! The RPC listener, which hands each connection to the service that it selects.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};

use super::Service;
use super::connection::accept_service;

/// Starts serving one connection; called once per accepted connection.
pub type Handler = Arc<dyn Fn(TcpStream) + Send + Sync>;

/// The services that a process offers.
#[derive(Default, Clone)]
pub struct Services {
    handlers: BTreeMap<Service, Handler>,
}

impl Services {
    /// Adds a service. `call_handler!` builds the handler from a server of a concrete type.
    pub fn offer(&mut self, service: Service, handler: Handler) {
        self.handlers.insert(service, handler);
    }
}

/// Builds a connection handler from a tarpc server.
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

/// Accepts connections and passes each to the handler of its service. Does not return.
pub async fn serve(listener: TcpListener, services: Services) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(dispatch(stream, services.clone()));
            }
            Err(error) => {
                // Usually out of file descriptors; the pause gives other connections time to close.
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
                format!("this process offers no {} service", service.as_str()),
            )
        }),
        Err(error) => Err(error),
    };
    match handler {
        Ok(handler) => handler(stream),
        Err(error) => tracing::warn!(?peer, %error, "connection refused"),
    }
}
