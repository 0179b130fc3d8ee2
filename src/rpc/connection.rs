//! Framed TCP connections for tarpc. The first byte that the client sends selects the service.

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

/// Time-out for opening a connection, including the exchange of the service byte.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that receives values of type `Item` and sends values of type `SinkItem`.
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

/// A connection could not be opened, so no request was sent.
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

/// Opens a socket to a service; fails if it is refused or not open within `limit`.
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

/// Opens a connection to a service; fails if it is refused or times out.
pub async fn connect<Item, SinkItem>(
    address: SocketAddr,
    service: Service,
) -> Result<FramedTransport<Item, SinkItem>, ConnectError>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    Ok(wrap(
        open_socket(address, service, CONNECT_TIMEOUT).await?,
        service,
    ))
}

/// Reads the service byte of an accepted connection; fails if it is unknown or does not arrive in
/// time.
pub async fn accept_service(stream: &mut TcpStream) -> io::Result<Service> {
    stream.set_nodelay(true)?;
    let byte = match timeout(CONNECT_TIMEOUT, stream.read_u8()).await {
        Ok(byte) => byte?,
        Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
    };
    let unknown = || {
        io::Error::new(
            io::ErrorKind::InvalidData,
            format!("unknown service byte {byte}"),
        )
    };
    Service::from_byte(byte).ok_or_else(unknown)
}

/// Wraps a socket in a transport of frames of at most `MAX_FRAME_BYTES`.
pub fn wrap<Item, SinkItem>(stream: TcpStream, service: Service) -> FramedTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let framed = Framed::new(stream, codec);
    tarpc::serde_transport::new(framed, Postcard::for_service(service.as_str()))
}

/// Returns a call context whose deadline is `limit` from now.
pub fn deadline_after(limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + limit;
    context
}
