//! Converts origins of streams to and from messages between instances.

use std::time::Duration;

use jd_serving::SoftwareVersion;
use jd_serving::StreamBeginning;
use jd_serving::StreamId;
use jd_serving::StreamOrigin;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_wire::StreamQuery;
use jd_wire::StreamQueryReply;
use jd_wire::StreamRecord;

use crate::state::State;
use crate::stream_registry::FoundOrigin;

/// Longest name of a service, customer or upstream that is accepted, in bytes. Bounds what another
/// instance can have this one keep.
const MAX_NAME_BYTES: usize = 256;
/// Most versions of a service in a reply, and accepted from one. Two already say that the version
/// of an unknown stream cannot be told.
const MAX_VERSIONS: usize = 8;

pub(crate) fn wire_record(
    id: &StreamId,
    origin: &StreamOrigin,
    lifetime: Duration,
    now: MonoTime,
) -> StreamRecord {
    let beginning = origin.beginning.as_ref();
    let sent_ms_ago = beginning.map_or(0, |b| now.since(b.sent_at).as_millis());
    StreamRecord {
        stream: id.as_str().into(),
        service: origin.service.to_string(),
        customer: origin.customer.as_deref().unwrap_or("").into(),
        software: origin.software.as_ref().map(|s| s.as_str().into()),
        lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
        upstream: beginning.map_or(String::new(), |b| b.upstream.to_string()),
        start_ms: beginning.and_then(|b| b.start.millis()).unwrap_or(0),
        sent_ms_ago: u32::try_from(sent_ms_ago).unwrap_or(u32::MAX),
        handed_over: false,
    }
}

/// The origin in a message that arrived at `now`; none if it is not valid. What another instance
/// says of the age of a stream is a little less than its age by now.
pub(crate) fn origin_of(
    record: &StreamRecord,
    now: MonoTime,
) -> Option<(StreamId, StreamOrigin, Duration)> {
    let sent_ago = Duration::from_millis(u64::from(record.sent_ms_ago));
    let beginning = (!record.upstream.is_empty()).then(|| StreamBeginning {
        upstream: record.upstream.as_str().into(),
        start: match record.start_ms {
            0 => UpstreamStart::UNKNOWN,
            ms => UpstreamStart::at_millis(ms),
        },
        sent_at: now.before(sent_ago),
    });
    let id = StreamId::try_from(record.stream.as_str()).ok()?;
    let is_bounded = |name: &str| name.len() <= MAX_NAME_BYTES;
    let software = record.software.as_deref().map(SoftwareVersion::try_from);
    let origin = StreamOrigin {
        service: record.service.as_str().into(),
        customer: (!record.customer.is_empty()).then(|| record.customer.as_str().into()),
        software: software.transpose().ok()?,
        beginning,
    };
    let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
    let is_valid =
        is_bounded(&record.service) && is_bounded(&record.customer) && is_bounded(&record.upstream);
    is_valid.then_some((id, origin, lifetime))
}

/// Answers another instance's query for the origin of a stream.
pub(crate) async fn handle_query(state: &State, query: &StreamQuery) -> StreamQueryReply {
    let id = StreamId::try_from(query.stream.as_str()).ok();
    let within = Duration::from_millis(u64::from(query.within_ms));
    let versions = state.known_versions(&query.service, within).versions;
    let versions = versions.iter().take(MAX_VERSIONS);
    let found = match &id {
        Some(id) => state.streams.find_asked(state, id).await,
        None => FoundOrigin::Unknown,
    };
    let not_read = found == FoundOrigin::NotRead;
    let record = match (id, found) {
        (Some(id), FoundOrigin::Known(origin, lifetime)) => {
            Some(wire_record(&id, &origin, lifetime, state.now()))
        }
        _ => None,
    };
    StreamQueryReply {
        record,
        versions: versions.map(|v| v.as_str().into()).collect(),
        not_read,
    }
}

/// The versions in a reply, as far as they are valid.
pub(crate) fn versions_of(reply: &StreamQueryReply) -> impl Iterator<Item = SoftwareVersion> {
    let named = reply.versions.iter().take(MAX_VERSIONS);
    named.filter_map(|v| SoftwareVersion::try_from(v.as_str()).ok())
}
