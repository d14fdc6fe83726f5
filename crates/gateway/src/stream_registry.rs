//! Which software version began a stream, over all instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::ResumeError;
use jd_serving::Shard;
use jd_serving::SoftwareVersion;
use jd_serving::StreamId;
use jd_serving::StreamOrigin;
use jd_serving::StreamOrigins;
use jd_serving::resume_at;
use jd_types::MonoTime;
use jd_types::splitmix64;
use jd_wire::GatewayClient;
use jd_wire::StreamQuery;
use jd_wire::StreamQueryReply;

use crate::caller_request::CallerRequest;
use crate::peer_streams;
use crate::state::State;
use crate::version_check;

/// Number of shards that streams are divided into, each with its own instances that keep origins.
/// Bounds the instances that one exchanges origins with in a large fleet.
const PARTS: u32 = 8;
/// Timeout of a call to another instance: several round trips between zones.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Most streams whose origins are being sent to other instances. Bounds the memory that instances
/// which do not answer take; beyond it, an origin is known here only.
const MAX_SENDING: usize = 256;
/// The origins of streams that this instance knows, and the exchange of origins with others.
#[derive(Debug, Default)]
pub(crate) struct StreamRegistry {
    origins: Mutex<StreamOrigins>,
    sending: AtomicUsize,
}

impl StreamRegistry {
    /// Records the origin of a stream that may be resumed until `until`, here and at the instances
    /// that keep it. Does not wait for them.
    pub(crate) fn record(
        &self,
        state: &Arc<State>,
        id: StreamId,
        origin: StreamOrigin,
        until: MonoTime,
    ) {
        let lifetime = until.since(state.now());
        self.record_here(state.now(), id.clone(), origin.clone(), lifetime);
        if self.sending.fetch_add(1, Ordering::Relaxed) >= MAX_SENDING {
            self.sending.fetch_sub(1, Ordering::Relaxed);
            state.metrics.stream_origin("not-sent");
            return;
        }
        let state = Arc::clone(state);
        let executor = Arc::clone(&state.executor);
        let sending = async move {
            send_to_keepers(&state, &id, &origin, lifetime).await;
            state.streams.sending.fetch_sub(1, Ordering::Relaxed);
        };
        executor.spawn(sending).detach();
    }

    /// Records an origin here only.
    pub(crate) fn record_here(
        &self,
        now: MonoTime,
        id: StreamId,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        lock(&self.origins).record(now, id, origin, lifetime);
    }

    /// The origin of a stream and how long it is still kept, if it is known here.
    pub(crate) fn find_here(
        &self,
        now: MonoTime,
        id: &StreamId,
    ) -> Option<(StreamOrigin, Duration)> {
        let origins = lock(&self.origins);
        let origin = origins.find(now, id)?.clone();
        Some((origin, origins.lifetime(now, id)))
    }

    /// The version at which a request may resume a stream. Asks the instances that keep the
    /// stream's origin if it is not known here.
    pub(crate) async fn resume_at(
        &self,
        state: &State,
        request: &CallerRequest,
        stream: Option<&StreamId>,
    ) -> Result<SoftwareVersion, ResumeError> {
        let service = &request.service;
        let here = stream.and_then(|id| self.find_here(state.now(), id));
        let age = request.max_stream_age();
        let mut known = state.known_versions(service, age);
        let mut source = here.as_ref().map(|_| "here");
        let mut origin = here.map(|(origin, _)| origin);
        if let (Some(id), None) = (stream, &origin) {
            for keeper in keepers(state, id) {
                let Some(reply) = ask(state, keeper, id, service, age).await else {
                    continue;
                };
                known.extend(peer_streams::versions_of(&reply));
                let now = state.now();
                let told = reply.record.as_ref();
                let told = told.and_then(|record| peer_streams::origin_of(record, now));
                if let Some((_, told, lifetime)) = told.filter(|(told, ..)| told == id) {
                    self.record_here(now, id.clone(), told.clone(), lifetime);
                    origin = Some(told);
                    source = Some("told");
                    break;
                }
            }
        }
        let mut result = resume_at(origin.as_ref(), request.customer.as_deref(), &known).cloned();
        let own = origin.filter(|o| o.customer == request.customer);
        let beginning = own.as_ref().and_then(|o| o.beginning.as_ref());
        if let (Ok(software), Some(beginning)) = (&result, beginning)
            && !version_check::is_certain(state, service, beginning, software).await
        {
            result = Err(ResumeError::UncertainOrigin);
        }
        let outcome = match &result {
            Ok(_) => source.unwrap_or("single-version"),
            Err(e) => e.as_str(),
        };
        state.metrics.stream_origin(outcome);
        log::info!(
            request = request.id(),
            stream = stream.map_or("", StreamId::as_str),
            last_event:? = request.head.last_event,
            software:? = result.as_ref().ok().map(SoftwareVersion::as_str),
            versions = known.versions.len(),
            versions_complete = known.are_complete,
            outcome;
            "stream is resumed by its caller"
        );
        result
    }
}

/// Sends an origin to the instances that keep it.
async fn send_to_keepers(state: &State, id: &StreamId, origin: &StreamOrigin, lifetime: Duration) {
    for keeper in keepers(state, id) {
        let channel = state.channels.channel_to(keeper);
        let mut client = GatewayClient::new(channel.clone());
        let record = peer_streams::wire_record(id, origin, lifetime, state.now());
        match with_timeout(CALL_TIMEOUT, client.record_stream(record)).await {
            Some(Ok(_)) => state.metrics.stream_origin("sent"),
            // An earlier version of this program does not know the call.
            Some(Err(_)) => state.metrics.stream_origin("not-taken"),
            None => {
                // This connection may hang forever while new ones work.
                channel.reset();
                state.metrics.stream_origin("silent");
            }
        }
    }
}

async fn ask(
    state: &State,
    keeper: SocketAddr,
    id: &StreamId,
    service: &CompactString,
    age: Duration,
) -> Option<StreamQueryReply> {
    let channel = state.channels.channel_to(keeper);
    let mut client = GatewayClient::new(channel.clone());
    let query = StreamQuery {
        stream: id.as_str().into(),
        service: service.to_string(),
        within_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    };
    match with_timeout(CALL_TIMEOUT, client.find_stream(query)).await {
        Some(reply) => Some(reply.ok()?.into_inner()),
        None => {
            // This connection may hang forever while new ones work.
            channel.reset();
            None
        }
    }
}

/// The other instances that keep the origin of a stream, in the order in which they are tried.
fn keepers(state: &State, id: &StreamId) -> Vec<SocketAddr> {
    let bytes = id.as_str().bytes();
    let hash = bytes.fold(0, |h, b| splitmix64(h ^ u64::from(b)));
    let mut order = state.duty_order(&Shard {
        zone: None,
        part: (hash % u64::from(PARTS)) as u32,
        parts: PARTS,
    });
    order.retain(|address| *address != state.own_entry.peer_address);
    order
}
