//! Converts stored results to and from messages between instances.

use std::time::Duration;

use compact_str::CompactString;
use jd_serving::Content;
use jd_serving::PieceKey;
use jd_serving::ReplicaUpdate;
use jd_serving::Shard;
use jd_serving::StoredResult;
use jd_serving::UpstreamStart;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_wire::ReplicateResultsRequest;
use jd_wire::StoredResult as WireStoredResult;
use tonic::Status;

use crate::peer_stages;

/// The longest time until a result expires that is accepted. Longer than any retention in use, and
/// short enough that a wrong figure is forgotten soon.
const MAX_EXPIRY: Duration = Duration::from_secs(30);

/// Encodes an update; expiries are given as the time left at `now`.
pub(crate) fn replicate_request(
    shard: &Shard,
    owner: Incarnation,
    update: ReplicaUpdate,
    now: MonoTime,
) -> ReplicateResultsRequest {
    let results = update.results.into_iter();
    ReplicateResultsRequest {
        shard: Some(peer_stages::wire_shard(shard)),
        owner: owner.get(),
        whole: update.whole,
        results: results.map(|r| wire_result(r, now)).collect(),
        removed: update.removed.into_iter().map(String::from).collect(),
        handed_over: false,
    }
}

fn wire_result(result: StoredResult, now: MonoTime) -> WireStoredResult {
    let expires_in = result.expires_at.since(now).as_millis();
    WireStoredResult {
        request_id: result.request_id.into(),
        stage: u32::try_from(result.piece.stage).unwrap_or(u32::MAX),
        piece: u32::try_from(result.piece.piece).unwrap_or(u32::MAX),
        handle: result.handle.into(),
        service: result.service.into(),
        upstream: result.upstream.into(),
        start_ms: result.start.millis().unwrap_or(0),
        bytes: result.bytes,
        expires_in_ms: u32::try_from(expires_in).unwrap_or(u32::MAX),
        content: result.content.number(),
    }
}

/// Decodes an update that arrived at `now`.
pub(crate) fn update_of(
    req: ReplicateResultsRequest,
    now: MonoTime,
) -> Result<(Shard, Incarnation, ReplicaUpdate), Status> {
    let shard = req.shard.map(peer_stages::shard_of);
    let shard = shard.ok_or_else(|| Status::invalid_argument("no shard is named"))?;
    let update = ReplicaUpdate {
        whole: req.whole,
        results: req.results.into_iter().map(|r| result_of(r, now)).collect(),
        removed: req.removed.into_iter().map(CompactString::from).collect(),
    };
    Ok((shard, Incarnation::new(req.owner), update))
}

fn result_of(result: WireStoredResult, now: MonoTime) -> StoredResult {
    let expires_in = Duration::from_millis(u64::from(result.expires_in_ms));
    StoredResult {
        request_id: result.request_id.into(),
        content: Content::from_number(result.content),
        piece: PieceKey {
            stage: result.stage as usize,
            piece: result.piece as usize,
        },
        handle: result.handle.into(),
        service: result.service.into(),
        upstream: result.upstream.into(),
        start: match result.start_ms {
            0 => UpstreamStart::UNKNOWN,
            ms => UpstreamStart::at_millis(ms),
        },
        bytes: result.bytes,
        expires_at: now + expires_in.min(MAX_EXPIRY),
    }
}
