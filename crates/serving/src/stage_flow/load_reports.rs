//! Reports of stage upstreams on their load.

use jd_types::MonoTime;

use crate::StageScheduler;
use crate::UpstreamLoad;
use crate::UpstreamStart;

impl StageScheduler {
    /// Records the load that an upstream reported with its answer to a call. A report of an earlier
    /// start than the known one is ignored.
    pub fn record_load(
        &mut self,
        now: MonoTime,
        service: &str,
        upstream: &str,
        start: UpstreamStart,
        load: UpstreamLoad,
    ) {
        let queue = self.queues.get_mut(service);
        let upstream = queue.and_then(|q| q.upstream(upstream));
        if let Some(upstream) = upstream.filter(|u| !u.start.is_later_than(start)) {
            upstream.record_load(now, load);
        }
    }
}
