//! A result of a stage that is stored at an upstream.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::Content;
use crate::PieceKey;
use crate::UpstreamStart;

/// The longest texts of a result that is replicated, in bytes. Request ids come from callers and
/// handles from upstreams, and may be of any length.
const MAX_TEXT_BYTES: usize = 512;
/// How long a result has to be stored at least to be adopted: until the call that reads it has
/// begun. Upstreams report inputs that expire before that as missing, and the call is lost.
const MIN_TIME_LEFT: Duration = Duration::from_millis(500);

/// A result of a stage that is stored at an upstream, and the piece that produced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResult {
    /// The request id of the caller's attempt.
    pub request_id: CompactString,
    /// The content of the request. A request id is the caller's choice, and two customers may
    /// use the same one.
    pub content: Content,
    /// The piece that produced the result.
    pub piece: PieceKey,
    /// The handle under which it is stored.
    pub handle: CompactString,
    /// The service that runs the stage.
    pub service: CompactString,
    /// The upstream where it is stored.
    pub upstream: CompactString,
    /// The start of the upstream that stored it.
    pub start: UpstreamStart,
    /// Its size.
    pub bytes: u64,
    /// When the upstream deletes it.
    pub expires_at: MonoTime,
}

impl StoredResult {
    /// True if the result may be replicated: its request is identified, and its texts are short.
    /// Peers of an older build send jobs without content.
    pub fn is_replicable(&self) -> bool {
        let texts = [
            &self.request_id,
            &self.handle,
            &self.service,
            &self.upstream,
        ];
        let bytes: usize = texts.iter().map(|t| t.len()).sum();
        let is_identified = !self.request_id.is_empty() && self.content != Content::default();
        is_identified && bytes <= MAX_TEXT_BYTES
    }

    /// True if the result is stored for long enough to be read by a later call.
    pub(crate) fn is_readable(&self, now: MonoTime) -> bool {
        self.expires_at > now + MIN_TIME_LEFT
    }
}
