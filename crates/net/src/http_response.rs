//! An answer that is still coming in.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::SendError;
use crate::http_pool::Connection;
use crate::http_pool::Shared;

/// An answer that is still coming in. Once it has been read to its end the
/// connection goes back to its pool; dropped before that, it is closed.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    shared: Arc<Shared>,
}

impl HttpResponse {
    pub(crate) fn new(
        res: http::Response<Incoming>,
        connection: Connection,
        shared: Arc<Shared>,
    ) -> HttpResponse {
        let (parts, body) = res.into_parts();
        HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            connection: Some(connection),
            shared,
        }
    }

    /// A header's value as text; none if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// The next part of the body; none at its end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| SendError::Broken)?;
            self.note_progress();
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        if let Some(connection) = self.connection.take() {
            self.shared.put_back(connection);
        }
        Ok(None)
    }

    /// The whole body, at most `limit` bytes of it.
    pub async fn read_all(mut self, limit: usize) -> Result<Bytes, SendError> {
        let mut buf = BytesMut::new();
        while let Some(part) = self.chunk().await? {
            if buf.len() + part.len() > limit {
                return Err(SendError::Broken);
            }
            buf.extend_from_slice(&part);
        }
        Ok(buf.freeze())
    }

    fn note_progress(&self) {
        if let Some(c) = &self.connection {
            self.shared.heard(c);
        }
    }
}
