//! Which software version began a stream, over all instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use event_listener::Event;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::KnownVersions;
use jd_serving::ResumeError;
use jd_serving::SaverRole;
use jd_serving::Shard;
use jd_serving::SoftwareVersion;
use jd_serving::StreamId;
use jd_serving::StreamOrigin;
use jd_serving::StreamOrigins;
use jd_serving::UnsavedOrigins;
use jd_serving::resume_at;
use jd_types::MonoTime;
use jd_types::splitmix64;
use jd_wire::GatewayClient;
use jd_wire::StreamQuery;
use jd_wire::StreamQueryReply;

use crate::caller_request::CallerRequest;
use crate::peer_streams;
use crate::signal::Signal;
use crate::state::State;
use crate::version_check;

/// Number of shards that streams are divided into, each with its own instances that keep origins.
/// Bounds the instances that one exchanges origins with in a large fleet.
pub(crate) const PARTS: u32 = 8;
/// Timeout of a call to another instance: several round trips between zones.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a caller or another instance waits for the origins that are being read after a start.
/// Shorter than the timeout of the call that asks for it.
const READ_WAIT: Duration = Duration::from_millis(100);
/// Most streams whose origins are being sent to other instances. Bounds the memory that instances
/// which do not answer take; beyond it, an origin is known here only.
const MAX_SENDING: usize = 256;

/// How long an instance keeps a part that it was asked for: longer than the silence of an instance
/// takes to be noticed, until which instances disagree on the keepers.
const ASKED_KEPT: Duration = Duration::from_secs(2);

/// What an instance knows of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FoundOrigin {
    /// The origin, and how long it is still kept.
    Known(StreamOrigin, Duration),
    /// It is not known here.
    Unknown,
    /// It may be among the origins that this instance keeps and has not read yet.
    NotRead,
}

/// The origins of streams that this instance knows, and the exchange of origins with others.
#[derive(Debug, Default)]
pub(crate) struct StreamRegistry {
    origins: Mutex<StreamOrigins>,
    unsaved: Mutex<UnsavedOrigins>,
    /// The parts whose origins in the store have been read since this instance keeps them.
    read_parts: Mutex<BTreeSet<u32>>,
    /// The parts that this instance was asked for lately, although it may not be one of their keepers
    /// as it sees the fleet.
    asked_parts: Mutex<BTreeMap<u32, MonoTime>>,
    /// Signals that origins of a part have to be read now, and wakes those that wait for them.
    read_requested: Signal,
    read: Event,
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
        self.record_kept(state, id.clone(), origin.clone(), lifetime, false);
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

