//! A body that is read whole into memory that is taken before.

use std::sync::Arc;

use bytes::Bytes;
use jd_policy::AnswerEnd;
use snafu::Snafu;

use crate::AnswerBytes;
use crate::AnswerMemory;
use crate::UnfinishedAnswer;

/// Bytes of each answer that take no memory, since connections have room for them.
const OWN_BYTES: usize = 4 << 10;
/// The smallest and the largest segment, in bytes.
const MIN_SEGMENT_BYTES: usize = 512;
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// Why an answer was not read whole.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
pub enum ReadError {
    /// The connection broke first.
    #[snafu(display("the connection broke before the answer was complete"))]
    Broken,
    /// It is larger than answers may be.
    #[snafu(display("the answer is larger than {limit} bytes"))]
    TooLarge {
        /// The largest size, in bytes.
        limit: usize,
    },
    /// It was the largest when memory was short.
    #[snafu(display("the answer was the largest one when no memory was left"))]
    Largest,
    /// Others hold the memory. This says nothing against the server.
    #[snafu(display("no memory is left for the answer; ask again later"))]
    NoRoom,
}

impl From<AnswerEnd> for ReadError {
    fn from(end: AnswerEnd) -> ReadError {
        match end {
            AnswerEnd::Largest => ReadError::Largest,
            AnswerEnd::NoRoom => ReadError::NoRoom,
        }
    }
}

/// An answer, as far as it has been read.
///
/// It is kept in segments, so that nothing is held twice while it grows.
#[derive(Debug)]
pub struct AnswerBuffer {
    segments: Vec<Vec<u8>>,
    received: usize,
    capacity: usize,
    limit: usize,
    answer: UnfinishedAnswer,
}

/// A part of a complete answer, and the memory of the whole.
#[derive(Debug)]
struct Segment {
    data: Vec<u8>,
    _memory: Arc<AnswerBytes>,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl AnswerBuffer {
    /// An empty answer of at most `limit` bytes.
    pub fn new(memory: &Arc<AnswerMemory>, limit: usize) -> AnswerBuffer {
        AnswerBuffer {
            segments: Vec::new(),
            received: 0,
            capacity: 0,
            limit,
            answer: memory.begin(),
        }
    }

    /// Adds the next part.
    pub async fn push(&mut self, mut part: &[u8]) -> Result<(), ReadError> {
        let limit = self.limit;
        if self.received + part.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        self.received += part.len();
        while !part.is_empty() {
            let last = self.segments.last_mut();
            let Some(segment) = last.filter(|s| s.len() < s.capacity()) else {
                self.add_segment(part.len()).await?;
                continue;
            };
            let free = segment.capacity() - segment.len();
            let (now, rest) = part.split_at(part.len().min(free));
            segment.extend_from_slice(now);
            part = rest;
        }
        Ok(())
    }

    async fn add_segment(&mut self, pending: usize) -> Result<(), ReadError> {
        let size = pending.max(self.capacity);
        let size = size.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        if self.capacity + size > OWN_BYTES {
            self.answer.grow_to(self.capacity + size).await?;
        }
        self.capacity += size;
        self.segments.push(Vec::with_capacity(size));
        Ok(())
    }

    /// Fails once the answer has to give its memory back.
    pub async fn until_revoked<T>(&self) -> Result<T, ReadError> {
        self.answer.until_revoked().await;
        Err(ReadError::Largest)
    }

    /// The complete answer. Its memory is given back with the last segment.
    pub fn finish(self) -> Vec<Bytes> {
        let memory = Arc::new(self.answer.finish());
        let segments = self.segments.into_iter().map(|data| {
            Bytes::from_owner(Segment {
                data,
                _memory: Arc::clone(&memory),
            })
        });
        segments.collect()
    }

    /// The complete answer in one piece. Memory for both is taken while it is copied.
    pub async fn finish_joined(mut self) -> Result<Bytes, ReadError> {
        if self.segments.len() > 1 {
            if self.capacity > OWN_BYTES {
                self.answer.grow_to(self.capacity + self.received).await?;
            }
            let mut joined = Vec::with_capacity(self.received);
            for segment in std::mem::take(&mut self.segments) {
                joined.extend_from_slice(&segment);
            }
            self.answer.shrink_to(self.received);
            self.segments.push(joined);
        }
        Ok(self.finish().pop().unwrap_or_default())
    }
}
