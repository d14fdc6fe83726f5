//! Adoption and release of replicated results by the scheduler.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::Incarnation;
use jd_types::MonoTime;

use crate::HandoverEvent;
use crate::JobKey;
use crate::OwnerPresence;
use crate::PieceKey;
use crate::ReplicaReply;
use crate::ReplicaUpdate;
use crate::StageScheduler;
use crate::StoredResult;
use crate::result_storage::ResultStorage;
use crate::scheduled_job::ScheduledJob;
use crate::stage_handover::adopted_result::AdoptedResult;
use crate::stage_queue::StageQueue;

/// How long results of a silent owner are kept for jobs that are submitted again, from the time at
/// which this instance took the shard over. Instances notice the silence of an owner within a
/// heartbeat interval of each other, and submit their jobs at once.
const CLAIM_TIME: Duration = Duration::from_millis(1_500);
/// How long an owner has to be missing in the store before its results are released. An instance
/// whose entry was removed by mistake writes it again within one or two calls to the store.
const GONE_TIME: Duration = Duration::from_millis(500);

impl StageScheduler {
    /// True if there may be changes to send to the successor.
    pub fn needs_replication(&self) -> bool {
        !self.jobs.is_empty() || self.handover.replicator.has_replicated()
    }

    /// Returns the changes of the results of unfinished jobs to send to the successor; `None` if
    /// there are none now.
    ///
    /// Results of finished jobs are left to the requests that hold them.
    pub fn replica_update(
        &mut self,
        now: MonoTime,
        successor: SocketAddr,
    ) -> Option<ReplicaUpdate> {
        if !self.handover.replicator.may_send(now, successor) {
            return None;
        }
        let jobs = self.jobs.values();
        let stored: HashMap<&CompactString, (&ScheduledJob, PieceKey)> = jobs
            .flat_map(|job| {
                let results = job.progress.stored_results();
                results.map(move |(piece, handle)| (handle, (job, piece)))
            })
            .collect();
        let (storage, queues) = (&self.storage, &self.queues);
        let describe = |handle: &CompactString, (job, piece): (&ScheduledJob, PieceKey)| {
            describe_result(storage, queues, job, piece, handle)
        };
        self.handover.replicator.next_update(&stored, describe)
    }

    /// The stored result of a piece; none if it is not tracked here.
    pub(crate) fn describe(
        &self,
        job: &ScheduledJob,
        piece: PieceKey,
        handle: &CompactString,
    ) -> Option<StoredResult> {
        let described = describe_result(&self.storage, &self.queues, job, piece, handle);
        described.filter(StoredResult::is_replicable)
    }

    /// Records the reply of a successor to the last update.
    pub fn record_replica_reply(
        &mut self,
        now: MonoTime,
        successor: SocketAddr,
        reply: ReplicaReply,
    ) {
        let replicator = &mut self.handover.replicator;
        replicator.record_reply(now, successor, reply);
    }

    /// Applies an update of another owner of the shard. Returns false if earlier updates of that
    /// owner are missing.
    pub fn apply_replica_update(
        &mut self,
        now: MonoTime,
        owner: Incarnation,
        update: ReplicaUpdate,
    ) -> bool {
        match self.handover.replica(owner) {
            None if !update.whole => return false,
            None => {
                if let Some(replaced) = self.handover.add_replica(owner)
                    && replaced.silent_since.is_some()
                {
                    self.uncount(replaced.results().cloned().collect());
                }
            }
            Some(_) => self.set_running(owner),
        }
        self.withdraw_adopted(now, owner, &update.removed);
        let adopted = &self.handover.adopted;
        let mut replicas = self.handover.replicas.iter_mut();
        if let Some(replica) = replicas.find(|r| r.owner == owner) {
            replica.apply(now, update, |handle| adopted.contains_key(handle));
        }
        true
    }

