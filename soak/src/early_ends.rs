//! Answers that end early: in their head, or with a marked end that comes too soon.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::stream;
use jd_net::Body;

use crate::Fault;
use crate::LinkMode;
use crate::Step;
use crate::StoreMode;
use crate::UpstreamMode;
use crate::fake_upstream;

/// Upstreams of streams.
const MODELS: std::ops::Range<usize> = 3..6;
/// The upstreams of streams that have the first software version at the start.
const FIRST_VERSION: [usize; 2] = [3, 5];
/// The most events of an answer that ends early.
const MOST_EVENTS: u64 = 2;
/// Of the answers over a link that cuts heads, one in so many is cut.
const CUT_ONE_IN: u8 = 3;

/// The body of a stream that goes on after the event `after` and ends early, before its first byte,
/// or inside its first event or a later one. Other runs of the request end elsewhere.
pub(crate) fn body(id: &str, upstream: &str, software: &str, after: u64) -> Body {
    let mut hasher = DefaultHasher::new();
    (id, upstream, after).hash(&mut hasher);
    let mut rng = fastrand::Rng::with_seed(hasher.finish());
    let whole = rng.u64(0..=MOST_EVENTS);
    let last = fake_upstream::EVENTS.min(after + 1 + whole);
    let events = (after + 1..=last).map(|n| fake_upstream::event(id, n, software));
    let mut events: Vec<String> = events.collect();
    let least = usize::from(events.len() > 1);
    if let Some(last) = events.last_mut() {
        // Nothing tells an end between two events from the end of the stream.
        last.truncate(rng.usize(least..last.len()));
    }
    let text = Bytes::from(events.concat());
    match rng.bool() {
        true => jd_net::full(text),
        false => jd_net::stream(stream::iter([Ok(text)])),
    }
}

/// Where an answer that begins with these bytes ends in its head; none if it is sent whole, or if no
/// answer begins here.
pub(crate) fn end_in_head(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let is_cut = bytes.starts_with(b"HTTP/1.") && fastrand::u8(..CUT_ONE_IN) == 0;
    is_cut.then(|| fastrand::usize(..end + 4))
}

/// Upstreams whose answers end early, by all marks of an end, and links that cut heads or are reset.
/// If `kills`, all instances are killed as well, once or twice, beside upstreams that are replaced by
/// those of another software version, and in half of these kills while the store is away.
pub(crate) fn draw(rng: &mut fastrand::Rng, kills: bool) -> Vec<Step> {
    let at = |ms| Duration::from_millis(1_000 + ms);
    let mut steps = Vec::new();
    for _ in 0..rng.usize(2..=4) {
        let target = rng.usize(MODELS);
        let from = rng.u64(0..5_000);
        let span = Duration::from_millis(rng.u64(500..2_500));
        steps.push(Step {
            at: at(from),
            fault: Fault::Upstream(target, UpstreamMode::EndsEarly, span),
        });
        if rng.bool() {
            steps.push(Step {
                at: at(from),
                fault: Fault::UpstreamLink(target, LinkMode::Unframed, span),
            });
        }
    }
    for _ in 0..rng.usize(2..=4) {
        let mode = match rng.u8(0..3) {
            0 => LinkMode::Resets,
            _ => LinkMode::CutsHeads,
        };
        let span = match mode {
            LinkMode::Resets => rng.u64(50..200),
            _ => rng.u64(300..2_000),
        };
        steps.push(Step {
            at: at(rng.u64(0..6_000)),
            fault: Fault::UpstreamLink(rng.usize(..), mode, Duration::from_millis(span)),
        });
    }
    if kills {
        for _ in 0..rng.usize(1..=2) {
            let kill = rng.u64(1_500..6_000);
            let down = rng.u64(50..1_000);
            steps.push(Step {
                at: at(kill),
                fault: Fault::KillAll(Duration::from_millis(down)),
            });
            // In half of these the first version is gone by the time of the kill.
            let replaced = match rng.bool() {
                true => FIRST_VERSION.to_vec(),
                false => vec![rng.usize(..), rng.usize(..)],
            };
            for upstream in replaced {
                steps.push(Step {
                    at: at(kill - rng.u64(0..1_200)),
                    fault: Fault::Upgrade(upstream, false),
                });
            }
            if rng.bool() {
                let before = rng.u64(0..800);
                let span = Duration::from_millis(before + down + rng.u64(0..500));
                steps.push(Step {
                    at: at(kill - before),
                    fault: Fault::Store(StoreMode::Refuses, span),
                });
            }
        }
    }
    steps
}
