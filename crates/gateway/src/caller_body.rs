//! The body of a caller's request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::ClientConnection;
use jd_net::with_timeout;
use snafu::Snafu;

use crate::caller_memory::CallerMemory;
use crate::caller_memory::HeldMemory;
use crate::caller_memory::IncompleteBody;

/// Bytes of each body that are kept without taking memory, since every connection has room for them.
/// Small requests are thus never refused for want of memory.
const OWN_BYTES: usize = 4 << 10;
/// The smallest and the largest segment of a body, in bytes.
const MIN_SEGMENT_BYTES: usize = 512;
const MAX_SEGMENT_BYTES: usize = 64 << 10;
/// Bytes after which a connection whose body arrives counts as active again.
const PROGRESS_BYTES: usize = 16 << 10;
/// How long the body of a request may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The most that is read of the body of a refused request before the refusal, and how long that may
/// take. The connection then goes on.
const MAX_DISCARDED: usize = 64 << 10;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a body is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum BodyFailure {
    #[snafu(display("the body is larger than {limit} bytes; send a smaller one"))]
    TooLarge { limit: usize },
    #[snafu(display("the body was cut off; send it again whole"))]
    Truncated,
    #[snafu(display("the body did not arrive in time"))]
    Late,
    #[snafu(display("no memory is left for the body; send it again later or to another instance"))]
    NoMemory,
    #[snafu(display("the body stalled while others needed its memory; send it again"))]
    Stalled,
}

/// A complete body, in segments. Its memory is given back with the last clone of each.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerBody(Vec<Bytes>);

impl CallerBody {
    pub(crate) fn segments(&self) -> &[Bytes] {
        &self.0
    }

    /// The body of a request to an upstream or to another instance.
    pub(crate) fn to_http(&self) -> Body {
        jd_net::segmented(self.0.clone())
    }
}

/// A part of a body, with the memory that it takes.
#[derive(Debug)]
struct Segment {
    data: Vec<u8>,
    _memory: Option<HeldMemory>,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Reads the body of a request into memory that it takes before.
#[derive(Debug)]
pub(crate) struct BodyReader {
    memory: Arc<CallerMemory>,
    client: Option<ClientConnection>,
    limit: usize,
    segments: Vec<Segment>,
    received: usize,
    capacity: usize,
    /// Set once the body needs more than [`OWN_BYTES`].
    incomplete: Option<IncompleteBody>,
    /// The bytes that had been received when the connection last counted as active.
    active_bytes: Option<usize>,
}

impl BodyReader {
    /// Reads bodies of at most `limit` bytes on the connection of a client, if it is known.
    pub(crate) fn new(
        memory: &Arc<CallerMemory>,
        client: Option<ClientConnection>,
        limit: usize,
    ) -> BodyReader {
        BodyReader {
            memory: Arc::clone(memory),
            client,
            limit,
            segments: Vec::new(),
            received: 0,
            capacity: 0,
            incomplete: None,
            active_bytes: None,
        }
    }

    /// Fails if the announced length of a body is over the limit.
    pub(crate) fn check_length(&self, body: &Incoming) -> Result<(), BodyFailure> {
        let limit = self.limit;
        match usize::try_from(body.size_hint().lower()) {
            Ok(length) if length <= limit => Ok(()),
            _ => TooLargeSnafu { limit }.fail(),
        }
    }

    /// Reads a body. What was read of one that fails is given back at once.
    pub(crate) async fn read(mut self, body: &mut Incoming) -> Result<CallerBody, BodyFailure> {
        if body.is_end_stream() {
            return Ok(CallerBody::default());
        }
        self.check_length(body)?;
        let reading = with_timeout(BODY_TIMEOUT, self.read_frames(body));
        reading.await.unwrap_or(Err(BodyFailure::Late))?;
        if let (Some(client), Some(_)) = (&self.client, self.active_bytes) {
            client.has_body();
        }
        let segments = self.segments.into_iter().map(Bytes::from_owner);
        Ok(CallerBody(segments.collect()))
    }

    async fn read_frames(&mut self, body: &mut Incoming) -> Result<(), BodyFailure> {
        while let Some(data) = self.next_data(body).await? {
            if self.received + data.len() > self.limit {
                let limit = self.limit;
                return TooLargeSnafu { limit }.fail();
            }
            let announced = body.size_hint().exact();
            let left = announced.and_then(|left| usize::try_from(left).ok());
            self.keep(&data, left).await?;
        }
        Ok(())
    }

