//! Each fault that the proxy injects, tested with an echo server.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lilacspindle::proxy::{Direction, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const SILENCE: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_secs(10);

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                // An error ends this connection; the test sees that at the client's end.
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn proxy() -> Proxy {
    Proxy::start(echo_server().await).await.expect("proxy")
}

async fn connect(proxy: &Proxy) -> TcpStream {
    TcpStream::connect(proxy.address()).await.expect("connect")
}

/// Sends bytes and returns whether the same bytes come back within the limit.
async fn echoes(stream: &mut TcpStream, bytes: &[u8], limit: Duration) -> bool {
    let exchange = async {
        stream.write_all(bytes).await.ok()?;
        let mut answer = vec![0; bytes.len()];
        stream.read_exact(&mut answer).await.ok()?;
        Some(answer == bytes)
    };
    timeout(limit, exchange).await.ok().flatten() == Some(true)
}

/// Guards against a proxy that alters bytes or drops a half-closed connection.
#[tokio::test]
async fn passes_bytes_and_close_unchanged() {
    let proxy = proxy().await;
    let mut stream = connect(&proxy).await;
    let bytes: Vec<u8> = (0..200_000u32).map(|i| i.to_le_bytes()[0]).collect();
    let (mut read, mut write) = stream.split();
    let send = async {
        write.write_all(&bytes).await.expect("send");
        write.shutdown().await.expect("close");
    };
    let mut answer = Vec::new();
    let ((), read) = tokio::join!(send, read.read_to_end(&mut answer));
    read.expect("read");
    assert!(answer == bytes);
}

/// Guards against a delay that is not applied, and against jitter that reorders bytes.
#[tokio::test]
async fn delays_both_ways_in_order() {
    let proxy = proxy().await;
    proxy.delay(Direction::Both, 50, 20);
    let mut stream = connect(&proxy).await;
    let start = Instant::now();
    for number in 0..3 {
        assert!(echoes(&mut stream, &[number; 9], LIMIT).await);
    }
    assert!(start.elapsed() >= Duration::from_millis(300));
}

/// Guards against a silent drop that closes the connection, delivers bytes, or affects later
/// connections.
#[tokio::test]
async fn drops_silently_each_way() {
    for direction in [Direction::ToTarget, Direction::ToClient, Direction::Both] {
        let proxy = proxy().await;
        let mut old = connect(&proxy).await;
        assert!(echoes(&mut old, b"before", LIMIT).await);
        proxy.drop_silently(direction);
        assert!(!echoes(&mut old, b"lost", SILENCE).await);
        proxy.heal();
        assert!(!echoes(&mut old, b"still", SILENCE).await, "{direction:?}");
        let mut new = connect(&proxy).await;
        assert!(echoes(&mut new, b"after", LIMIT).await);
    }
}

/// Guards against `silence_open` affecting new connections or closing the old ones.
#[tokio::test]
async fn silence_open_affects_only_open_connections() {
    let proxy = proxy().await;
    let mut old = connect(&proxy).await;
    assert!(echoes(&mut old, b"before", LIMIT).await);
    proxy.silence_open();
    let mut new = connect(&proxy).await;
    assert!(echoes(&mut new, b"new", LIMIT).await);
    assert!(!echoes(&mut old, b"lost", SILENCE).await);
    // The connection is still open: a read neither returns the end of the stream nor fails.
    let mut byte = [0];
    assert!(timeout(SILENCE, old.read(&mut byte)).await.is_err());
}

/// Guards against a reset that looks like an ordinary close.
#[tokio::test]
async fn reset_is_visible_to_the_client() {
    let proxy = proxy().await;
    let mut stream = connect(&proxy).await;
    assert!(echoes(&mut stream, b"before", LIMIT).await);
    proxy.reset_open();
    let mut byte = [0];
    let error = timeout(LIMIT, stream.read(&mut byte)).await.expect("ends");
    assert_eq!(error.expect_err("reset").kind(), ErrorKind::ConnectionReset);
    let mut new = connect(&proxy).await;
    assert!(echoes(&mut new, b"new", LIMIT).await);
    proxy.refuse_new(true);
    let mut refused = connect(&proxy).await;
    assert!(!echoes(&mut refused, b"refused", LIMIT).await);
}

/// Guards against a pause that loses the bytes that it held back.
#[tokio::test]
async fn resume_delivers_bytes_held_by_pause() {
    let proxy = proxy().await;
    let mut stream = connect(&proxy).await;
    assert!(echoes(&mut stream, b"before", LIMIT).await);
    proxy.pause(Direction::ToClient);
    stream.write_all(b"held").await.expect("send");
    let mut answer = [0; 4];
    assert!(timeout(SILENCE, stream.read(&mut answer)).await.is_err());
    proxy.resume(Direction::ToClient);
    let read = timeout(LIMIT, stream.read_exact(&mut answer)).await;
    read.expect("in time").expect("read");
    assert_eq!(&answer, b"held");
}

/// Guards against a rate limit that is not applied or loses bytes.
#[tokio::test]
async fn throttle_limits_the_rate() {
    let proxy = proxy().await;
    proxy.throttle(Direction::ToTarget, Some(20_000));
    let mut stream = connect(&proxy).await;
    let start = Instant::now();
    assert!(echoes(&mut stream, &[7; 10_000], LIMIT).await);
    assert!(start.elapsed() >= Duration::from_millis(450));
}

/// Guards against connections that stay registered after both ends have closed.
#[tokio::test]
async fn closed_connections_are_removed_and_retarget_works() {
    let proxy = proxy().await;
    let mut stream = connect(&proxy).await;
    assert!(echoes(&mut stream, b"one", LIMIT).await);
    assert_eq!(proxy.open_connections(), 1);
    drop(stream);
    for _ in 0..500 {
        if proxy.open_connections() == 0 {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(proxy.open_connections(), 0);
    proxy.retarget(echo_server().await);
    let mut stream = connect(&proxy).await;
    assert!(echoes(&mut stream, b"two", LIMIT).await);
    assert_eq!(proxy.accepted_connections(), 2);
}
