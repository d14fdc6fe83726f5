//! The instances that own shards or have other duties, in the order in which they are tried.

use std::net::SocketAddr;
use std::time::Duration;

use jd_net::lock;
use jd_serving::SMALL_FLEET;
use jd_serving::Shard;
use jd_serving::rank_owners;

use crate::state::State;

/// How many owners of a shard or limiters of an upstream are tried in turn.
const MAX_OWNERS: usize = 3;
/// Instances that may coordinate the fleet, one in place of the other: all of a small fleet, and where
/// the store rejects two thirds of a larger one, hardly ever none that it serves.
const MAX_COORDINATORS: usize = SMALL_FLEET;
/// How long the backlog that an owner reported is valid: three heartbeats.
const BACKLOG_LIFETIME: Duration = Duration::from_millis(1_200);

impl State {
    /// The addresses of the first owners of a shard, in the order in which they are tried. A
    /// restarted instance keeps the place of its earlier incarnation. Instances without a path to
    /// the upstreams own no shard, unless all have lost it.
    pub(crate) fn owner_order(&self, shard: &Shard) -> Vec<SocketAddr> {
        let now = self.now();
        let order: Vec<SocketAddr> = {
            let cluster = self.cluster();
            let others = cluster.instances.live_with_path(now);
            let has_path = !self.is_leaving() && !self.path.is_lost();
            let own = has_path.then_some(&self.own_entry);
            let order = rank_owners(shard, others.chain(own), MAX_OWNERS);
            order.into_iter().map(|e| e.peer_address).collect()
        };
        match order.is_empty() {
            true => self.duty_order(shard),
            false => order,
        }
    }

    /// The addresses of the first instances for a duty that needs no path to the upstreams, in the
    /// order in which they are tried. While all instances stop, those that still answer.
    ///
    /// Where each instance had taken itself for the only one, all of them filled batches for the same
    /// upstreams.
    pub(crate) fn duty_order(&self, shard: &Shard) -> Vec<SocketAddr> {
        self.first_for_duty(shard, MAX_OWNERS)
    }

    fn first_for_duty(&self, shard: &Shard, limit: usize) -> Vec<SocketAddr> {
        let now = self.now();
        let cluster = self.cluster();
        let others = cluster.instances.live_loaded(now);
        let own = (!self.is_leaving()).then_some(&self.own_entry);
        let mut order = rank_owners(shard, others.chain(own), limit);
        if order.is_empty() {
            let stopping = cluster.instances.stopping(now);
            order = rank_owners(shard, stopping.chain([&self.own_entry]), limit);
        }
        order.into_iter().map(|e| e.peer_address).collect()
    }

    /// Records that this instance requests or runs stages of a shard, so that the owners of
    /// the shard are watched from now on.
    pub(crate) fn mark_shard_used(&self, shard: &Shard) {
        if lock(&self.used_shards).record_use(self.now(), shard) {
            self.heartbeat_requested.notify();
        }
    }

    /// How long pieces wait at the owner of a shard, as last reported; none if the report has
    /// expired, so that an owner is not avoided because of an old report.
    pub(crate) fn backlog(&self, shard: &Shard) -> Option<Duration> {
        let now = self.now();
        let cluster = self.cluster();
        match cluster.backlogs.get(shard) {
            Some((heard, wait)) if now.since(*heard) < BACKLOG_LIFETIME => Some(*wait),
            _ => None,
        }
    }

    /// The shards whose owners are watched.
    pub(crate) fn watched_shards(&self) -> Vec<Shard> {
        lock(&self.used_shards).monitored(self.now(), &self.shards.load())
    }

    /// The instances that may coordinate the fleet, in the order in which they do so: the first one
    /// that can. In a large fleet the first ones also read the store for the others.
    pub(crate) fn coordinators(&self) -> Vec<SocketAddr> {
        let fleet = Shard {
            zone: None,
            part: 0,
            parts: 1,
        };
        self.first_for_duty(&fleet, MAX_COORDINATORS)
    }

    /// True if this instance may decide for the fleet. One that is cut off takes running upstreams
    /// for crashed and itself for the first coordinator, and its decisions would apply to all.
    pub(crate) fn can_decide(&self) -> bool {
        let is_current = self.is_fresh() && !self.has_lost_store();
        // While all instances stop, those that still answer decide.
        is_current && (!self.is_leaving() || self.earlier_coordinators().is_some())
    }

    /// The coordinators before this instance; none if it is no coordinator.
    pub(crate) fn earlier_coordinators(&self) -> Option<Vec<SocketAddr>> {
        let mut all = self.coordinators();
        let is_own = |a: &SocketAddr| *a == self.own_entry.peer_address;
        let own = all.iter().position(is_own)?;
        all.truncate(own);
        Some(all)
    }

    /// True if this instance is the first owner of a known shard.
    pub(crate) fn owns(&self, shard: &Shard) -> bool {
        let known = self.shards.load().contains(shard);
        known && self.owner_order(shard).first() == Some(&self.own_entry.peer_address)
    }
}
