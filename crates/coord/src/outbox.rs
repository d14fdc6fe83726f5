//! Deferred work on its way to the platform's service.

use compact_str::CompactString;
use compact_str::format_compact;
use jd_backing::Expect;
use jd_backing::KvEntry;
use jd_backing::KvError;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// The most items in one batch.
const BATCH_ITEMS: usize = 256;
/// The most bytes of bodies in one batch, below the service's largest value.
const BATCH_BYTES: usize = 512 << 10;

/// One piece of deferred work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutboxItem {
    /// The request, also its identity for upstreams that drop repetitions.
    pub request: RequestId,
    /// Whose it is.
    pub customer: Name,
    /// The pipeline to run.
    pub pipeline: Name,
    /// The caller's body.
    pub body: String,
}

/// A batch as it stands in the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutboxBatch {
    /// The work, in order of arrival.
    pub items: Vec<OutboxItem>,
}

impl OutboxBatch {
    /// The work in an entry of the queue; none if it is not a batch.
    pub fn from_entry(entry: &KvEntry) -> Option<OutboxBatch> {
        serde_json::from_str(&entry.value).ok()
    }
}

/// What became of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It is in the platform's service and will be done.
    Durable,
    /// It is not, and will not be done.
    Dropped,
    /// Nobody can tell whether it will be done.
    Unknown,
}

#[derive(Debug)]
struct Waiting {
    item: OutboxItem,
    until: MonoTime,
}

#[derive(Debug)]
struct Flight {
    key: KvKey,
    value: String,
    items: Vec<Waiting>,
    in_doubt: bool,
    asked: bool,
}

/// Gathers deferred work and writes it in batches, one at a time.
///
/// Guards against work that vanishes: it is acknowledged only when its batch is
/// written. And against the platform's rate of writes: while one batch is on
/// its way the next one fills, so the number of writes does not follow the
/// number of requests. A batch whose answer was lost is offered again under the
/// same key, where it is either written now or found already there.
#[derive(Debug)]
pub struct Outbox {
    me: Incarnation,
    capacity: usize,
    waiting: Vec<Waiting>,
    flight: Option<Flight>,
    batches: u64,
}

impl Outbox {
    /// An empty outbox for at most `capacity` waiting items.
    pub fn new(me: Incarnation, capacity: usize) -> Outbox {
        Outbox {
            me,
            capacity,
            waiting: Vec::new(),
            flight: None,
            batches: 0,
        }
    }

    /// Takes an item that must be settled by `until`; false if it is full.
    pub fn add(&mut self, item: OutboxItem, until: MonoTime) -> bool {
        let room = self.waiting.len() < self.capacity;
        if room {
            self.waiting.push(Waiting { item, until });
        }
        room
    }

    /// The next call to make, if any; report its result before asking again.
    pub fn next_call(&mut self) -> Option<KvRequest> {
        if self.flight.is_none() && !self.waiting.is_empty() {
            self.flight = Some(self.fill());
        }
        let flight = self.flight.as_mut().filter(|f| !f.asked)?;
        flight.asked = true;
        Some(KvRequest::Put {
            key: flight.key.clone(),
            value: flight.value.clone(),
            expect: Expect::Absent,
            lease: None,
        })
    }

    /// The result of the last call: what is settled by it.
    pub fn on_reply(&mut self, reply: Result<KvReply, KvError>) -> Vec<(RequestId, Settled)> {
        let Some(mut flight) = self.flight.take() else {
            return Vec::new();
        };
        flight.asked = false;
        match reply {
            Ok(KvReply::Written { .. }) => settle(flight.items, Settled::Durable),
            Ok(KvReply::Conflict { current: Some(e) }) if e.value == flight.value => {
                settle(flight.items, Settled::Durable)
            }
            // Written by an earlier try, then done and deleted by a worker, and
            // the service says only that the condition failed.
            Ok(KvReply::Conflict { .. }) => settle(flight.items, Settled::Unknown),
            other => {
                flight.in_doubt |= other != Err(KvError::Unavailable);
                self.flight = Some(flight);
                Vec::new()
            }
        }
    }

    /// Items whose time is over.
    pub fn expired(&mut self, now: MonoTime) -> Vec<(RequestId, Settled)> {
        let mut out = Vec::new();
        let mut late = Vec::new();
        self.waiting.retain_mut(|w| {
            let keep = w.until > now;
            if !keep {
                late.push(w.item.request);
            }
            keep
        });
        out.extend(late.into_iter().map(|r| (r, Settled::Dropped)));
        out.extend(self.expired_flight(now));
        out
    }

    fn expired_flight(&mut self, now: MonoTime) -> Vec<(RequestId, Settled)> {
        let over = |f: &Flight| !f.asked && f.items.iter().all(|w| w.until <= now);
        match self.flight.take() {
            Some(f) if over(&f) && f.in_doubt => settle(f.items, Settled::Unknown),
            Some(f) if over(&f) => settle(f.items, Settled::Dropped),
            other => {
                self.flight = other;
                Vec::new()
            }
        }
    }

    /// Items that are not settled.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.flight.as_ref().map_or(0, |f| f.items.len())
    }

    /// True if everything is settled.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fill(&mut self) -> Flight {
        let mut bytes = 0;
        let mut count = 0;
        for w in self.waiting.iter().take(BATCH_ITEMS) {
            bytes += w.item.body.len();
            if count > 0 && bytes > BATCH_BYTES {
                break;
            }
            count += 1;
        }
        let items: Vec<Waiting> = self.waiting.drain(..count).collect();
        let batch = OutboxBatch {
            items: items.iter().map(|w| w.item.clone()).collect(),
        };
        self.batches += 1;
        let name: CompactString = format_compact!("{}-{:08}", self.me, self.batches);
        Flight {
            key: KvKey::queue(&name),
            // A batch is plain data; it always has a JSON form.
            value: serde_json::to_string(&batch).unwrap_or_default(),
            items,
            in_doubt: false,
            asked: false,
        }
    }
}

fn settle(items: Vec<Waiting>, settled: Settled) -> Vec<(RequestId, Settled)> {
    items
        .into_iter()
        .map(|w| (w.item.request, settled))
        .collect()
}
