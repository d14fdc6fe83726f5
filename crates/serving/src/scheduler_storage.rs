//! Asking upstreams for their room.

use jd_types::MonoTime;

use crate::StageScheduler;
use crate::StorageQuery;
use crate::StorageReport;

impl StageScheduler {
    /// The upstreams that are to tell how much room they have.
    pub fn storage_queries(&mut self, now: MonoTime) -> Vec<StorageQuery> {
        let mut questions = Vec::new();
        for (service, queue) in &mut self.queues {
            let keep = queue.spec.result_ttl;
            let asked = queue.upstreams.iter_mut();
            let asked = asked.filter_map(|u| u.others.asks(now, keep).then_some(u));
            questions.extend(asked.map(|u| StorageQuery {
                service: service.clone(),
                upstream: u.id.clone(),
                start: u.start,
                address: u.address,
            }));
        }
        questions
    }

    /// What an upstream told of its room; none if it did not.
    pub fn record_storage_report(
        &mut self,
        now: MonoTime,
        asked: &StorageQuery,
        told: Option<StorageReport>,
    ) {
        if let Some(report) = told {
            self.told_start(now, &asked.service, &asked.upstream, report.start);
        }
        if let Some(queue) = self.queues.get_mut(&asked.service) {
            let all = queue.spec.room_bytes;
            if let Some(upstream) = queue.upstream(&asked.upstream) {
                upstream.told_room(told.map(|t| t.free_bytes), all);
            }
        }
    }

    /// This instance fills the batches from now on: results of the owner before
    /// may lie at every upstream.
    pub fn take_over(&mut self) {
        for queue in self.queues.values_mut() {
            for upstream in &mut queue.upstreams {
                upstream.others.doubt();
            }
        }
    }
}
