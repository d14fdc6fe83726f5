//! Stored results that owners of shards hand over to their successors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::HandoverEvent;
use jd_serving::JobTransfer;
use jd_serving::OwnerPresence;
use jd_serving::ReplicaReply;
use jd_serving::ReplicaUpdate;
use jd_serving::Shard;
use jd_serving::StoredResult;
use jd_types::Incarnation;
use jd_wire::GatewayClient;
use jd_wire::ReplicateResultsRequest;

use crate::batch_dispatcher::BatchDispatcher;
use crate::batch_dispatcher::ShardScheduler;
use crate::peer_handover;
use crate::state::State;

/// The timeout of a transfer, after which the next owner runs the pieces again: about a call of a
/// stage.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);

impl BatchDispatcher {
    /// The changes to send now, with the shard and the successor of each.
    pub(crate) fn replica_updates(&self) -> Vec<(Shard, SocketAddr, ReplicaUpdate)> {
        let now = self.state.now();
        let mut updates = Vec::new();
        let mut schedulers = lock(&self.schedulers);
        for (shard, entry) in schedulers.iter_mut().filter(|(_, e)| e.owned) {
            if !entry.scheduler.needs_replication() {
                continue;
            }
            let Some(successor) = self.successor(shard) else {
                continue;
            };
            if let Some(update) = entry.scheduler.replica_update(now, successor) {
                updates.push((shard.clone(), successor, update));
            }
        }
        updates
    }

    /// The instance that owns a shard after this one.
    fn successor(&self, shard: &Shard) -> Option<SocketAddr> {
        let own = self.state.own_entry.peer_address;
        let order = self.state.owner_order(shard).into_iter();
        order.skip_while(|a| *a != own).nth(1)
    }

    /// Records the reply of a successor to an update.
    pub(crate) fn record_replica_reply(
        &self,
        shard: &Shard,
        successor: SocketAddr,
        reply: ReplicaReply,
    ) {
        let now = self.state.now();
        if let Some(entry) = lock(&self.schedulers).get_mut(shard) {
            let scheduler = &mut entry.scheduler;
            scheduler.record_replica_reply(now, successor, reply);
        }
    }

    /// Applies an update of another owner. Returns false if earlier updates are missing, and `None`
    /// if the shard or the owner is unknown.
    ///
    /// An owner whose entry has not arrived yet could not be told from one that is gone, and its
    /// results would be released while it uses them.
    pub(crate) fn apply_replica_update(
        &self,
        shard: Shard,
        owner: Incarnation,
        update: ReplicaUpdate,
    ) -> Option<bool> {
        if !self.state.shards.load().contains(&shard) {
            return None;
        }
        self.state.cluster().instances.entry(owner)?;
        // The owner has to be monitored, because its silence decides.
        self.state.mark_shard_used(&shard);
        let now = self.state.now();
        let mut schedulers = lock(&self.schedulers);
        // The next check of ownership sets whether this instance owns the shard.
        let entry = schedulers.entry(shard).or_default();
        Some(entry.scheduler.apply_replica_update(now, owner, update))
    }

    /// The instance that owns a shard in place of this one; none if this one owns it, or nobody does.
    pub(crate) fn next_owner(&self, shard: &Shard) -> Option<SocketAddr> {
        let own = self.state.own_entry.peer_address;
        let first = self.state.owner_order(shard).into_iter().next();
        first.filter(|address| *address != own)
    }

    /// Takes over the results of jobs that another owner hands over; false if the shard is unknown.
    pub(crate) fn accept_transfer(
        self: &Arc<Self>,
        shard: Shard,
        owner: Incarnation,
        results: Vec<StoredResult>,
    ) -> bool {
        if !self.state.shards.load().contains(&shard) {
            return false;
        }
        self.state.mark_shard_used(&shard);
        let now = self.state.now();
        let mut schedulers = lock(&self.schedulers);
        let entry = schedulers.entry(shard.clone()).or_default();
        self.update_upstreams(&shard, entry);
        entry.scheduler.accept_transfer(now, owner, results);
        self.report_handover(&shard, entry);
        true
    }

    /// Sends the jobs of a shard that are due to the next owner.
    pub(crate) fn start_transfers(self: &Arc<Self>, shard: &Shard, entry: &mut ShardScheduler) {
        if !entry.scheduler.is_transferring() {
            return;
        }
        let Some(next) = self.next_owner(shard) else {
            return;
        };
        while let Some(transfer) = entry.scheduler.next_transfer() {
            let sending = Arc::clone(self).transfer(shard.clone(), next, transfer);
            self.state.executor.spawn(sending).detach();
        }
    }