    /// Records an origin here, and has it written to the store where the versions alone do not tell
    /// it. `handed_over` is true if the instance that was to write it could not.
    pub(crate) fn record_kept(
        &self,
        state: &State,
        id: StreamId,
        origin: StreamOrigin,
        lifetime: Duration,
        handed_over: bool,
    ) {
        let now = state.now();
        let known = state.known_versions(&origin.service, lifetime);
        if handed_over || !known.seems_single() {
            lock(&self.unsaved).add(now, part_of(&id), id.clone(), handed_over);
        }
        self.record_here(now, id, origin, lifetime);
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

    /// Has the origins of all streams of a service that are known here written to the store.
    pub(crate) fn save_service(&self, now: MonoTime, service: &str) {
        let origins = lock(&self.origins);
        let streams: Vec<StreamId> = origins.of_service(now, service).cloned().collect();
        drop(origins);
        let mut unsaved = lock(&self.unsaved);
        for id in streams {
            unsaved.add(now, part_of(&id), id, false);
        }
    }

    /// The streams whose origins have to be written.
    pub(crate) fn unsaved(&self) -> MutexGuard<'_, UnsavedOrigins> {
        lock(&self.unsaved)
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

    /// The same. Waits for a moment if the origins that this instance keeps are being read.
    pub(crate) async fn find_or_read(&self, state: &State, id: &StreamId) -> FoundOrigin {
        let find = || self.find_here(state.now(), id);
        let part = part_of(id);
        let reading = async {
            while self.has_to_read(state, part) {
                let read = self.read.listen();
                self.read_requested.notify();
                if self.has_to_read(state, part) {
                    read.await;
                }
            }
        };
        if find().is_none() {
            with_timeout(READ_WAIT, reading).await;
        }
        match find() {
            Some((origin, lifetime)) => FoundOrigin::Known(origin, lifetime),
            None if self.has_to_read(state, part) => FoundOrigin::NotRead,
            None => FoundOrigin::Unknown,
        }
    }

    /// The same for a stream that this instance is asked for as a keeper.
    pub(crate) async fn find_asked(&self, state: &State, id: &StreamId) -> FoundOrigin {
        lock(&self.asked_parts).insert(part_of(id), state.now());
        self.find_or_read(state, id).await
    }

    /// True if this instance keeps a part and has not read what the store has of it. What the
    /// versions of the services tell need not be read.
    pub(crate) fn has_to_read(&self, state: &State, part: u32) -> bool {
        !lock(&self.read_parts).contains(&part)
            && self.keeps(state, part)
            && (!state.knows_upstreams() || !state.services_with_several_versions().is_empty())
    }

    /// Waits until origins of a part have to be read, at most `limit`.
    pub(crate) async fn until_read_requested(&self, limit: Duration) {
        self.read_requested.wait_timeout(limit).await;
    }

    /// Records that the origins of a part have been read.
    pub(crate) fn record_read(&self, part: u32) {
        lock(&self.read_parts).insert(part);
        self.read.notify(usize::MAX);
    }

    /// Forgets that the origins of parts were read that this instance no longer keeps.
    pub(crate) fn retain_kept_parts(&self, state: &State) {
        let now = state.now();
        lock(&self.asked_parts).retain(|_, since| now.since(*since) < ASKED_KEPT);
        let read: Vec<u32> = lock(&self.read_parts).iter().copied().collect();
        for part in read.into_iter().filter(|part| !self.keeps(state, *part)) {
            lock(&self.read_parts).remove(&part);
        }
    }

    /// True if this instance keeps the origins of a part.
    fn keeps(&self, state: &State, part: u32) -> bool {
        let order = state.duty_order(&shard(part));
        order.contains(&state.own_entry.peer_address) || lock(&self.asked_parts).contains_key(&part)
    }

    /// The version at which a request may resume a stream. Asks the instances that keep the
    /// stream's origin if it is not known here, and waits for a proof if only the versions tell it.
    pub(crate) async fn resume_at(
        &self,
        state: &State,
        request: &CallerRequest,
        stream: Option<&StreamId>,
    ) -> Result<SoftwareVersion, ResumeError> {
        let began = state.now();
        let mut found = self.look_up(state, request, stream).await;
        let mut result = found.resume_at(request);
        // Without an event to resume after, an unknown stream begins anew.
        let has_events = request.head.last_event.is_some();
        if result == Err(ResumeError::VersionsNotProven) && has_events {
            version_check::until_versions_proven(state, request).await;
            // Whatever was missing here has arrived with the proof.
            found = self.look_up(state, request, stream).await;
            result = found.resume_at(request);
        }
        let (service, own) = (&request.service, found.own_origin(request));
        let beginning = own.and_then(|o| o.beginning.as_ref());
        if let (Ok(software), Some(beginning)) = (&result, beginning)
            && !version_check::is_certain(state, service, beginning, software).await
        {
            result = Err(ResumeError::UncertainOrigin);
        }
        let outcome = match &result {
            Ok(_) => found.source.unwrap_or("single-version"),
            Err(e) => e.as_str(),
        };
        state.metrics.stream_origin(outcome);
        log::info!(
            request = request.id(),
            stream = stream.map_or("", StreamId::as_str),
            last_event:? = request.head.last_event,
            software:? = result.as_ref().ok().map(SoftwareVersion::as_str),
            versions = found.known.versions.len(),
            versions_complete = found.known.complete_until.is_some(),
            proof_ms:? = state.proof_age().map(|age| age.as_millis() as u64),
            request_ms = state.now().since(request.arrived).as_millis() as u64,
            took_ms = state.now().since(began).as_millis() as u64,
            outcome;
            "stream is resumed by its caller"
        );
        result
    }

    /// Finds the origin of a stream, here or at the instances that keep it, and the versions of its
    /// service.
    async fn look_up(
        &self,
        state: &State,
        request: &CallerRequest,
        stream: Option<&StreamId>,
    ) -> LookedUp {
        let service = &request.service;
        let age = request.max_stream_age();
        let mut found = LookedUp::default();
        if let Some(id) = stream {
            found.take(self.find_or_read(state, id).await, "here");
        }
        found.known = state.known_versions(service, age);
        let (Some(id), None) = (stream, &found.origin) else {
            return found;
        };
        let mut answers = 0;
        for keeper in keepers(state, id) {
            let Some(reply) = ask(state, keeper, id, service, age).await else {
                continue;
            };
            answers += 1;
            found.known.extend(peer_streams::versions_of(&reply));
            found.not_read |= reply.not_read;
            let now = state.now();
            let told = reply.record.as_ref();
            let told = told.and_then(|record| peer_streams::origin_of(record, now));
            if let Some((_, told, lifetime)) = told.filter(|(told, ..)| told == id) {
                self.record_here(now, id.clone(), told.clone(), lifetime);
                found.take(FoundOrigin::Known(told, lifetime), "told");
                return found;
            }
        }
        if answers == 0 {
            // They may have been killed moments ago, all at once.
            found.take(self.find_asked(state, id).await, "read");
        }
        found
    }
}

/// What is found of a stream that is taken up.
#[derive(Debug, Default)]
struct LookedUp {
    origin: Option<StreamOrigin>,
    /// Who knows the origin.
    source: Option<&'static str>,
    /// True if the origin may not have been read yet.
    not_read: bool,
    known: KnownVersions,
}

impl LookedUp {
    fn take(&mut self, found: FoundOrigin, source: &'static str) {
        match found {
            FoundOrigin::Known(origin, _) => {
                self.origin = Some(origin);
                self.source = Some(source);
            }
            FoundOrigin::NotRead => self.not_read = true,
            FoundOrigin::Unknown => {}
        }
    }