    /// Gives a new job the results that an earlier owner stored for the same request, so that the
    /// finished pieces do not run again.
    pub(crate) fn adopt_results(&mut self, now: MonoTime, key: JobKey) {
        self.claim_transferred(now, key);
        let Some(job) = self.jobs.get(&key).map(|j| j.progress.job()) else {
            return;
        };
        let (request_id, content) = (job.request_id.clone(), job.content);
        for n in 0..self.handover.replicas.len() {
            let replica = &mut self.handover.replicas[n];
            let (owner, update_age) = (replica.owner, now.since(replica.updated_at));
            let mut results = 0;
            for result in replica.take(&request_id, content) {
                // Two owners may have replicated the same result. The second replica must not
                // release it as unclaimed.
                if self.handover.adopted.contains_key(&result.handle) {
                    continue;
                }
                let adopts = self.is_stored(&result) && result.is_readable(now);
                if !(adopts && self.adopt(key, &result)) {
                    // It is released with the results that no job claims.
                    self.handover.replicas[n].insert(result);
                    continue;
                }
                self.count(now, &result);
                results += 1;
                let adopted = AdoptedResult {
                    owner,
                    expires_at: result.expires_at,
                    unneeded: false,
                };
                self.handover.adopted.insert(result.handle, adopted);
            }
            if results > 0 {
                let request_id = request_id.clone();
                self.handover.events.push(HandoverEvent::Adopted {
                    request_id,
                    owner,
                    results,
                    update_age,
                });
            }
        }
        let job = self.jobs.get_mut(&key).filter(|j| j.has_adopted);
        let read = job.map_or_else(Vec::new, |j| j.progress.mark_read_stages());
        self.release_results(read);
    }

    /// Marks a piece of a job as done by another owner. Returns false if the job has no such piece,
    /// or another result of it.
    pub(crate) fn adopt(&mut self, key: JobKey, result: &StoredResult) -> bool {
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        let stage = job.progress.job().stages.get(result.piece.stage);
        let is_same_service = stage.is_some_and(|s| s.service == result.service);
        if !is_same_service || !job.progress.is_unfinished(result.piece) {
            return false;
        }
        job.progress.mark_done(result.piece, result.handle.clone());
        job.has_adopted = true;
        true
    }

    /// Counts the storage of results that silent owners replicated, and releases those that no job
    /// has claimed. `owns` is true while this instance is the first owner of the shard.
    ///
    /// Results of an owner that is running are neither counted nor released: it does both itself.
    pub fn update_handover(
        &mut self,
        now: MonoTime,
        owns: bool,
        presence: impl Fn(Incarnation) -> OwnerPresence,
    ) {
        self.handover.expire(now);
        let owners = self.handover.replicas.iter().map(|r| r.owner);
        let owners: Vec<Incarnation> = owners.collect();
        for owner in owners {
            match presence(owner) {
                OwnerPresence::Silent | OwnerPresence::Gone if !owns => self.set_running(owner),
                OwnerPresence::Present => self.set_running(owner),
                presence => self.update_silent(now, owner, presence == OwnerPresence::Gone),
            }
        }
    }

    fn update_silent(&mut self, now: MonoTime, owner: Incarnation, is_gone: bool) {
        let Some(replica) = self.handover.replica(owner) else {
            return;
        };
        let is_new = replica.silent_since.is_none();
        let silent_since = *replica.silent_since.get_or_insert(now);
        replica.gone_since = match is_gone {
            true => replica.gone_since.or(Some(now)),
            false => None,
        };
        let is_gone = replica.gone_since.is_some_and(|at| now >= at + GONE_TIME);
        if is_new {
            let counted: Vec<StoredResult> = replica.results().cloned().collect();
            for result in &counted {
                self.count(now, result);
            }
        }
        let unneeded = &self.handover.adopted;
        let unneeded = unneeded
            .iter()
            .filter(|(_, a)| a.owner == owner && a.unneeded);
        let unneeded: Vec<CompactString> = unneeded.map(|(handle, _)| handle.clone()).collect();
        self.release_results(unneeded);
        if is_gone && now >= silent_since + CLAIM_TIME {
            self.free_unclaimed(now, owner, silent_since);
        }
    }

    /// Releases the results of an owner that no job has claimed.
    fn free_unclaimed(&mut self, now: MonoTime, owner: Incarnation, silent_since: MonoTime) {
        let Some(replica) = self.handover.replica(owner) else {
            return;
        };
        let update_age = now.since(replica.updated_at);
        let unclaimed = replica.take_all().into_iter();
        let unclaimed: Vec<StoredResult> = unclaimed.filter(|r| self.is_stored(r)).collect();
        if unclaimed.is_empty() {
            return;
        }
        self.handover.events.push(HandoverEvent::Freed {
            owner,
            results: unclaimed.len(),
            bytes: unclaimed.iter().map(|r| r.bytes).sum(),
            silent_for: now.since(silent_since),
            update_age,
        });
        self.release_results(unclaimed.into_iter().map(|r| r.handle).collect());
    }

