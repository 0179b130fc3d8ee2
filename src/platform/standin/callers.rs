//! Encodes the requests of callers.

use http::header;

use crate::platform::headers;
use crate::platform::standin::MODEL;

/// The head of a caller's request.
pub(crate) struct CallHead<'a> {
    pub(crate) path: &'a str,
    pub(crate) host: &'a str,
    pub(crate) id: &'a str,
    /// Milliseconds for which the caller waits for the response.
    pub(crate) deadline_ms: u64,
    pub(crate) key: Option<&'a str>,
    /// `None` for plain calls.
    pub(crate) generation: Option<GenerationSize>,
    /// `None` if the body is sent in chunks.
    pub(crate) body_bytes: Option<usize>,
}

/// Size of a generation. Its whole prompt belongs to the session.
pub(crate) struct GenerationSize {
    pub(crate) prompt_tokens: u64,
    pub(crate) max_output_tokens: u64,
    pub(crate) session: u64,
}

/// Encodes the head of a request with a JSON body, including the empty line at its end.
pub(crate) fn encode_call_head(call: &CallHead<'_>) -> String {
    let key = call.key.map_or_else(String::new, |key| {
        format!("{}: Bearer {key}\r\n", header::AUTHORIZATION)
    });
    let generation = call.generation.as_ref().map(|size| {
        format!(
            "{}: {MODEL}\r\n{}: {prompt},{}\r\n{}: {:x}:{prompt}\r\n",
            headers::MODEL,
            headers::TOKEN_USAGE,
            size.max_output_tokens,
            headers::PROMPT_PARTS,
            size.session,
            prompt = size.prompt_tokens,
        )
    });
    let framing = match call.body_bytes {
        Some(bytes) => format!("{}: {bytes}", header::CONTENT_LENGTH),
        None => format!("{}: chunked", header::TRANSFER_ENCODING),
    };
    format!(
        "POST {} HTTP/1.1\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n{key}{}\
         {}: application/json\r\n{framing}\r\n\r\n",
        call.path,
        header::HOST,
        call.host,
        headers::REQUEST_ID,
        call.id,
        headers::DEADLINE,
        call.deadline_ms,
        generation.unwrap_or_default(),
        header::CONTENT_TYPE,
    )
}
