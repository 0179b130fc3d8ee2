//! Framed TCP connections for tarpc. A connection starts with one byte that names its service.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{MAX_FRAME_BYTES, Postcard};

/// Upper bound on the time to open a connection, the service byte included.
pub(super) const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A connection that carries values of one type in and of another out.
pub type FramedTransport<Item, SinkItem> = Transport<TcpStream, Item, SinkItem, Postcard>;

/// A service that a process can offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    Sidecar,
    Control,
    Peer,
    Directory,
}

impl Service {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sidecar => "sidecar",
            Self::Control => "control",
            Self::Peer => "peer",
            Self::Directory => "directory",
        }
    }

    fn byte(self) -> u8 {
        match self {
            Self::Sidecar => b'S',
            Self::Control => b'C',
            Self::Peer => b'P',
            Self::Directory => b'D',
        }
    }

    fn from_byte(byte: u8) -> Option<Self> {
        [Self::Sidecar, Self::Control, Self::Peer, Self::Directory]
            .into_iter()
            .find(|service| service.byte() == byte)
    }
}

/// A connection could not be made, so nothing was sent.
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

/// Returns a socket to a service; fails if it is refused or takes too long.
pub(super) async fn open_socket(
    address: SocketAddr,
    service: Service,
    limit: Duration,
) -> Result<TcpStream, ConnectError> {
    let opening = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_u8(service.byte()).await?;
        Ok(stream)
    };
    let result = match timeout(limit, opening).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
    };
    result.map_err(|cause| ConnectError { address, cause })
}

/// Returns a connection to a service; fails if it is refused or takes too long.
pub async fn connect<Item, SinkItem>(
    address: SocketAddr,
    service: Service,
) -> Result<FramedTransport<Item, SinkItem>, ConnectError>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    Ok(wrap(
        open_socket(address, service, CONNECT_LIMIT).await?,
        service,
    ))
}

/// Reads the service that an accepted connection asks for; fails on an unknown one.
pub async fn accept_service(stream: &mut TcpStream) -> io::Result<Service> {
    stream.set_nodelay(true)?;
    let byte = match timeout(CONNECT_LIMIT, stream.read_u8()).await {
        Ok(byte) => byte?,
        Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
    };
    let unknown = || {
        io::Error::new(
            io::ErrorKind::InvalidData,
            format!("no service has the byte {byte}"),
        )
    };
    Service::from_byte(byte).ok_or_else(unknown)
}

/// Wraps a socket in frames of bounded length.
pub fn wrap<Item, SinkItem>(stream: TcpStream, service: Service) -> FramedTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let framed = Framed::new(stream, codec);
    tarpc::serde_transport::new(framed, Postcard::counted(service.as_str()))
}

/// Returns a call context that ends after `limit`.
pub fn deadline_after(limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + limit;
    context
}
