//! Which statuses of responses are valid.

use http::StatusCode;

/// Returns true for a final status. HTTP defines those from 200 to 599: one of 1xx announces a further
/// response, or another protocol, and clients do not know what a higher one says about the request.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}
