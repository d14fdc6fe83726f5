//! Answers that are read whole before they are passed on.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use jd_net::Body;
use jd_net::HttpResponse;
use jd_net::SendError;

use crate::caller_memory::CallerMemory;
use crate::caller_memory::HeldMemory;

/// The smallest answer that is counted, in bytes. Connections have room for smaller ones.
const MIN_ANSWER_BYTES: usize = 4 << 10;

/// An answer, as far as it has been read. Takes memory for its bytes before they are kept, and keeps it
/// until its caller has read them.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    bytes: Vec<u8>,
    memory: HeldMemory,
    limit: usize,
}

impl HeldAnswer {
    /// Reads the whole body of a response. Fails if it is larger than `limit` bytes.
    pub(crate) async fn read_response(
        memory: &Arc<CallerMemory>,
        mut response: HttpResponse,
        limit: usize,
    ) -> Result<Bytes, SendError> {
        let mut answer = HeldAnswer::begin(memory, limit);
        while let Some(part) = response.chunk().await? {
            if !answer.push(&part) {
                return Err(SendError::Broken);
            }
        }
        Ok(answer.finish())
    }

    /// Reads the whole body of a response that was to be sent in parts. Returns none if it breaks off or
    /// is larger than `limit` bytes.
    pub(crate) async fn read_body(
        memory: &Arc<CallerMemory>,
        mut body: Body,
        limit: usize,
    ) -> Option<Bytes> {
        let mut answer = HeldAnswer::begin(memory, limit);
        while let Some(frame) = body.frame().await {
            if let Ok(part) = frame.ok()?.into_data()
                && !answer.push(&part)
            {
                return None;
            }
        }
        Some(answer.finish())
    }

    fn begin(memory: &Arc<CallerMemory>, limit: usize) -> HeldAnswer {
        HeldAnswer {
            bytes: Vec::new(),
            memory: HeldMemory::empty(memory),
            limit,
        }
    }

    /// Adds the next part. Returns false if the answer would be larger than its limit.
    fn push(&mut self, part: &[u8]) -> bool {
        if self.bytes.len() + part.len() > self.limit {
            return false;
        }
        let room = self.bytes.capacity() - self.bytes.len();
        if part.len() > room {
            // At least doubled, so that a large answer is copied a few times only.
            let added = self.bytes.capacity().max(part.len() - room);
            let capacity = self.bytes.capacity() + added;
            if capacity >= MIN_ANSWER_BYTES {
                self.memory.grow_for_answer(capacity);
            }
            self.bytes.reserve_exact(room + added);
        }
        self.bytes.extend_from_slice(part);
        true
    }

    fn finish(self) -> Bytes {
        match self.memory.is_empty() {
            true => Bytes::from(self.bytes),
            false => Bytes::from_owner(self),
        }
    }
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
