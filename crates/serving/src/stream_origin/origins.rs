//! The origins of streams that an instance knows.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use super::MAX_STREAM_AGE;
use super::SoftwareVersion;
use super::StreamId;
use crate::UpstreamStart;

/// Maximum number of streams whose origins are kept. They take about 4 MB, a small part of the
/// memory of the weakest instances.
const MAX_STREAMS: usize = 16_384;

/// The attempt at an upstream that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamBeginning {
    /// The identity of the upstream.
    pub upstream: CompactString,
    /// The start of it that the stream is thought to be of.
    pub start: UpstreamStart,
    /// When the attempt was sent.
    pub sent_at: MonoTime,
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service whose upstream began it.
    pub service: CompactString,
    /// The customer that it belongs to; none on public routes.
    pub customer: Option<CompactString>,
    /// The version that began it; none if that is uncertain, because the upstream has started
    /// again as another version.
    pub software: Option<SoftwareVersion>,
    /// The attempt that began it; none if another instance made it and does not tell.
    pub beginning: Option<StreamBeginning>,
}

/// The origins of the latest streams, by their IDs.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<StreamId, Known>,
    /// The IDs in the order in which they were recorded.
    order: VecDeque<StreamId>,
}

#[derive(Debug)]
struct Known {
    origin: StreamOrigin,
    until: MonoTime,
}

impl StreamOrigins {
    /// Records the origin of a stream, which is kept for `lifetime`. The oldest one is dropped
    /// when there are too many.
    ///
    /// Of one stream, an uncertain origin replaces a certain one, and two versions make it
    /// uncertain. An origin of another customer or service is ignored: nobody can take the
    /// identity of somebody else's stream.
    pub fn record(
        &mut self,
        now: MonoTime,
        id: StreamId,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        let until = now + lifetime.min(MAX_STREAM_AGE);
        self.expire(now);
        match self.known.get_mut(&id) {
            Some(known) if known.until > now => {
                let is_same = known.origin.customer == origin.customer
                    && known.origin.service == origin.service;
                if is_same {
                    known.until = known.until.max(until);
                    if known.origin.software != origin.software {
                        known.origin.software = None;
                    }
                }
            }
            Some(known) => *known = Known { origin, until },
            None => {
                self.order.push_back(id.clone());
                self.known.insert(id, Known { origin, until });
            }
        }
    }

    /// The origin of a stream, if it is known.
    pub fn find(&self, now: MonoTime, id: &StreamId) -> Option<&StreamOrigin> {
        let known = self.known.get(id).filter(|known| known.until > now);
        known.map(|known| &known.origin)
    }

    /// How long the origin of a stream is kept from now on.
    pub fn lifetime(&self, now: MonoTime, id: &StreamId) -> Duration {
        let known = self.known.get(id);
        known.map_or(Duration::ZERO, |known| known.until.since(now))
    }

    /// The streams of a service whose origins are kept.
    pub fn of_service(&self, now: MonoTime, service: &str) -> impl Iterator<Item = &StreamId> {
        let kept = self.known.iter().filter(move |(_, k)| k.until > now);
        let of_service = kept.filter(move |(_, k)| k.origin.service == service);
        of_service.map(|(id, _)| id)
    }

    /// Number of origins that are kept.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// True if no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Drops the oldest origins while they have expired or there are too many.
    fn expire(&mut self, now: MonoTime) {
        while let Some(oldest) = self.order.front() {
            let is_over = self.known.get(oldest).is_none_or(|k| k.until <= now);
            if !is_over && self.order.len() < MAX_STREAMS {
                return;
            }
            self.known.remove(oldest);
            self.order.pop_front();
        }
    }
}
