//! Calls to upstreams for pieces of stages, and their results.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::Content;
use crate::PieceKey;
use crate::UpstreamStart;

/// Identifies a call to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub(crate) u64);

/// The request for one piece, as it is sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceRequest {
    /// The request id of the caller's attempt.
    pub request_id: CompactString,
    /// The content of the request that the piece belongs to.
    pub content: Content,
    /// The piece.
    pub key: PieceKey,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The input of the piece.
    pub input: PieceInput,
}

/// The input of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInput {
    /// The key that the caller named.
    Caller(CompactString),
    /// The handles of results of earlier stages.
    Results(Vec<CompactString>),
}

/// A call to make, for a batch of pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchCall {
    /// Identifies the call when its result is reported.
    pub key: CallKey,
    /// The service that runs the stage.
    pub service: CompactString,
    /// The number of pieces that are still queued for the service.
    pub queued: usize,
    /// Bytes of results at the upstream, including those of this call.
    pub storage_used: u64,
    /// Bytes that cross availability zones because of this call, as far as is known.
    pub cross_zone_bytes: u64,
    /// The identity of the upstream.
    pub upstream: CompactString,
    /// The start of the upstream that the call is meant for.
    pub start: UpstreamStart,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The pieces, in the order of their results.
    pub pieces: Vec<PieceRequest>,
    /// The expected duration, including the wait for calls of other owners.
    pub expected_time: Duration,
    /// The age of the load that the upstream reported last, if it has reported any.
    pub load_age: Option<Duration>,
    /// The time-out, after which the pieces are sent to another upstream.
    pub timeout: Duration,
}

/// A query for the free result storage of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorageQuery {
    /// The service that the upstream belongs to.
    pub service: CompactString,
    /// The identity of the upstream.
    pub upstream: CompactString,
    /// The start of the upstream that the query is meant for.
    pub start: UpstreamStart,
    /// The address of the upstream.
    pub address: SocketAddr,
}

/// The result of one piece of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceResult {
    /// The piece is done. Its result is stored at the upstream under this handle.
    Done(CompactString),
    /// The deadline had passed before the upstream started the piece.
    Expired,
    /// One of the piece's inputs is gone.
    InputMissing,
    /// The upstream has no storage for the result.
    StorageFull,
    /// The piece failed.
    Failed,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// One result for each piece, in order.
    Answered(Vec<PieceResult>),
    /// The upstream rejected the call as full, and did nothing.
    Full,
    /// The upstream has asked to be sent nothing for this time. Nothing was done.
    Withheld(Duration),
    /// The upstream cannot be reached, or another one answers at its address.
    Gone,
    /// The connection broke. The upstream may be healthy and go on with the call.
    Broken,
    /// There was no usable answer before the time-out.
    Failed,
}

/// An upstream's answer to a query for its free result storage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorageReport {
    /// Bytes that are free for results.
    pub free_bytes: u64,
    /// The start of the upstream that answered.
    pub start: UpstreamStart,
}
