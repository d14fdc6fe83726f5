//! Services whose upstreams fall over when they have to reject too many requests.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use snafu::Snafu;

/// How long a notice holds after the last answer that renews it. An upstream repeats it in every
/// answer, but a small service may get few requests.
const NOTICE_LIFETIME: Duration = Duration::from_secs(8);
/// The time within which two answers may have been received out of order.
const REORDER_WINDOW: Duration = Duration::from_millis(500);
/// The longest pause of one instance after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Characters of the text that an error quotes at most.
const MAX_QUOTED: usize = 40;
/// Services that are remembered.
const MAX_SERVICES: usize = 256;

/// Rejections in one second, of the requests of all instances, that an upstream withstands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectionLimit(u32);

/// The text is not a valid number of rejections.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a number of rejections a second; expected a whole number"))]
pub struct RejectionLimitError {
    /// The text.
    text: CompactString,
}

impl RejectionLimit {
    /// Rejections in one second.
    pub fn per_s(self) -> u32 {
        self.0
    }

    /// A limit of `per_s` rejections a second.
    pub fn from_per_s(per_s: u32) -> RejectionLimit {
        RejectionLimit(per_s)
    }

    /// How long an instance sends nothing to an upstream that has rejected a request. Together, all
    /// instances cause no more rejections than the limit.
    pub fn pause(self, fleet_size: u32) -> Duration {
        let limit = f64::from(self.0);
        let secs = f64::from(fleet_size.max(1)) / limit.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(secs)
            .unwrap_or(MAX_PAUSE)
            .min(MAX_PAUSE)
    }
}

impl TryFrom<&str> for RejectionLimit {
    type Error = RejectionLimitError;

    fn try_from(text: &str) -> Result<RejectionLimit, RejectionLimitError> {
        let number = text.trim().parse().map(RejectionLimit);
        number.map_err(|_| RejectionLimitError {
            text: text.chars().take(MAX_QUOTED).collect(),
        })
    }
}

/// Requests that one instance may have in progress at the upstreams of a brittle service.
///
/// Each is at least 1, so that every instance can use every upstream. Over all upstreams the
/// shares add up to the slots at most, or to one request per instance where that is more. The
/// share of one upstream is rounded up, so that all instances together can exceed its slots: the
/// rest waits there or is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightShare {
    /// At each upstream.
    pub at_each: u32,
    /// At all upstreams together.
    pub at_all: u32,
}

impl InFlightShare {
    /// The share of one of `instances`, where each of `upstreams` has this many slots.
    pub fn new(slots: u32, upstreams: u32, instances: u32) -> InFlightShare {
        let instances = instances.max(1);
        let all = slots.saturating_mul(upstreams);
        InFlightShare {
            at_each: slots.div_ceil(instances).max(1),
            at_all: (all / instances).max(1),
        }
    }
}

/// What the answers of a service's upstreams said last, to any instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrittleNotice {
    /// The limit; none if the upstreams are not brittle.
    pub limit: Option<RejectionLimit>,
    /// When an instance received the answer.
    pub received_at: MonoTime,
}

/// The services whose upstreams said that they are brittle.
#[derive(Debug, Default)]
pub struct BrittleServices {
    known: HashMap<CompactString, BrittleNotice>,
}

impl BrittleServices {
    /// Records a notice; returns true if the limit of the service changes.
    pub fn record(&mut self, service: &str, notice: BrittleNotice) -> bool {
        let Some(known) = self.known.get_mut(service) else {
            let counts = notice.limit.is_some() && self.known.len() < MAX_SERVICES;
            if counts {
                self.known.insert(service.into(), notice);
            }
            return counts;
        };
        let before = *known;
        let is_newer = notice.received_at > known.received_at;
        let is_later = notice.received_at >= known.received_at + REORDER_WINDOW;
        let is_stricter = match (notice.limit, known.limit) {
            (Some(new), Some(known)) => new <= known,
            (new, _) => new.is_some(),
        };
        if is_later || (is_newer && is_stricter) {
            *known = notice;
        }
        known.limit != before.limit
    }

    /// The limit of a service; none if its upstreams are not brittle.
    pub fn limit(&self, now: MonoTime, service: &str) -> Option<RejectionLimit> {
        let notice = self.known.get(service)?;
        let holds = now.since(notice.received_at) < NOTICE_LIFETIME;
        notice.limit.filter(|_| holds)
    }

    /// The notices to pass on to other instances.
    pub fn announced(&self, now: MonoTime) -> impl Iterator<Item = (&str, BrittleNotice)> {
        let known = self.known.iter();
        let recent = known.filter(move |(_, n)| now.since(n.received_at) < NOTICE_LIFETIME);
        recent.map(|(service, notice)| (service.as_str(), *notice))
    }

    /// Removes notices that no longer hold.
    pub fn expire(&mut self, now: MonoTime) {
        self.known
            .retain(|_, n| now.since(n.received_at) < NOTICE_LIFETIME);
    }

    /// True if no service is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
