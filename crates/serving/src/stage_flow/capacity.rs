//! What a service can process per second, by its calls and by its result storage.

use std::time::Duration;

use jd_types::MonoTime;

use crate::batch_upstream::BatchUpstream;
use crate::stage_flow::MAX_RATIO;
use crate::stage_queue::StageQueue;

impl StageQueue {
    /// The pieces per second that the usable upstreams can process: the smaller of what full calls
    /// and what storage for results allow. Zero if no upstream is usable.
    pub(crate) fn pieces_per_s(&self, now: MonoTime) -> f64 {
        let usable = self.upstreams.iter().filter(|u| !u.is_blocked(now));
        let paces = usable.map(|u| 1.0 / u.slowness(now, self.duration_ratio));
        let calls_at_a_time = paces.sum::<f64>() * f64::from(self.spec.slots.max(1));
        let pieces = self.sustained_pieces();
        // The part of a call's time that does not depend on its pieces is spent for fewer of them.
        let call_s =
            self.spec.base_time.as_secs_f64() + self.spec.piece_time.as_secs_f64() * pieces;
        calls_at_a_time * pieces / call_s.max(f64::MIN_POSITIVE)
    }

    /// The number of pieces in each of many calls that follow each other: all that fit into a call,
    /// or those for which storage lasts.
    fn sustained_pieces(&self) -> f64 {
        let full = self.spec.pieces.max(1);
        let storage = self.usable_storage();
        let stored = self
            .storage_use
            .pieces_per_call(storage, self.call_time(full));
        stored.map_or(full as f64, |n| n.clamp(1.0, full as f64))
    }

    /// How long a call with this number of pieces is expected to take at an upstream, including the
    /// wait for calls of other owners there.
    pub(crate) fn call_time_at(
        &self,
        now: MonoTime,
        upstream: &BatchUpstream,
        pieces: usize,
    ) -> Duration {
        let slowness = upstream.slowness(now, self.duration_ratio);
        let full = self.spec.call_time(self.spec.pieces);
        let occupied = upstream.occupied_for(now, full.mul_f64(slowness));
        // Both figures of an upstream that reports nonsense are bounded.
        self.spec.call_time(pieces).mul_f64(slowness) + occupied.min(full.mul_f64(MAX_RATIO))
    }
}
