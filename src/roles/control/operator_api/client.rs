//! Client of the operators' API. Finds the leader and retries requests that got no answer.

use std::fmt;
use std::time::{Duration, Instant};

use reqwest::{Method, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::json::{ErrorCode, ErrorReply};

/// Pause between rounds over all addresses.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Limit on connection setup for one attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on one whole attempt, so that an unresponsive instance leaves time to try the others.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// The request was rejected and not executed.
    Refused(ErrorReply),
    /// No address answered; the request was not executed.
    Unreachable(String),
    /// The request may have been executed; resend it with the same id.
    Undecided(String),
    /// The addresses or the token are invalid.
    Usage(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reply) => f.write_str(&reply.message),
            Self::Unreachable(reason) => write!(f, "no control instance answered: {reason}"),
            Self::Undecided(reason) => write!(
                f,
                "undecided, the request may have been carried out; repeat it with the same id: \
                 {reason}"
            ),
            Self::Usage(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for ClientError {}

/// The outcome of one attempt at one address.
enum Attempt<T> {
    Answer(T),
    Refused(ErrorReply),
    /// The request was not executed; `leader` is the leader's address if the instance knows it.
    NotExecuted {
        reason: String,
        leader: Option<String>,
    },
    /// The request may have been executed.
    MaybeExecuted(String),
}

/// A client that tries all control instances.
pub struct Client {
    addresses: Vec<String>,
    token: String,
    http: reqwest::Client,
    limit: Duration,
}

impl Client {
    /// Creates a client for the given base URLs. `limit` bounds the total time of a request.
    pub fn new(addresses: &[String], token: &str, limit: Duration) -> Result<Self, ClientError> {
        if addresses.is_empty() {
            let reason = "no control address; give --control or set LILAC_CONTROL";
            return Err(ClientError::Usage(reason.to_owned()));
        }
        let is_header = token.bytes().all(|byte| byte.is_ascii_graphic());
        if token.is_empty() || !is_header {
            let reason = "no usable token; give --token or set LILAC_TOKEN";
            return Err(ClientError::Usage(reason.to_owned()));
        }
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ATTEMPT_TIMEOUT.min(limit))
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()
            .map_err(|error| ClientError::Usage(format!("cannot make an HTTP client: {error}")))?;
        Ok(Self {
            addresses: addresses.iter().map(|address| base_url(address)).collect(),
            token: token.to_owned(),
            http,
            limit,
        })
    }

    /// Sends a GET request and returns the decoded answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.request(Method::GET, path, None::<&()>, &[]).await
    }

    /// Sends an idempotent POST request, which may be retried, and returns the decoded answer.
    /// Statuses in `accepted` count as success in addition to 200.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
        accepted: &[u16],
    ) -> Result<T, ClientError> {
        self.request(Method::POST, path, body, accepted).await
    }

    /// Returns the status of the instance at each address, or why it did not answer.
    pub async fn statuses(&self) -> Vec<(String, Result<Value, ClientError>)> {
        let mut statuses = Vec::new();
        for address in &self.addresses {
            let request = self.http.get(format!("{address}/v1/status"));
            let status = match self.attempt(request, None::<&()>, &[]).await {
                Attempt::Answer(status) => Ok(status),
                Attempt::Refused(reply) => Err(ClientError::Refused(reply)),
                Attempt::NotExecuted { reason, .. } | Attempt::MaybeExecuted(reason) => {
                    Err(ClientError::Unreachable(reason))
                }
            };
            statuses.push((address.clone(), status));
        }
        statuses
    }

    async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
        accepted: &[u16],
    ) -> Result<T, ClientError> {
        let deadline = Instant::now() + self.limit;
        let (mut may_have_executed, mut last_error) = (false, String::new());
        loop {
            // If an instance names the leader, the leader is tried next, in the same round.
            let mut round: Vec<String> = self.addresses.iter().rev().cloned().collect();
            let mut redirects_left = self.addresses.len();
            while let Some(address) = round.pop() {
                let request = self
                    .http
                    .request(method.clone(), format!("{address}{path}"));
                match self.attempt(request, body, accepted).await {
                    Attempt::Answer(answer) => return Ok(answer),
                    Attempt::Refused(reply) if may_have_executed => {
                        return Err(ClientError::Undecided(reply.message));
                    }
                    Attempt::Refused(reply) => return Err(ClientError::Refused(reply)),
                    Attempt::NotExecuted { reason, leader } => {
                        last_error = format!("{address}: {reason}");
                        if let Some(leader) = leader.filter(|_| redirects_left > 0) {
                            redirects_left -= 1;
                            let leader = base_url(&leader);
                            round.retain(|other| *other != leader);
                            round.push(leader);
                        }
                    }
                    Attempt::MaybeExecuted(reason) => {
                        // Only a POST has effects, so a lost GET is never undecided.
                        may_have_executed = method == Method::POST;
                        last_error = format!("{address}: {reason}");
                    }
                }
                if Instant::now() >= deadline {
                    break;
                }
            }
            if Instant::now() + RETRY_INTERVAL >= deadline {
                return Err(if may_have_executed {
                    ClientError::Undecided(last_error)
                } else {
                    ClientError::Unreachable(last_error)
                });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
        body: Option<&impl Serialize>,
        accepted: &[u16],
    ) -> Attempt<T> {
        let request = request.bearer_auth(&self.token);
        let request = match body {
            Some(body) => request.json(body),
            None => request,
        };
        let response = match request.send().await {
            Ok(response) => response,
            // Nothing was sent without a connection.
            Err(error) if error.is_connect() || error.is_builder() => {
                let reason = root_cause(&error);
                return Attempt::NotExecuted {
                    reason,
                    leader: None,
                };
            }
            Err(error) => return Attempt::MaybeExecuted(root_cause(&error)),
        };
        let status = response.status().as_u16();
        let text = match response.text().await {
            Ok(text) => text,
            Err(error) => return Attempt::MaybeExecuted(root_cause(&error)),
        };
        if status == 200 || accepted.contains(&status) {
            return match serde_json::from_str(&text) {
                Ok(answer) => Attempt::Answer(answer),
                Err(error) => Attempt::MaybeExecuted(format!("cannot decode the answer: {error}")),
            };
        }
        classify_error(status, &text)
    }
}

/// Classifies an error answer by whether the request may have been executed and may be retried.
fn classify_error<T>(status: u16, text: &str) -> Attempt<T> {
    let Ok(reply) = serde_json::from_str::<ErrorReply>(text) else {
        return Attempt::MaybeExecuted(format!("status {status}"));
    };
    match reply.error {
        ErrorCode::NotLeader => Attempt::NotExecuted {
            reason: reply.message,
            leader: reply.leader,
        },
        // An instance that is stopping may have forwarded the command first.
        ErrorCode::Unavailable | ErrorCode::Undecided | ErrorCode::Internal => {
            Attempt::MaybeExecuted(reply.message)
        }
        ErrorCode::Malformed
        | ErrorCode::TooLarge
        | ErrorCode::Unauthorized
        | ErrorCode::NotFound => Attempt::Refused(reply),
    }
}

fn base_url(address: &str) -> String {
    let address = address.trim().trim_end_matches('/');
    if address.contains("://") {
        address.to_owned()
    } else {
        format!("http://{address}")
    }
}

/// Returns the root cause of an error; the outer errors only repeat the URL.
fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    cause.to_string()
}
