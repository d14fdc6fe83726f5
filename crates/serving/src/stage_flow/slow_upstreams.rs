//! Which pieces an upstream gets that is slower than others.

use jd_types::MonoTime;

use crate::batch_upstream::BatchUpstream;
use crate::stage_queue::StageQueue;

/// An upstream is slow if its calls are expected to take this much longer than the mean. Calls of
/// light pieces and of heavy ones differ by up to a third.
const SLOW_FACTOR: f64 = 1.5;

/// Which pieces an upstream may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PieceLimit {
    /// Any.
    Any,
    /// Those that are on time if they could still start at this time elsewhere, and late ones.
    LatestStartFrom(MonoTime),
    /// None: other upstreams process all queued pieces earlier.
    None,
}

impl StageQueue {
    /// True if a call to the upstream would take much longer than the mean, because it is slow or
    /// processes calls of other owners.
    pub(crate) fn is_slow(&self, now: MonoTime, upstream: &BatchUpstream) -> bool {
        let usual = self.call_time(self.spec.pieces).mul_f64(SLOW_FACTOR);
        self.call_time_at(now, upstream, self.spec.pieces) > usual
    }

    /// Which pieces an available upstream may get. A slow one gets none if the others will have
    /// processed all of them before it would, and otherwise none that would be late because of it.
    /// It gets any if all upstreams that accept calls are slow: no piece would start earlier
    /// elsewhere.
    ///
    /// Upstreams that are available now don't count as others: they have been offered the pieces
    /// before, and had no storage for them.
    pub(crate) fn piece_limit(&self, now: MonoTime, upstream: &BatchUpstream) -> PieceLimit {
        if !self.is_slow(now, upstream) {
            return PieceLimit::Any;
        }
        let pieces = self.spec.pieces;
        let own_time = self.call_time_at(now, upstream, pieces.min(self.queued.len()));
        let others = self.upstreams.iter().filter(|u| u.id != upstream.id);
        let processed = others.map(|u| {
            let available_in = u.available_in(now, self.spec.slots);
            let left = match u.is_blocked(now) || available_in.is_zero() {
                true => 0.0,
                false => own_time.saturating_sub(available_in).as_secs_f64(),
            };
            let calls = left / self.call_time_at(now, u, pieces).as_secs_f64();
            calls.floor() as usize * pieces
        });
        if processed.sum::<usize>() >= self.queued.len() {
            return PieceLimit::None;
        }
        let mut others = self.upstreams.iter().filter(|u| u.id != upstream.id);
        if !others.any(|u| !u.is_blocked(now) && !self.is_slow(now, u)) {
            return PieceLimit::Any;
        }
        let usual = self.call_time(pieces.min(self.queued.len()));
        PieceLimit::LatestStartFrom(now + own_time.saturating_sub(usual))
    }
}
