//! The client of the operators' API: finds the leader and resends after lost answers.

use std::fmt;
use std::time::{Duration, Instant};

use reqwest::{Method, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::json::{ErrorCode, ErrorReply};

/// How long the client waits between rounds over all addresses.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// How long one attempt may take to connect.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// How long one attempt may take as a whole. A silent instance must leave time for the others.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(5);

/// Why a request has no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// The request was refused; nothing was done.
    Refused(ErrorReply),
    /// No address answered; nothing was done.
    Unreachable(String),
    /// The request may have been carried out; resend it with the same id.
    Undecided(String),
    /// The addresses or the token cannot be used.
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

/// What one attempt at one address brought.
enum Attempt<T> {
    Answer(T),
    Refused(ErrorReply),
    /// Nothing was done; perhaps the leader's address is known.
    NotDone {
        reason: String,
        leader: Option<String>,
    },
    /// The request may have been carried out.
    Doubtful(String),
}

/// A client of all control instances.
pub struct Client {
    addresses: Vec<String>,
    token: String,
    http: reqwest::Client,
    limit: Duration,
}

impl Client {
    /// Returns a client of the given base URLs that tries for `limit` in total.
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
            .connect_timeout(CONNECT_LIMIT)
            .timeout(ATTEMPT_LIMIT.min(limit))
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

    /// Returns the answer to a GET.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.request(Method::GET, path, None::<&()>, &[]).await
    }

    /// Returns the answer to a POST that may be repeated. Answers with a status in `accepted`
    /// count as answers beside 200.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
        accepted: &[u16],
    ) -> Result<T, ClientError> {
        self.request(Method::POST, path, body, accepted).await
    }

    /// Returns the status of every address, or why it did not answer.
    pub async fn statuses(&self) -> Vec<(String, Result<Value, ClientError>)> {
        let mut statuses = Vec::new();
        for address in &self.addresses {
            let request = self.http.get(format!("{address}/v1/status"));
            let status = match self.attempt(request, None::<&()>, &[]).await {
                Attempt::Answer(status) => Ok(status),
                Attempt::Refused(reply) => Err(ClientError::Refused(reply)),
                Attempt::NotDone { reason, .. } | Attempt::Doubtful(reason) => {
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
        let (mut is_doubtful, mut last) = (false, String::new());
        loop {
            // The leader that an instance names is asked next, in the same round.
            let mut round: Vec<String> = self.addresses.iter().rev().cloned().collect();
            let mut follows = self.addresses.len();
            while let Some(address) = round.pop() {
                let request = self
                    .http
                    .request(method.clone(), format!("{address}{path}"));
                match self.attempt(request, body, accepted).await {
                    Attempt::Answer(answer) => return Ok(answer),
                    Attempt::Refused(reply) if is_doubtful => {
                        return Err(ClientError::Undecided(reply.message));
                    }
                    Attempt::Refused(reply) => return Err(ClientError::Refused(reply)),
                    Attempt::NotDone { reason, leader } => {
                        last = format!("{address}: {reason}");
                        if let Some(leader) = leader.filter(|_| follows > 0) {
                            follows -= 1;
                            let leader = base_url(&leader);
                            round.retain(|other| *other != leader);
                            round.push(leader);
                        }
                    }
                    Attempt::Doubtful(reason) => {
                        // A read has no effect, so its loss leaves nothing in doubt.
                        is_doubtful = method == Method::POST;
                        last = format!("{address}: {reason}");
                    }
                }
                if Instant::now() >= deadline {
                    break;
                }
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                return Err(if is_doubtful {
                    ClientError::Undecided(last)
                } else {
                    ClientError::Unreachable(last)
                });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
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
            // Without a connection nothing was sent.
            Err(error) if error.is_connect() || error.is_builder() => {
                let reason = describe(&error);
                return Attempt::NotDone {
                    reason,
                    leader: None,
                };
            }
            Err(error) => return Attempt::Doubtful(describe(&error)),
        };
        let status = response.status().as_u16();
        let text = match response.text().await {
            Ok(text) => text,
            Err(error) => return Attempt::Doubtful(describe(&error)),
        };
        if status == 200 || accepted.contains(&status) {
            return match serde_json::from_str(&text) {
                Ok(answer) => Attempt::Answer(answer),
                Err(error) => Attempt::Doubtful(format!("the answer is not understood: {error}")),
            };
        }
        sort_error(status, &text)
    }
}

/// Sorts an error by whether another address, or a repeat, can help.
fn sort_error<T>(status: u16, text: &str) -> Attempt<T> {
    let Ok(reply) = serde_json::from_str::<ErrorReply>(text) else {
        return Attempt::Doubtful(format!("status {status}"));
    };
    match reply.error {
        ErrorCode::NotLeader => Attempt::NotDone {
            reason: reply.message,
            leader: reply.leader,
        },
        // A role that stops may have passed a command on before.
        ErrorCode::Unavailable | ErrorCode::Undecided | ErrorCode::Internal => {
            Attempt::Doubtful(reply.message)
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

/// Returns the innermost cause; the outer ones repeat the URL.
fn describe(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    cause.to_string()
}
