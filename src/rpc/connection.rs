//! Framed TCP connections for tarpc.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use super::{MAX_FRAME_BYTES, Postcard};

/// A connection that carries requests of one type and responses of another.
pub type Framed<Item, SinkItem> = Transport<TcpStream, Item, SinkItem, Postcard>;

/// A connection could not be made.
#[derive(Debug)]
pub struct ConnectError {
    pub address: SocketAddr,
    pub cause: io::Error,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot connect to {}: {}", self.address, self.cause)
    }
}

impl std::error::Error for ConnectError {}

/// Returns a connection to `address`; fails if it is refused or takes longer than `limit`.
pub async fn connect<Item, SinkItem>(
    address: SocketAddr,
    limit: Duration,
) -> Result<Framed<Item, SinkItem>, ConnectError>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(ConnectError { address, cause }),
        Err(_) => {
            let cause = io::Error::from(io::ErrorKind::TimedOut);
            return Err(ConnectError { address, cause });
        }
    };
    wrap(stream).map_err(|cause| ConnectError { address, cause })
}

/// Returns a listener on `address`; port 0 picks a free port.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Wraps an accepted or opened socket in the frame codec.
pub fn wrap<Item, SinkItem>(stream: TcpStream) -> io::Result<Framed<Item, SinkItem>>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    stream.set_nodelay(true)?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let framed = tokio_util::codec::Framed::new(stream, codec);
    Ok(tarpc::serde_transport::new(framed, Postcard))
}

/// Returns a call context that ends after `limit`.
pub fn deadline_after(limit: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = Instant::now() + limit;
    context
}
