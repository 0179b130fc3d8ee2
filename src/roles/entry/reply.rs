//! HTTP responses.

use std::io::Cursor;

use futures::StreamExt;
use futures::stream::BoxStream;
use rocket::http::{ContentType, Header, Status};
use rocket::response::Response;
use rocket::response::stream::ReaderStream;

use super::metrics::OpenRequest;

/// The body of a response.
pub(super) enum Body {
    Buffered(Vec<u8>),
    Stream(BoxStream<'static, Vec<u8>>),
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Buffered(text.into_bytes())
    }
}

/// An HTTP response.
pub(super) struct Reply {
    pub status: Status,
    pub content_type: Option<ContentType>,
    pub headers: Vec<(String, String)>,
    pub body: Body,
}

impl Reply {
    /// Returns a response with status 200 and a JSON body.
    pub fn json(text: String) -> Self {
        Self {
            status: Status::Ok,
            content_type: Some(ContentType::JSON),
            headers: Vec::new(),
            body: text.into(),
        }
    }

    /// Returns a response with status 200 and a stream of server-sent events.
    pub fn events(events: BoxStream<'static, Vec<u8>>) -> Self {
        Self {
            status: Status::Ok,
            content_type: Some(ContentType::EventStream),
            headers: vec![("Cache-Control".to_owned(), "no-cache".to_owned())],
            body: Body::Stream(events),
        }
    }

    /// Converts to a Rocket response. A streamed request counts as open until its body has been
    /// sent or dropped.
    pub fn into_response<'r>(self, open_request: OpenRequest) -> Response<'r> {
        let mut response = Response::new();
        response.set_status(self.status);
        for (name, value) in self.headers {
            response.adjoin_header(Header::new(name, value));
        }
        if let Some(content_type) = self.content_type {
            response.set_header(content_type);
        }
        response.set_header(Header::new(
            "Lilac-Request-Id",
            open_request.request().to_string(),
        ));
        match self.body {
            Body::Buffered(bytes) => response.set_sized_body(bytes.len(), Cursor::new(bytes)),
            Body::Stream(chunks) => {
                let chunks = chunks.map(move |bytes| {
                    let _open = &open_request;
                    Cursor::new(bytes)
                });
                response.set_streamed_body(ReaderStream::from(chunks));
            }
        }
        response
    }
}