    /// Records that an owner is running, or that this instance does not own the shard. The results
    /// of the owner then no longer count as storage that this scheduler has to free.
    fn set_running(&mut self, owner: Incarnation) {
        let Some(replica) = self.handover.replica(owner) else {
            return;
        };
        replica.gone_since = None;
        if replica.silent_since.take().is_some() {
            let counted: Vec<StoredResult> = replica.results().cloned().collect();
            self.uncount(counted);
        }
    }

    /// Runs the pieces again whose adopted results their owner has released: the connection to it
    /// broke, but it is running.
    fn withdraw_adopted(&mut self, now: MonoTime, owner: Incarnation, removed: &[CompactString]) {
        let adopted = &mut self.handover.adopted;
        let mut withdrawn = Vec::new();
        for handle in removed {
            if adopted.get(handle).is_some_and(|a| a.owner == owner) {
                adopted.remove(handle);
                withdrawn.push(handle.clone());
            }
        }
        if withdrawn.is_empty() {
            return;
        }
        for handle in &withdrawn {
            self.stop_tracking(handle);
        }
        let results = withdrawn.len();
        let event = HandoverEvent::Withdrawn { owner, results };
        self.handover.events.push(event);
        for (job, piece) in self.producers(&withdrawn) {
            self.rerun_piece(now, job, piece);
        }
    }

    /// Returns the decisions on replicated results since the last call.
    pub fn take_handover_events(&mut self) -> Vec<HandoverEvent> {
        std::mem::take(&mut self.handover.events)
    }

    /// True if this scheduler holds results that other owners replicated, or its jobs have adopted
    /// such results.
    pub fn has_handover_state(&self) -> bool {
        !self.handover.replicas.is_empty() || !self.handover.adopted.is_empty()
    }

    /// True if the upstream that stored a result is in use and has not restarted since. A result
    /// with more bytes than an upstream has cannot be stored: the figure comes from a peer, and
    /// would fill the counted storage.
    pub(crate) fn is_stored(&self, result: &StoredResult) -> bool {
        let queue = self.queues.get(&result.service);
        let queue = queue.filter(|q| result.bytes <= q.spec.room_bytes);
        let mut upstreams = queue.iter().flat_map(|q| q.upstreams.iter());
        let upstream = upstreams.find(|u| u.id == result.upstream);
        upstream.is_some_and(|u| !u.start.is_later_than(result.start))
    }

    /// Counts a result as used storage until it expires.
    pub(crate) fn count(&mut self, now: MonoTime, result: &StoredResult) {
        if self.storage.location(&result.handle).is_some() || !self.is_stored(result) {
            return;
        }
        let queue = self.queues.get_mut(&result.service);
        if let Some(upstream) = queue.and_then(|q| q.upstream(&result.upstream)) {
            upstream.reserve_storage(result.bytes);
            let location = (&result.service, &result.upstream);
            let handle = result.handle.clone();
            self.storage
                .insert(handle, location, result.bytes, (now, result.expires_at));
        }
    }

    fn uncount(&mut self, results: Vec<StoredResult>) {
        for result in results {
            self.stop_tracking(&result.handle);
        }
    }

    pub(crate) fn stop_tracking(&mut self, handle: &str) {
        if let Some(((service, upstream, bytes), _)) = self.storage.remove(handle) {
            self.free_storage(&service, &upstream, bytes);
        }
    }
}

fn describe_result(
    storage: &ResultStorage,
    queues: &HashMap<CompactString, StageQueue>,
    job: &ScheduledJob,
    piece: PieceKey,
    handle: &CompactString,
) -> Option<StoredResult> {
    let (service, upstream, bytes) = storage.location(handle)?;
    let mut upstreams = queues.get(service)?.upstreams.iter();
    let start = upstreams.find(|u| u.id == *upstream)?.start;
    let job = job.progress.job();
    Some(StoredResult {
        request_id: job.request_id.clone(),
        content: job.content,
        piece,
        handle: handle.clone(),
        service: service.clone(),
        upstream: upstream.clone(),
        start,
        bytes,
        expires_at: storage.expires_at(handle)?,
    })
}
