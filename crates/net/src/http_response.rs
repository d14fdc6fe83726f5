//! A response whose body is still being received.

use std::sync::Arc;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::AnswerBuffer;
use crate::AnswerMemory;
use crate::BodyFraming;
use crate::ReadError;
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
    memory: Arc<AnswerMemory>,
}

impl HttpResponse {
    pub(crate) fn new(
        res: http::Response<Incoming>,
        connection: Connection,
        shared: Arc<PoolState>,
        memory: Arc<AnswerMemory>,
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
            memory,
        }
    }

    /// The value of a header, or none if it is missing or not valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Reads the next chunk of the body. Returns none at its end, and fails if that is no proof that the
    /// body is whole.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| SendError::Broken)?;
            self.record_progress();
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        let Some(connection) = self.connection.take() else {
            return Ok(None);
        };
        if !self.framing.is_end_proven(connection.is_request_written()) {
            self.shared.record_dropped(&connection);
            return Err(SendError::Broken);
        }
        self.shared.put_back(connection);
        Ok(None)
    }

    /// The memory of the pool, for what is kept of the body.
    pub fn memory(&self) -> &Arc<AnswerMemory> {
        &self.memory
    }

    /// Reads the whole body into memory of the pool. Fails if it is larger than `limit` bytes, or if no
    /// memory is left.
    pub async fn read_all(self, limit: usize) -> Result<Bytes, SendError> {
        let read = async { self.read(limit).await?.finish_joined().await };
        read.await.map_err(|_: ReadError| SendError::Broken)
    }

    /// The same in segments, without a copy. Tells why it failed.
    pub async fn read_segments(self, limit: usize) -> Result<Vec<Bytes>, ReadError> {
        Ok(self.read(limit).await?.finish())
    }

    async fn read(mut self, limit: usize) -> Result<AnswerBuffer, ReadError> {
        let mut answer = AnswerBuffer::new(&self.memory, limit);
        loop {
            let chunk = async { self.chunk().await.map_err(|_: SendError| ReadError::Broken) };
            match chunk.or(answer.until_revoked()).await? {
                Some(part) => answer.push(&part).await?,
                None => return Ok(answer),
            }
        }
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
