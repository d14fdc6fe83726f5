//! When this instance may ask again for permits that it did not get.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_serving::RequestRate;
use jd_types::MonoTime;

/// The longest and the shortest time until a permit is asked for again. Others may not
/// use their turns.
const ASK_AGAIN_LATEST: Duration = Duration::from_millis(500);
const ASK_AGAIN_SOONEST: Duration = Duration::from_millis(20);
/// The furthest turn that a caller is told.
const LAST_TURN: Duration = Duration::from_secs(10);
/// Turns beyond which those that are over are looked for.
const MANY: usize = 512;

#[derive(Debug, Clone, Copy)]
struct Turn {
    ask_from: MonoTime,
    /// When the next caller that is refused is to come back.
    next: MonoTime,
}

/// When this instance may ask again for permits that it did not get, by upstream.
#[derive(Debug, Default)]
pub(crate) struct PermitRetries {
    by_id: Mutex<HashMap<CompactString, Turn>>,
}

impl PermitRetries {
    /// There is no permit for an upstream until `wait` is over.
    pub(crate) fn note(&self, now: MonoTime, id: &str, wait: Duration) {
        let mut turns = lock(&self.by_id);
        if turns.len() > MANY {
            turns.retain(|_, turn| now < turn.next);
        }
        let turn = Turn {
            ask_from: now + wait.clamp(ASK_AGAIN_SOONEST, ASK_AGAIN_LATEST),
            next: now + wait,
        };
        turns.insert(id.into(), turn);
    }

    /// True if a permit may be asked for now.
    pub(crate) fn may_ask(&self, now: MonoTime, id: &str) -> bool {
        let turns = lock(&self.by_id);
        turns.get(id).is_none_or(|turn| now >= turn.ask_from)
    }

    /// When a caller is to come back that none of these upstreams can be sent; none if
    /// that is not for want of a permit. The next caller is told a later time.
    pub(crate) fn next(
        &self,
        now: MonoTime,
        limited: impl Iterator<Item = (CompactString, RequestRate)>,
    ) -> Option<Duration> {
        let mut turns = lock(&self.by_id);
        let waiting = limited.filter_map(|(id, rate)| {
            let turn = turns.get(&id).filter(|turn| now < turn.ask_from)?;
            Some((turn.next, id, rate))
        });
        let (at, id, rate) = waiting.min_by_key(|(at, ..)| *at)?;
        if let Some(turn) = turns.get_mut(&id) {
            let one = (1.0 / rate.per_s()).min(LAST_TURN.as_secs_f64());
            turn.next = (at + Duration::from_secs_f64(one)).min(now + LAST_TURN);
        }
        Some(at.since(now).max(ASK_AGAIN_SOONEST))
    }
}
