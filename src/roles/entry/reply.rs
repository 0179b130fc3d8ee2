//! HTTP answers.

use std::io::Cursor;

use futures::StreamExt;
use futures::stream::BoxStream;
use rocket::http::{ContentType, Header, Status};
use rocket::response::Response;
use rocket::response::stream::ReaderStream;

use super::metrics::Handling;

/// The body of an answer.
pub(super) enum Body {
    Whole(Vec<u8>),
    Stream(BoxStream<'static, Vec<u8>>),
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Whole(text.into_bytes())
    }
}

/// An HTTP answer.
pub(super) struct Reply {
    pub status: Status,
    pub content_type: Option<ContentType>,
    pub headers: Vec<(String, String)>,
    pub body: Body,
}

impl Reply {
    /// Returns an answer with status 200 and a JSON body.
    pub fn json(text: String) -> Self {
        Self {
            status: Status::Ok,
            content_type: Some(ContentType::JSON),
            headers: Vec::new(),
            body: text.into(),
        }
    }

    /// Returns an answer that is a stream of events.
    pub fn events(events: BoxStream<'static, Vec<u8>>) -> Self {
        Self {
            status: Status::Ok,
            content_type: Some(ContentType::EventStream),
            headers: vec![("Cache-Control".to_owned(), "no-cache".to_owned())],
            body: Body::Stream(events),
        }
    }

    /// Returns the answer in Rocket's form. The request counts as open until its body has been
    /// handed over.
    pub fn into_response<'r>(self, handling: Handling) -> Response<'r> {
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
            handling.request().to_string(),
        ));
        match self.body {
            Body::Whole(bytes) => response.set_sized_body(bytes.len(), Cursor::new(bytes)),
            Body::Stream(chunks) => {
                let chunks = chunks.map(move |bytes| {
                    let _open = &handling;
                    Cursor::new(bytes)
                });
                response.set_streamed_body(ReaderStream::from(chunks));
            }
        }
        response
    }
}
