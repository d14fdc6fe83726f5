//! Sound upstreams that fall silent for a while and go on.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::StreamExt;
use futures_lite::stream;
use jd_net::Body;

use crate::Fault;
use crate::LinkMode;
use crate::Step;
use crate::StoreMode;
use crate::UpstreamMode;
use crate::fake_upstream::EVENTS;
use crate::recorder::Work;

/// One run in so many has a silence.
const SILENT_ONE_IN: u8 = 5;
/// The length of a silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 1_000..3_000;
/// Instances that are stopped; soaks with more have the others run on.
const INSTANCES: usize = 4;
/// The time of the first stop. Reloads come before, since a process that has just been started
/// ends by that signal.
const FIRST_STOP_MS: u64 = 2_000;
/// The time from which on unplanned faults begin, in odd seeds.
const UNPLANNED_FROM_MS: u64 = 5_000;

/// Where in an answer its upstream falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Before the head.
    Head,
    /// Between the head and the first event, or the body.
    Body,
    /// Before this event, or within the body.
    Event(u64),
}

/// A silence in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Silence {
    place: Place,
    length: Duration,
}

impl Silence {
    /// The silence in a run of a request at an upstream, if it has one. Other runs of the request
    /// draw anew.
    pub(crate) fn of(id: &str, upstream: &str) -> Option<Silence> {
        let mut hasher = DefaultHasher::new();
        (id, upstream).hash(&mut hasher);
        let mut rng = fastrand::Rng::with_seed(hasher.finish());
        if rng.u8(..SILENT_ONE_IN) > 0 {
            return None;
        }
        let place = match rng.u8(..3) {
            0 => Place::Head,
            1 => Place::Body,
            _ => Place::Event(rng.u64(2..=EVENTS)),
        };
        let length = Duration::from_millis(rng.u64(SILENCE_MS));
        Some(Silence { place, length })
    }

    /// Waits before the head.
    pub(crate) async fn before_head(self) {
        if self.place == Place::Head {
            Timer::after(self.length).await;
        }
    }

    /// The wait before an event of a stream that begins with the event `first`.
    pub(crate) fn before_event(self, number: u64, first: u64) -> Duration {
        match self.place {
            Place::Body if number == first => self.length,
            Place::Event(silent) if number == silent => self.length,
            _ => Duration::ZERO,
        }
    }

    /// The body of a single answer.
    pub(crate) fn body(self, text: String, work: Work) -> Body {
        let first = match self.place {
            Place::Head => text.len(),
            Place::Body => 0,
            Place::Event(_) => text.len() / 2,
        };
        let (first, rest) = text.split_at(first);
        let parts = [(Duration::ZERO, first), (self.length, rest)];
        let parts = parts.map(|(wait, part)| (wait, Bytes::copy_from_slice(part.as_bytes())));
        let sent = stream::iter(parts).filter(|(_, part)| !part.is_empty());
        jd_net::stream(sent.then(move |(wait, part)| {
            // The upstream is at work until the body is dropped.
            let _ = &work;
            async move {
                Timer::after(wait).await;
                Ok(part)
            }
        }))
    }
}

/// Planned work: instances stopped in turn, reloads, configurations in quick succession, a store
/// that is away while instances stop, and upstreams that drain. If `unplanned`, upstreams also hang
/// and restart, and instances are cut off or killed, later on.
pub(crate) fn draw(rng: &mut fastrand::Rng, unplanned: bool) -> Vec<Step> {
    let at = Duration::from_millis;
    let mut steps = Vec::new();
    for _ in 0..rng.usize(1..=2) {
        steps.push(Step {
            at: at(rng.u64(600..FIRST_STOP_MS)),
            fault: Fault::Reload(rng.usize(..INSTANCES)),
        });
    }
    let mut begins = FIRST_STOP_MS;
    for _ in 0..2 {
        let gap = rng.u64(500..1_600);
        let first = rng.usize(..INSTANCES);
        for n in 0..INSTANCES {
            steps.push(Step {
                at: at(begins + gap * n as u64),
                fault: Fault::Stop((first + n) % INSTANCES),
            });
        }
        let mode = match rng.bool() {
            true => StoreMode::Refuses,
            false => StoreMode::Hangs,
        };
        steps.push(Step {
            at: at(begins + gap * rng.u64(..4) + rng.u64(..400)),
            fault: Fault::Store(mode, at(rng.u64(300..1_500))),
        });
        begins += rng.u64(4_500..7_000);
    }
    for _ in 0..rng.usize(1..=2) {
        let (from, gap) = (rng.u64(1_000..6_000), rng.u64(50..400));
        for n in 0..rng.u64(3..=5) {
            steps.push(Step {
                at: at(from + gap * n),
                fault: Fault::Configure,
            });
        }
    }
    for _ in 0..rng.usize(1..=2) {
        let target = rng.usize(..);
        steps.push(Step {
            at: at(rng.u64(1_000..5_000)),
            fault: match rng.bool() {
                true => Fault::Drain(target),
                false => Fault::DrainByAnswers(target),
            },
        });
    }
    if unplanned {
        for _ in 0..rng.usize(2..=4) {
            steps.push(Step {
                at: at(rng.u64(UNPLANNED_FROM_MS..9_000)),
                fault: draw_unplanned(rng),
            });
        }
    }
    steps
}

fn draw_unplanned(rng: &mut fastrand::Rng) -> Fault {
    let target = rng.usize(..);
    let span = Duration::from_millis(rng.u64(1_000..4_000));
    match rng.u8(..6) {
        0 | 1 => Fault::Upstream(target, UpstreamMode::Hangs, span),
        2 => Fault::Upstream(target, UpstreamMode::Truncates, span),
        3 => Fault::RestartUpstream(target),
        4 => Fault::UpstreamsCut(target, LinkMode::Refuses, span),
        _ => Fault::Kill(target, span / 4),
    }
}
