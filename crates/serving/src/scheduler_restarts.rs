//! Upstreams that start again under the identity that they had.

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
    /// A service's upstreams, as they are now. What is known of one stays unless it
    /// has started again.
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
        let mut started_again = Vec::new();
        for announced in upstreams {
            let same = old.iter().position(|u| u.id == announced.id);
            let known = same.map(|n| old.swap_remove(n));
            queue.upstreams.push(match known {
                Some(known) if known.is_replaced_by(&announced) => {
                    started_again.push(announced.id.clone());
                    BatchUpstream::new(announced)
                }
                Some(mut known) => {
                    known.start = known.start.later(announced.start);
                    known
                }
                None => BatchUpstream::new(announced),
            });
        }
        for upstream in started_again {
            self.lose(now, service, &upstream);
        }
    }

    /// An upstream told which start of it answers; one that is later than the one
    /// known here has lost everything of before.
    pub(crate) fn told_start(
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
        self.lose(now, service, upstream);
    }

    /// Everything at an upstream is gone: its open calls, and the results that lay
    /// there. What they held is asked for again at once.
    ///
    /// Guards against waiting for what cannot come: a call to an earlier start was
    /// waited for until its patience ended, and a result that had lain there was
    /// missed only by the call that was to read it, each a call's time or two.
    fn lose(&mut self, now: MonoTime, service: &str, upstream: &str) {
        let is_there = |s: &CompactString, u: &CompactString| s == service && u == upstream;
        let lost = self.room.lose(|s, u| is_there(s, u));
        let calls = self
            .calls
            .extract_if(|_, c| is_there(&c.service, &c.upstream));
        let calls: Vec<(CallKey, _)> = calls.collect();
        for (_, call) in calls {
            for (job, piece) in call.pieces {
                self.ask_again(now, job, piece, now);
            }
        }
        for (job, piece) in self.makers(&lost) {
            self.make_again(now, job, piece);
        }
    }

    /// The pieces whose results these are.
    fn makers(&self, handles: &[CompactString]) -> Vec<(JobKey, PieceKey)> {
        let jobs = self.jobs.iter();
        let pieces = jobs.flat_map(|(key, job)| {
            let made = job.progress.makers(handles);
            made.into_iter().map(|piece| (*key, piece))
        });
        pieces.collect()
    }

    /// Has one result made again, and what works on it wait for that. Pieces that
    /// have been asked for have most likely read it already; a call that had not
    /// says so.
    fn make_again(&mut self, now: MonoTime, key: JobKey, piece: PieceKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.progress.is_read_by_all(piece.stage) {
            return;
        }
        let waiting = job.progress.lost(piece);
        for queue in self.queues.values_mut() {
            let stale = |r: &Rank| r.job == key && waiting.contains(&r.piece.stage);
            queue.waiting.retain(|rank, _| !stale(rank));
        }
        self.ask_again(now, key, piece, now);
    }
}