    /// The next part of a body; none after the last one.
    async fn next_data(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, BodyFailure> {
        loop {
            let mut frame = body.frame();
            let frame = match future::poll_once(&mut frame).await {
                Some(frame) => frame,
                None => {
                    self.record_wait();
                    let arrival = async { Ok(frame.await) };
                    match &self.incomplete {
                        Some(incomplete) => arrival.or(revoked(incomplete)).await?,
                        None => arrival.await?,
                    }
                }
            };
            match frame.map(|f| f.map(|f| f.into_data())) {
                None => return Ok(None),
                Some(Ok(Ok(data))) => return Ok(Some(data)),
                // Trailers are not passed on.
                Some(Ok(Err(_))) => {}
                Some(Err(_)) => return TruncatedSnafu.fail(),
            }
        }
    }

    /// Records that the connection waits for its client, if it has made progress.
    fn record_wait(&mut self) {
        let is_active = self
            .active_bytes
            .is_none_or(|before| self.received >= before + PROGRESS_BYTES);
        if let Some(client) = self.client.as_ref().filter(|_| is_active) {
            self.active_bytes = Some(self.received);
            client.waits_for_body();
        }
    }

    /// Keeps a part of the body, after which `left` bytes are expected, if that is known.
    async fn keep(&mut self, mut data: &[u8], left: Option<usize>) -> Result<(), BodyFailure> {
        self.received += data.len();
        if let Some(incomplete) = &self.incomplete {
            incomplete.received(data.len());
        }
        while !data.is_empty() {
            let room = self.segments.last_mut();
            let room = room.filter(|s| s.data.len() < s.data.capacity());
            let Some(segment) = room else {
                self.add_segment(data.len(), left).await?;
                continue;
            };
            let free = segment.data.capacity() - segment.data.len();
            let (part, rest) = data.split_at(data.len().min(free));
            segment.data.extend_from_slice(part);
            data = rest;
        }
        Ok(())
    }

    /// Adds a segment for at least one of `pending` bytes. Segments grow with the body, up to what is
    /// left of it.
    async fn add_segment(
        &mut self,
        pending: usize,
        left: Option<usize>,
    ) -> Result<(), BodyFailure> {
        let size = pending.max(self.capacity);
        let size = size.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        let size = left.map_or(size, |left| size.min(pending + left));
        let memory = match self.capacity + size {
            ..=OWN_BYTES => None,
            _ => {
                let memory = &self.memory;
                let incomplete = self.incomplete.get_or_insert_with(|| memory.begin());
                let taken = incomplete.take(size).await;
                Some(taken.ok_or(BodyFailure::NoMemory)?)
            }
        };
        self.capacity += size;
        self.segments.push(Segment {
            data: Vec::with_capacity(size),
            _memory: memory,
        });
        Ok(())
    }
}

/// Fails once a body has to give its memory back.
async fn revoked<T>(incomplete: &IncompleteBody) -> Result<T, BodyFailure> {
    incomplete.until_revoked().await;
    StalledSnafu.fail()
}

/// Reads a small body without keeping it. Returns false if some of it is left.
pub(crate) async fn discard_small(body: &mut Incoming) -> bool {
    match body.size_hint().lower() {
        length if length > MAX_DISCARDED as u64 => false,
        _ => discard(body, MAX_DISCARDED, DISCARD_TIMEOUT).await,
    }
}

/// Reads a body of at most `limit` bytes without keeping it. Returns false if some of it is left.
pub(crate) async fn discard_all(body: &mut Incoming, limit: usize) -> bool {
    discard(body, limit, BODY_TIMEOUT).await
}

async fn discard(body: &mut Incoming, limit: usize, timeout: Duration) -> bool {
    let reading = async {
        let mut left = limit;
        while let Some(frame) = body.frame().await {
            let read = frame.map_or(usize::MAX, |f| f.data_ref().map_or(0, Bytes::len));
            match left.checked_sub(read) {
                Some(rest) => left = rest,
                None => return false,
            }
        }
        true
    };
    with_timeout(timeout, reading).await.unwrap_or(false)
}
