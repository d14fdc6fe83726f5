//! Calls for pieces of stages.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::Content;
use crate::PieceKey;
use crate::UpstreamStart;

/// A call at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub(crate) u64);

/// One piece as an upstream is asked for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceRequest {
    /// The identity of the caller's attempt.
    pub request_id: CompactString,
    /// What its request is.
    pub content: Content,
    /// Which piece.
    pub key: PieceKey,
    /// How long its request waits for it.
    pub time_left: Duration,
    /// What it works on.
    pub input: PieceInput,
}

/// What a piece works on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInput {
    /// What the caller named.
    Caller(CompactString),
    /// Results of earlier stages.
    Results(Vec<CompactString>),
}

/// A call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchCall {
    /// To tell its outcome by.
    pub key: CallKey,
    /// The service that does the stage.
    pub service: CompactString,
    /// Pieces that wait for that service beside these.
    pub queued: usize,
    /// Bytes of results at the upstream, those of this call included.
    pub storage_used: u64,
    /// Bytes that cross availability zones for this call, as far as is known.
    pub cross_zone_bytes: u64,
    /// The upstream's identity.
    pub upstream: CompactString,
    /// Which start of it is meant.
    pub start: UpstreamStart,
    /// Where it answers.
    pub address: SocketAddr,
    /// The pieces, in the order of the answers.
    pub pieces: Vec<PieceRequest>,
    /// How long to wait for the answer before the pieces go elsewhere.
    pub timeout: Duration,
}

/// An upstream that is to tell how much room it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorageQuery {
    /// The service that it belongs to.
    pub service: CompactString,
    /// Its identity.
    pub upstream: CompactString,
    /// Which start of it is meant.
    pub start: UpstreamStart,
    /// Where it answers.
    pub address: SocketAddr,
}

/// What became of one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceResult {
    /// Its result lies there.
    Done(CompactString),
    /// Its time had passed at its turn.
    Expired,
    /// Something that it works on is gone.
    InputMissing,
    /// The upstream has no room for the result.
    StorageFull,
    /// It failed.
    Failed,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// One result for each piece, in order.
    Answered(Vec<PieceResult>),
    /// The upstream was full and did nothing.
    Full,
    /// The upstream takes no more for now by its own word, and did nothing. It may be asked
    /// again after this time.
    Withheld(Duration),
    /// The upstream is another one, or not there.
    Gone,
    /// The connection broke; the upstream may be well and work on.
    Broken,
    /// Nothing usable came back in time.
    Failed,
}

/// What an upstream tells of itself when it is asked for its room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorageReport {
    /// Free bytes for results.
    pub free_bytes: u64,
    /// Which start of it answers.
    pub start: UpstreamStart,
}
