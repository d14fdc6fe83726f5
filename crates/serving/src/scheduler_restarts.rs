//! Updates of the upstreams, and upstreams that restart under the same identity.

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::BatchSpec;
use crate::CallKey;
use crate::JobKey;
use crate::PieceKey;
use crate::StageScheduler;
use crate::StageUpstream;
use crate::UpstreamStart;
use crate::batch_upstream::BatchUpstream;
use crate::rank::Rank;
use crate::stage_queue::StageQueue;

impl StageScheduler {
    /// Replaces the upstreams of a service. The state of an upstream is kept unless the upstream
    /// has restarted.
    pub fn set_upstreams(
        &mut self,
        now: MonoTime,
        service: &str,
        spec: BatchSpec,
        upstreams: impl Iterator<Item = StageUpstream>,
    ) {
        let queue = self.queues.entry(service.into());
        let queue = queue.or_insert_with(|| StageQueue::new(spec));
        queue.spec = spec;
        let mut old = std::mem::take(&mut queue.upstreams);
        let mut restarted = Vec::new();
        for announced in upstreams {
            let index = old.iter().position(|u| u.id == announced.id);
            let known = index.map(|n| old.swap_remove(n));
            queue.upstreams.push(match known {
                Some(known) if known.is_replaced_by(&announced) => {
                    restarted.push(announced.id.clone());
                    BatchUpstream::new(announced)
                }
                Some(mut known) => {
                    known.start = known.start.later(announced.start);
                    known
                }
                None => BatchUpstream::new(announced),
            });
        }
        for upstream in restarted {
            self.forget_upstream_work(now, service, &upstream);
        }
    }

    /// Records the start that an upstream reports. If it is later than the known one, the upstream
    /// has restarted and has lost its calls and results.
    pub(crate) fn record_start(
        &mut self,
        now: MonoTime,
        service: &str,
        upstream: &str,
        start: UpstreamStart,
    ) {
        let queue = self.queues.get_mut(service);
        let Some(known) = queue.and_then(|q| q.upstream(upstream)) else {
            return;
        };
        if !start.is_later_than(known.start) {
            known.start = known.start.later(start);
            return;
        }
        *known = BatchUpstream::new(StageUpstream {
            id: known.id.clone(),
            start,
            address: known.address,
            zone: known.zone.clone(),
        });
        self.forget_upstream_work(now, service, upstream);
    }

    /// Forgets the open calls and stored results of an upstream that has restarted, and requeues
    /// their pieces at once.
    ///
    /// Otherwise a call to the earlier start would last until its time-out, and a lost result would
    /// be noticed only by the call that needs it: a delay of one or two calls each.
    fn forget_upstream_work(&mut self, now: MonoTime, service: &str, upstream: &str) {
        let is_at_upstream = |s: &CompactString, u: &CompactString| s == service && u == upstream;
        let lost_results = self.storage.remove_matching(|s, u| is_at_upstream(s, u));
        let calls = self
            .open_calls
            .extract_if(|_, c| is_at_upstream(&c.service, &c.upstream));
        let calls: Vec<(CallKey, _)> = calls.collect();
        for (_, call) in calls {
            for (job, piece) in call.pieces {
                self.requeue(now, job, piece, now);
            }
        }
        for (job, piece) in self.producers(&lost_results) {
            self.rerun_piece(now, job, piece);
        }
    }

    /// The pieces that produced these results.
    pub(crate) fn producers(&self, handles: &[CompactString]) -> Vec<(JobKey, PieceKey)> {
        let jobs = self.jobs.iter();
        let pieces = jobs.flat_map(|(key, job)| {
            let pieces = job.progress.producers(handles);
            pieces.into_iter().map(|piece| (*key, piece))
        });
        pieces.collect()
    }

    /// Runs a piece again whose result is lost, and removes the pieces that depend on it from the
    /// queues until it is done. If all of these have been sent, nothing is done: they have most
    /// likely read the result already, and a call that has not reports its input as missing.
    pub(crate) fn rerun_piece(&mut self, now: MonoTime, key: JobKey, piece: PieceKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.progress.all_readers_sent(piece.stage) {
            return;
        }
        let dependents = job.progress.mark_lost(piece);
        for queue in self.queues.values_mut() {
            let is_stale = |r: &Rank| r.job == key && dependents.contains(&r.piece.stage);
            queue.queued.retain(|rank, _| !is_stale(rank));
        }
        self.requeue(now, key, piece, now);
    }
}
