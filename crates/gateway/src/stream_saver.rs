//! Writes origins of streams to the store, and reads them after a start.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use async_io::Timer;
use compact_str::CompactString;
use compact_str::format_compact;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::OriginBatch;
use jd_serving::StreamId;
use jd_types::MonoTime;
use jd_wire::GatewayClient;
use jd_wire::StreamRecord;
use jd_wire::StreamRecords;
use jd_wire::decode_stream_records;
use jd_wire::encode_stream_records;

use crate::LeaseId;
use crate::OriginItem;
use crate::StoreError;
use crate::peer_streams;
use crate::store_call::StoreCall;
use crate::store_link::CALL_TIMEOUT;
use crate::store_link::StoreLink;
use crate::stream_registry;
use crate::stream_registry::PARTS;

/// Interval between writes. What a fleet that is killed at once has not written is lost; each write
/// is a call, and an event for all instances that watch the store.
const SAVE_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between checks for origins that have to be read, where nobody waits for them. A check
/// ranks all instances for each part.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause after origins could not be read.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How long writes may fail before streams are handed over to other instances: the store may reject
/// this instance alone.
const HAND_OVER_AFTER: Duration = Duration::from_millis(1_500);
/// Most streams that are handed over at a time.
const MAX_HANDED_OVER: usize = 256;
/// Timeout of a call to another instance.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// How much longer than needed a lease lasts, so that it serves several writes.
const LEASE_MARGIN: Duration = Duration::from_secs(20);
/// The most streams whose origins are read for one part. More are not kept in memory.
const MAX_READ: usize = 16_384;

/// Writes the origins of streams that the versions of their services do not tell, and reads them
/// when this instance begins to keep a part of them.
///
/// Guards against the loss of all instances that know an origin, at once or one after the other.
#[derive(Debug)]
pub(crate) struct StreamSaver {
    pub(crate) link: Arc<StoreLink>,
    lease: Mutex<Option<HeldLease>>,
}

/// A lease for the records of origins.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: LeaseId,
    ends_at: MonoTime,
}

impl StreamSaver {
    pub(crate) fn new(link: Arc<StoreLink>) -> StreamSaver {
        StreamSaver {
            link,
            lease: Mutex::default(),
        }
    }

    /// Writes what has to be written at each interval. Never returns.
    pub(crate) async fn save(self: Arc<Self>) {
        let state = &self.link.state;
        let mut saved_services = BTreeSet::new();
        let mut era = state.store_era();
        let mut failing_since: Option<MonoTime> = None;
        loop {
            Timer::after(until_next_save()).await;
            if std::mem::replace(&mut era, state.store_era()) != era {
                // The restored store lacks what was written last.
                saved_services.clear();
            }
            self.save_new_services(&mut saved_services);
            let now = state.now();
            let role = |part| stream_registry::saver_role(state, part);
            let due = state.streams.unsaved().take_due(now, role);
            if due.is_empty() {
                continue;
            }
            let streams: usize = due.iter().map(|b| b.streams.len()).sum();
            let ended = self.write(now, &due).await;
            let outcome = ended.map_or_else(StoreError::as_str, |()| "saved");
            state.metrics.stream_origin(outcome);
            log::info!(streams, batches = due.len(), outcome; "origins of streams written to the store");
            match ended {
                Ok(()) => failing_since = None,
                Err(_) => {
                    let since = *failing_since.get_or_insert(now);
                    let hands_over = self.may_hand_over(state.now().since(since));
                    self.take_back(due, hands_over).await;
                }
            }
        }
    }

    /// Has the known streams written of services that have come to have several versions.
    fn save_new_services(&self, saved: &mut BTreeSet<CompactString>) {
        let state = &self.link.state;
        let services = state.services_with_several_versions();
        for service in services.difference(saved) {
            state.streams.save_service(state.now(), service);
        }
        *saved = services;
    }

    async fn write(&self, now: MonoTime, due: &[OriginBatch]) -> Result<(), StoreError> {
        let StoreLink { state, store, .. } = &*self.link;
        let mut items = Vec::new();
        let mut longest = Duration::ZERO;
        for batch in due {
            let mut records = Vec::new();
            for id in &batch.streams {
                if let Some((origin, lifetime)) = state.streams.find_here(now, id) {
                    longest = longest.max(lifetime);
                    records.push(peer_streams::wire_record(id, &origin, lifetime, now));
                }
            }
            items.push(self.item(batch, records));
        }
        let lease = self.lease(now, longest).await?;
        let writing = store.write_origins(&items, lease);
        let written = self
            .link
            .call(StoreCall::WriteOrigins, CALL_TIMEOUT, writing);
        let written = written.await;
        if written == Err(StoreError::LeaseGone) {
            *lock(&self.lease) = None;
        }
        written
    }

    /// The item of a batch. The names of later ones are smaller, so that they are read first.
    fn item(&self, batch: &OriginBatch, records: Vec<StreamRecord>) -> OriginItem {
        let writer = self.link.state.own_entry.incarnation;
        let number = u32::MAX.saturating_sub(u32::try_from(batch.number).unwrap_or(u32::MAX));
        let record = StreamRecords {
            records,
            written_ms: wall_ms(),
        };
        OriginItem {
            part: batch.part,
            name: format_compact!("{number:08x}-{writer}"),
            value: encode_stream_records(&record).into(),
        }
    }

