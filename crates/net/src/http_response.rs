//! A response whose body is still being received.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::BodyFraming;
use crate::SendError;
use crate::http_pool::Connection;
use crate::http_pool::PoolState;

/// A response whose body is still being received.
///
/// When the body has been read to its end, the connection returns to its pool. If the
/// response is dropped earlier, the connection is closed.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// True if the connection was opened for the request.
    pub opened: bool,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    body: Incoming,
    connection: Option<Connection>,
    shared: Arc<PoolState>,
}

impl HttpResponse {
    pub(crate) fn new(
        res: http::Response<Incoming>,
        connection: Connection,
        shared: Arc<PoolState>,
    ) -> HttpResponse {
        let (parts, body) = res.into_parts();
        HttpResponse {
            status: parts.status,
            framing: BodyFraming::of(&parts.headers, &body),
            headers: parts.headers,
            opened: !connection.is_reused(),
            body,
            connection: Some(connection),
            shared,
        }
    }

    /// The value of a header, or none if it is missing or not valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Reads the next chunk of the body. Returns none at its end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| SendError::Broken)?;
            self.record_progress();
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        if let Some(connection) = self.connection.take() {
            self.shared.put_back(connection);
        }
        Ok(None)
    }

    /// Reads the whole body. Fails if it is larger than `limit` bytes.
    pub async fn read_all(mut self, limit: usize) -> Result<Bytes, SendError> {
        let mut buf = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if buf.len() + chunk.len() > limit {
                return Err(SendError::Broken);
            }
            buf.extend_from_slice(&chunk);
        }
        Ok(buf.freeze())
    }

    fn record_progress(&self) {
        if let Some(c) = &self.connection {
            self.shared.record_received(c);
        }
    }
}

impl Drop for HttpResponse {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            self.shared.record_dropped(connection);
        }
    }
}
