//! The streams whose origins have to be written to the store.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use jd_types::MonoTime;

use super::StreamId;

/// How long an instance remembers a stream that another one is to write, in case that one ends
/// first: several times as long as the silence of an instance takes to be noticed.
const KEPT_FOR_OTHERS: Duration = Duration::from_secs(5);
/// Most streams of one part that wait to be written: those of the origins that are kept.
const MAX_WAITING: usize = 16_384;
/// Most streams in one write, about 300 kB.
const MAX_PER_WRITE: usize = 2_048;
/// A record is written anew with further streams until it has so many, or is so old. Rewriting keeps
/// the number of records small where few streams begin.
const FULL_RECORD: usize = 256;
const MAX_RECORD_AGE: Duration = Duration::from_secs(5);

/// What an instance does with the streams of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SaverRole {
    /// It writes them.
    Writer,
    /// It takes the place of the writer if that one ends.
    Standby,
}

/// One record of the store with the origins of streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginBatch {
    /// The part that the streams belong to.
    pub part: u32,
    /// The number of the record. A later batch with the same number replaces an earlier one.
    pub number: u64,
    /// The streams in it.
    pub streams: Vec<StreamId>,
}

/// The streams whose origins have to be written to the store, by part.
///
/// Each stream costs a line in a record, and all new streams of a part cost one write in an interval,
/// so that the number of writes depends on the parts and not on the instances or streams.
#[derive(Debug, Default)]
pub struct UnsavedOrigins {
    parts: BTreeMap<u32, Part>,
    last_number: u64,
}

#[derive(Debug, Default)]
struct Part {
    waiting: VecDeque<Waiting>,
    /// The record that is being filled.
    open: Option<OpenRecord>,
}

#[derive(Debug)]
struct Waiting {
    stream: StreamId,
    since: MonoTime,
    /// True if another instance could not write it.
    handed_over: bool,
}

#[derive(Debug)]
struct OpenRecord {
    number: u64,
    began: MonoTime,
    streams: Vec<StreamId>,
}

impl UnsavedOrigins {
    /// Adds a stream. `handed_over` is true if the instance that was to write it could not, so that
    /// this one writes it in any role.
    pub fn add(&mut self, now: MonoTime, part: u32, stream: StreamId, handed_over: bool) {
        let waiting = &mut self.parts.entry(part).or_default().waiting;
        if waiting.len() >= MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back(Waiting {
            stream,
            since: now,
            handed_over,
        });
    }

    /// The batches that have to be written now. Streams that another instance has had time to write
    /// are forgotten.
    pub fn take_due(&mut self, now: MonoTime, role: impl Fn(u32) -> SaverRole) -> Vec<OriginBatch> {
        let mut batches = Vec::new();
        for (number, part) in &mut self.parts {
            let is_writer = role(*number) == SaverRole::Writer;
            if !is_writer {
                let is_kept = |w: &Waiting| w.handed_over || now.since(w.since) < KEPT_FOR_OTHERS;
                part.waiting.retain(is_kept);
            }
            let taken = part.take(is_writer);
            if !taken.is_empty() {
                let batch = part.extend_record(now, &mut self.last_number, taken);
                batches.push(OriginBatch {
                    part: *number,
                    ..batch
                });
            }
        }
        self.parts
            .retain(|_, part| !part.waiting.is_empty() || part.open.is_some());
        batches
    }

    /// Takes streams back that could not be written.
    pub fn take_back(&mut self, now: MonoTime, batch: OriginBatch) {
        if let Some(part) = self.parts.get_mut(&batch.part) {
            part.open = None;
        }
        for stream in batch.streams {
            self.add(now, batch.part, stream, true);
        }
    }

    /// True if no stream waits to be written.
    pub fn is_empty(&self) -> bool {
        self.parts.values().all(|part| part.waiting.is_empty())
    }
}

impl Part {
    fn take(&mut self, all: bool) -> Vec<StreamId> {
        let mut taken = Vec::new();
        self.waiting.retain(|w| {
            let is_taken = (all || w.handed_over) && taken.len() < MAX_PER_WRITE;
            if is_taken {
                taken.push(w.stream.clone());
            }
            !is_taken
        });
        taken
    }

    /// Adds streams to the open record, or begins another one.
    fn extend_record(
        &mut self,
        now: MonoTime,
        last_number: &mut u64,
        streams: Vec<StreamId>,
    ) -> OriginBatch {
        let is_open = |r: &OpenRecord| now.since(r.began) < MAX_RECORD_AGE;
        let open = self.open.take().filter(is_open);
        let mut record = open.unwrap_or_else(|| {
            *last_number += 1;
            OpenRecord {
                number: *last_number,
                began: now,
                streams: Vec::new(),
            }
        });
        record.streams.extend(streams);
        let batch = OriginBatch {
            part: 0,
            number: record.number,
            streams: record.streams.clone(),
        };
        if record.streams.len() < FULL_RECORD {
            self.open = Some(record);
        }
        batch
    }
}
