//! Replicates the stored results of owned shards to the successors of this instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_net::with_timeout;
use jd_serving::ReplicaReply;
use jd_serving::ReplicaUpdate;
use jd_serving::Shard;
use jd_wire::GatewayClient;
use tonic::Code;

use crate::batch_dispatcher::BatchDispatcher;
use crate::peer_handover;
use crate::state::State;

/// How often changes are sent. Shorter than a call of a stage, so that most of the results that are
/// lost with an owner are those of its last calls.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of an update. That of heartbeats, on the same connections.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(800);

/// Replicates the stored results of owned shards to the successors of this instance.
#[derive(Debug)]
pub(crate) struct ResultReplication {
    pub(crate) state: Arc<State>,
    pub(crate) dispatcher: Arc<BatchDispatcher>,
}

impl ResultReplication {
    /// Sends changes at each interval. Never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            Timer::after(REPLICATION_INTERVAL).await;
            for (shard, successor, update) in self.dispatcher.replica_updates() {
                let this = Arc::clone(&self);
                let sending = async move { this.send(shard, successor, update).await };
                self.state.executor.spawn(sending).detach();
            }
        }
    }

    async fn send(&self, shard: Shard, successor: SocketAddr, update: ReplicaUpdate) {
        let (added, removed, whole) = (update.results.len(), update.removed.len(), update.whole);
        let reply = self.exchange(&shard, successor, update).await;
        log::debug!(
            shard:? = shard,
            successor:% = successor,
            added,
            removed,
            whole,
            outcome = reply.as_str();
            "stored results replicated"
        );
        let metrics = &self.state.metrics;
        metrics.handover_update(reply.as_str());
        if reply == ReplicaReply::Applied {
            metrics.handover_results("replicated", added);
        }
        self.dispatcher
            .record_replica_reply(&shard, successor, reply);
    }

    async fn exchange(
        &self,
        shard: &Shard,
        successor: SocketAddr,
        update: ReplicaUpdate,
    ) -> ReplicaReply {
        let channel = self.state.channels.channel_to(successor);
        let mut client = GatewayClient::new(channel.clone());
        let (owner, now) = (self.state.own_entry.incarnation, self.state.now());
        let req = peer_handover::replicate_request(shard, owner, update, now);
        match with_timeout(UPDATE_TIMEOUT, client.replicate_results(req)).await {
            Some(Ok(reply)) if reply.get_ref().needs_whole => ReplicaReply::NeedsWhole,
            Some(Ok(_)) => ReplicaReply::Applied,
            Some(Err(status)) if status.code() == Code::Unimplemented => ReplicaReply::Unsupported,
            Some(Err(_)) => ReplicaReply::NoReply,
            None => {
                // This connection may hang forever while new ones work.
                channel.reset();
                ReplicaReply::NoReply
            }
        }
    }
}
