//! Converts origins of streams to and from messages between instances.

use std::time::Duration;

use jd_serving::SoftwareVersion;
use jd_serving::StreamId;
use jd_serving::StreamOrigin;
use jd_wire::StreamQuery;
use jd_wire::StreamQueryReply;
use jd_wire::StreamRecord;

use crate::state::State;

/// Longest name of a service or customer that is accepted, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Most versions of a service in a reply, and accepted from one. Two already say that the version
/// of an unknown stream cannot be told.
const MAX_VERSIONS: usize = 8;

pub(crate) fn wire_record(
    id: &StreamId,
    origin: &StreamOrigin,
    lifetime: Duration,
) -> StreamRecord {
    StreamRecord {
        stream: id.as_str().into(),
        service: origin.service.to_string(),
        customer: origin.customer.as_deref().unwrap_or("").into(),
        software: origin.software.as_ref().map(|s| s.as_str().into()),
        lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
    }
}

/// The origin in a message; none if it is not valid.
pub(crate) fn origin_of(record: &StreamRecord) -> Option<(StreamId, StreamOrigin, Duration)> {
    let id = StreamId::try_from(record.stream.as_str()).ok()?;
    let is_bounded = |name: &str| name.len() <= MAX_NAME_BYTES;
    let software = record.software.as_deref().map(SoftwareVersion::try_from);
    let origin = StreamOrigin {
        service: record.service.as_str().into(),
        customer: (!record.customer.is_empty()).then(|| record.customer.as_str().into()),
        software: software.transpose().ok()?,
    };
    let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
    let is_valid = is_bounded(&record.service) && is_bounded(&record.customer);
    is_valid.then_some((id, origin, lifetime))
}

/// Answers another instance's query for the origin of a stream.
pub(crate) fn handle_query(state: &State, query: &StreamQuery) -> StreamQueryReply {
    let id = StreamId::try_from(query.stream.as_str()).ok();
    let versions = state.versions_lately(&query.service).into_iter();
    let versions = versions.take(MAX_VERSIONS);
    StreamQueryReply {
        record: id.and_then(|id| {
            let (origin, lifetime) = state.streams.find_here(state.now(), &id)?;
            Some(wire_record(&id, &origin, lifetime))
        }),
        versions: versions.map(|v| v.as_str().into()).collect(),
    }
}

/// The versions in a reply, as far as they are valid.
pub(crate) fn versions_of(reply: &StreamQueryReply) -> impl Iterator<Item = SoftwareVersion> {
    let named = reply.versions.iter().take(MAX_VERSIONS);
    named.filter_map(|v| SoftwareVersion::try_from(v.as_str()).ok())
}
