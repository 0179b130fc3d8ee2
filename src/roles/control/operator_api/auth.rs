//! Bearer-token authentication of operators.

use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use sha2::{Digest, Sha256};

use super::OperatorPort;

/// Request guard: the request carries the operators' token in exactly one `Authorization` header.
pub(super) struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let port = request.rocket().state::<OperatorPort>();
        let expected_token = port.and_then(|port| port.token.as_deref());
        let headers: Vec<_> = request.headers().get("Authorization").collect();
        let presented_token = match headers[..] {
            [header] => header.strip_prefix("Bearer "),
            _ => None,
        };
        match (expected_token, presented_token) {
            (Some(expected_token), Some(presented_token))
                if tokens_match(expected_token, presented_token) =>
            {
                Outcome::Success(Self)
            }
            _ => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

/// Compares digests, so that the response time reveals nothing about the token.
fn tokens_match(expected_token: &str, presented_token: &str) -> bool {
    Sha256::digest(expected_token) == Sha256::digest(presented_token)
}