    fn resume_at(&self, request: &CallerRequest) -> Result<SoftwareVersion, ResumeError> {
        let (origin, customer) = (self.origin.as_ref(), request.customer.as_deref());
        match resume_at(origin, customer, &self.known, request.arrived) {
            Err(ResumeError::UnknownOrigin) if self.not_read => Err(ResumeError::OriginNotRead),
            result => result.cloned(),
        }
    }

    fn own_origin(&self, request: &CallerRequest) -> Option<&StreamOrigin> {
        let origin = self.origin.as_ref();
        origin.filter(|o| o.customer == request.customer)
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
pub(crate) fn keepers(state: &State, id: &StreamId) -> Vec<SocketAddr> {
    let mut order = state.duty_order(&shard(part_of(id)));
    order.retain(|address| *address != state.own_entry.peer_address);
    order
}

/// What this instance does with the unsaved origins of a part.
pub(crate) fn saver_role(state: &State, part: u32) -> SaverRole {
    let order = state.duty_order(&shard(part));
    match order.first() {
        Some(first) if *first != state.own_entry.peer_address => SaverRole::Standby,
        _ => SaverRole::Writer,
    }
}

fn shard(part: u32) -> Shard {
    Shard {
        zone: None,
        part,
        parts: PARTS,
    }
}

/// The part that a stream belongs to.
fn part_of(id: &StreamId) -> u32 {
    let bytes = id.as_str().bytes();
    let hash = bytes.fold(0, |h, b| splitmix64(h ^ u64::from(b)));
    (hash % u64::from(PARTS)) as u32
}
