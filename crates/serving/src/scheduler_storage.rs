//! Queries for the free storage of upstreams.

use jd_types::MonoTime;

use crate::StageScheduler;
use crate::StorageQuery;
use crate::StorageReport;

impl StageScheduler {
    /// Returns the queries for free storage that have to be sent now.
    pub fn storage_queries(&mut self, now: MonoTime) -> Vec<StorageQuery> {
        let mut queries = Vec::new();
        if self.is_transferring() {
            return queries;
        }
        for (service, queue) in &mut self.queues {
            let result_ttl = queue.spec.result_ttl;
            let due = queue.upstreams.iter_mut();
            let due = due.filter_map(|u| u.untracked.take_due_query(now, result_ttl).then_some(u));
            queries.extend(due.map(|u| StorageQuery {
                service: service.clone(),
                upstream: u.id.clone(),
                start: u.start,
                address: u.address,
            }));
        }
        queries
    }

    /// Records the answer to a query for free storage; `None` if there was none.
    pub fn record_storage_report(
        &mut self,
        now: MonoTime,
        query: &StorageQuery,
        report: Option<StorageReport>,
    ) {
        if let Some(report) = report {
            self.record_start(now, &query.service, &query.upstream, report.start);
        }
        if let Some(queue) = self.queues.get_mut(&query.service) {
            let capacity = queue.spec.room_bytes;
            if let Some(upstream) = queue.upstream(&query.upstream) {
                upstream.record_free_storage(report.map(|t| t.free_bytes), capacity);
            }
        }
    }

    /// Marks the free storage of all upstreams as unknown, after this instance has become the owner
    /// of the shard: results of the previous owner may be stored at each of them.
    pub fn take_over(&mut self) {
        for queue in self.queues.values_mut() {
            for upstream in &mut queue.upstreams {
                upstream.untracked.mark_unknown();
            }
        }
    }
}
