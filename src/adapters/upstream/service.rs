//! HTTP client for a plain service.

use std::time::Duration;

use reqwest::{Client, ClientBuilder, Method};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::UpstreamError;
use super::connections::Connections;
use crate::rpc::sidecar::ServiceResponse;

/// Timeout for opening a connection to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound on a response body, so that it fits in one RPC frame together with its headers.
const MAX_RESPONSE_BYTES: usize = 3 * 1024 * 1024;
/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn builder() -> ClientBuilder {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .redirect(reqwest::redirect::Policy::none())
        // By default reqwest resends a request after some connection errors, which could run it
        // twice.
        .retry(reqwest::retry::never())
        .no_proxy()
}

/// An HTTP call to forward to a service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    pub method: String,
    pub path_and_query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// An HTTP client for one service instance.
#[derive(Debug)]
pub struct ServiceClient {
    connections: Connections,
    base: String,
}

impl ServiceClient {
    /// Returns a client for the service at a base URL. If `reuse` is false, every call opens its
    /// own connection.
    pub fn new(base: &str, reuse: bool) -> Self {
        let build: fn() -> Client = match reuse {
            true => || builder().build().unwrap_or_default(),
            false => || {
                let builder = builder().pool_max_idle_per_host(0);
                builder.build().unwrap_or_default()
            },
        };
        Self {
            connections: Connections::new(build),
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Returns true if the service accepts connections. Sends no request, because there is no path
    /// that every service serves.
    pub async fn reachable(&self) -> bool {
        let Ok(url) = reqwest::Url::parse(&self.base) else {
            return false;
        };
        let (Some(host), Some(port)) = (url.host_str(), url.port_or_known_default()) else {
            return false;
        };
        let connecting = TcpStream::connect((host, port));
        matches!(timeout(CONNECT_TIMEOUT, connecting).await, Ok(Ok(_)))
    }

    /// Calls the service once, without retries.
    pub async fn call(
        &self,
        call: &PlainCall,
        limit: Duration,
    ) -> Result<ServiceResponse, UpstreamError> {
        let method =
            Method::from_bytes(call.method.as_bytes()).map_err(|error| UpstreamError::Refused {
                status: 400,
                message: error.to_string(),
            })?;
        let separator = match call.path_and_query.starts_with('/') {
            true => "",
            false => "/",
        };
        let url = format!("{}{separator}{}", self.base, call.path_and_query);
        let http = self.connections.client();
        let mut request = http.request(method, url).timeout(limit);
        for (name, value) in &call.headers {
            if !HOP_BY_HOP_HEADERS.contains(&name.to_ascii_lowercase().as_str()) {
                request = request.header(name, value);
            }
        }
        let mut response = request.body(call.body.clone()).send().await?;
        self.connections.check_final(&response)?;
        let headers = response.headers().iter().filter_map(|(name, value)| {
            let forwarded = !HOP_BY_HOP_HEADERS.contains(&name.as_str());
            let value = value.to_str().ok().filter(|_| forwarded)?;
            Some((name.as_str().to_owned(), value.to_owned()))
        });
        let headers = headers.collect();
        let status = response.status().as_u16();
        let mut body = Vec::new();
        while let Some(bytes) = response.chunk().await? {
            if body.len() + bytes.len() > MAX_RESPONSE_BYTES {
                return Err(UpstreamError::Broken(format!(
                    "the response is longer than {MAX_RESPONSE_BYTES} bytes"
                )));
            }
            body.extend_from_slice(&bytes);
        }
        Ok(ServiceResponse {
            status,
            headers,
            body,
        })
    }
}