    /// Hands jobs over to the next owner of their shard, and ends them here.
    async fn transfer(self: Arc<Self>, shard: Shard, next: SocketAddr, transfer: JobTransfer) {
        let accepted = match transfer.results.is_empty() {
            true => true,
            false => self.send_transfer(&shard, next, &transfer).await,
        };
        let results = transfer.results.len();
        let outcome = match accepted {
            true => "transferred",
            false => "not-transferred",
        };
        self.state.metrics.handover_results(outcome, results);
        log::info!(shard:? = shard, next:% = next, results, outcome; "begun jobs handed over");
        if let Some(entry) = lock(&self.schedulers).get_mut(&shard) {
            entry.scheduler.finish_transfer(transfer, accepted);
        }
        self.schedule(&shard);
    }

    async fn send_transfer(&self, shard: &Shard, next: SocketAddr, transfer: &JobTransfer) -> bool {
        let update = ReplicaUpdate {
            results: transfer.results.clone(),
            ..ReplicaUpdate::default()
        };
        let (owner, now) = (self.state.own_entry.incarnation, self.state.now());
        let req = ReplicateResultsRequest {
            handed_over: true,
            ..peer_handover::replicate_request(shard, owner, update, now)
        };
        let channel = self.state.channels.channel_to(next);
        let mut client = GatewayClient::new(channel.clone());
        match with_timeout(TRANSFER_TIMEOUT, client.replicate_results(req)).await {
            Some(reply) => reply.is_ok_and(|reply| !reply.get_ref().needs_whole),
            None => {
                // This connection may hang forever while new ones work.
                channel.reset();
                false
            }
        }
    }

    /// Counts, releases or expires the results that other owners of a shard replicated.
    pub(crate) fn update_handover(&self, shard: &Shard, entry: &mut ShardScheduler) {
        if !entry.scheduler.has_handover_state() {
            return;
        }
        self.update_upstreams(shard, entry);
        let (now, state) = (self.state.now(), &self.state);
        let presence = |owner| owner_presence(state, owner);
        entry.scheduler.update_handover(now, entry.owned, presence);
        self.report_handover(shard, entry);
    }

    /// Logs and counts the decisions on results of other owners.
    pub(crate) fn report_handover(&self, shard: &Shard, entry: &mut ShardScheduler) {
        let metrics = &self.state.metrics;
        for event in entry.scheduler.take_handover_events() {
            match event {
                HandoverEvent::Adopted {
                    request_id,
                    owner,
                    results,
                    update_age,
                } => {
                    metrics.handover_results("adopted", results);
                    log::info!(
                        shard:? = shard,
                        request = request_id.as_str(),
                        owner:% = owner,
                        results,
                        update_age_ms = update_age.as_millis() as u64;
                        "job continues with the results of another owner"
                    );
                }
                HandoverEvent::Freed {
                    owner,
                    results,
                    bytes,
                    silent_for,
                    update_age,
                } => {
                    metrics.handover_results("freed", results);
                    log::info!(
                        shard:? = shard,
                        owner:% = owner,
                        results,
                        bytes,
                        silent_ms = silent_for.as_millis() as u64,
                        update_age_ms = update_age.as_millis() as u64;
                        "unclaimed results of a silent owner are released"
                    );
                }
                HandoverEvent::Transferred { owner, results } => {
                    metrics.handover_results("received", results);
                    log::info!(
                        shard:? = shard,
                        owner:% = owner,
                        results;
                        "begun jobs of another owner taken over"
                    );
                }
                HandoverEvent::Withdrawn { owner, results } => {
                    metrics.handover_results("withdrawn", results);
                    log::info!(
                        shard:? = shard,
                        owner:% = owner,
                        results;
                        "adopted results were released by their owner"
                    );
                }
            }
        }
    }
}

/// Whether an owner is running, as far as heartbeats and the store tell.
fn owner_presence(state: &State, owner: Incarnation) -> OwnerPresence {
    let now = state.now();
    let cluster = state.cluster();
    match cluster.instances.is_present(now, owner) {
        true => OwnerPresence::Present,
        false if cluster.instances.is_listed(owner) => OwnerPresence::Silent,
        false => OwnerPresence::Gone,
    }
}