    /// A lease that lasts for `needed` at least.
    async fn lease(&self, now: MonoTime, needed: Duration) -> Result<LeaseId, StoreError> {
        let held = *lock(&self.lease);
        let era = self.link.state.store_era();
        let is_enough = |l: &HeldLease| l.ends_at >= now + needed && l.id.era == era;
        if let Some(held) = held.filter(is_enough) {
            return Ok(held.id);
        }
        let lifetime = needed + LEASE_MARGIN;
        let taking = self.link.store.lease(lifetime);
        let id = self.link.call(StoreCall::Lease, CALL_TIMEOUT, taking);
        let id = id.await?;
        let ends_at = now + lifetime;
        *lock(&self.lease) = Some(HeldLease { id, ends_at });
        Ok(id)
    }

    /// True if others can write what this instance has failed to write for `failing`: they reach the
    /// store, or this instance ends soon.
    fn may_hand_over(&self, failing: Duration) -> bool {
        let state = &self.link.state;
        let others_reach_store = state.proof_age().is_some_and(|age| age < failing);
        failing >= HAND_OVER_AFTER && (others_reach_store || state.is_leaving())
    }

    /// Keeps streams that could not be written for the next interval, or hands them over.
    async fn take_back(&self, due: Vec<OriginBatch>, hands_over: bool) {
        let state = &self.link.state;
        let mut left = MAX_HANDED_OVER;
        for mut batch in due {
            if hands_over {
                let count = left.min(batch.streams.len());
                left -= count;
                let mut kept = batch.streams.split_off(count);
                for id in std::mem::take(&mut batch.streams) {
                    if !self.hand_over(&id).await {
                        kept.push(id);
                    }
                }
                batch.streams = kept;
            }
            state.streams.unsaved().take_back(state.now(), batch);
        }
    }

    /// Has another instance that keeps the stream write its origin; false if none takes it.
    async fn hand_over(&self, id: &StreamId) -> bool {
        let state = &self.link.state;
        let now = state.now();
        let Some((origin, lifetime)) = state.streams.find_here(now, id) else {
            return true;
        };
        let record = StreamRecord {
            handed_over: true,
            ..peer_streams::wire_record(id, &origin, lifetime, now)
        };
        for keeper in stream_registry::keepers(state, id) {
            let mut client = GatewayClient::new(state.channels.channel_to(keeper));
            let handing = client.record_stream(record.clone());
            if let Some(Ok(_)) = with_timeout(PEER_TIMEOUT, handing).await {
                return true;
            }
        }
        false
    }

    /// Reads the origins of the parts that this instance has come to keep. Never returns.
    pub(crate) async fn read(self: Arc<Self>) {
        let state = &self.link.state;
        loop {
            state.streams.until_read_requested(READ_INTERVAL).await;
            if !state.store_loaded() || state.services_with_several_versions().is_empty() {
                continue;
            }
            state.streams.retain_kept_parts(state);
            for part in 0..PARTS {
                if !state.streams.has_to_read(state, part) {
                    continue;
                }
                match self.read_part(part).await {
                    Ok(streams) => {
                        state.streams.record_read(part);
                        log::info!(part, streams; "origins of streams read");
                    }
                    Err(e) => {
                        log::warn!(part, error:% = e; "origins of streams could not be read; trying again");
                        Timer::after(READ_RETRY_PAUSE).await;
                    }
                }
            }
        }
    }

    /// Reads the origins of a part; returns how many streams there are.
    async fn read_part(&self, part: u32) -> Result<usize, StoreError> {
        let StoreLink { state, store, .. } = &*self.link;
        let mut after = None;
        let mut streams = 0;
        loop {
            let reading = store.origins(part, after.as_ref());
            let page = self.link.call(StoreCall::Origins, CALL_TIMEOUT, reading);
            let page = page.await?;
            for item in &page.items {
                streams += self.apply(item);
            }
            match page.next_after {
                next @ Some(_) if streams < MAX_READ => after = next,
                _ => break,
            }
        }
        state.metrics.stream_origin("read");
        Ok(streams)
    }

    /// Records the origins in an item; returns how many there are.
    fn apply(&self, item: &OriginItem) -> usize {
        let state = &self.link.state;
        let record = match decode_stream_records(&item.value) {
            Ok(record) => record,
            Err(e) => {
                log::warn!(item:% = item.name, error:% = e; "origins of streams cannot be decoded; ignored");
                return 0;
            }
        };
        let age = Duration::from_millis(wall_ms().saturating_sub(record.written_ms));
        let now = state.now();
        let origins = record.records.iter();
        let origins = origins.filter_map(|r| peer_streams::origin_of(r, now.before(age)));
        let mut count = 0;
        for (id, origin, lifetime) in origins {
            let lifetime = lifetime.saturating_sub(age);
            if !lifetime.is_zero() {
                state.streams.record_here(now, id, origin, lifetime);
                count += 1;
            }
        }
        count
    }
}

/// The time until all instances write, by the clock: each write is an event for all that watch the
/// store, and events at one moment arrive together.
fn until_next_save() -> Duration {
    let interval = SAVE_INTERVAL.as_millis() as u64;
    Duration::from_millis(interval - wall_ms() % interval)
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}
