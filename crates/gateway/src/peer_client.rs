//! Client side of the calls between instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::with_timeout;
use jd_serving::Heartbeat;
use jd_serving::InstanceEntry;
use jd_serving::Shard;
use jd_serving::StageJob;
use jd_serving::forward_candidates;
use jd_serving::heartbeat_peers;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use jd_wire::BeatReply;
use jd_wire::BeatRequest;
use jd_wire::CrashReportReply;
use jd_wire::FollowRequest;
use jd_wire::GatewayClient;
use jd_wire::PackedParts;
use jd_wire::PartsTaken;
use jd_wire::ReleaseRequest;
use jd_wire::UpstreamPace;

use crate::job_waiter::JobOutcome;
use crate::peer_instance;
use crate::peer_limits;
use crate::peer_paces;
use crate::peer_quarantine;
use crate::peer_quarantine::RunReport;
use crate::peer_replication;
use crate::peer_replication::SourceReply;
use crate::peer_stages;
use crate::quarantine::QuarantineSource;
use crate::state::State;

/// Interval between heartbeats. Three fit into the time after which an instance counts as
/// silent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval while no other instance is known, so that all listed instances get a
/// heartbeat soon after the first read of the store.
const INITIAL_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest pause between heartbeats, however many changes there are to report: four
/// times the usual rate at most while a fault lasts.
const MIN_HEARTBEAT_PAUSE: Duration = Duration::from_millis(100);
/// Instances to forward requests to below which others are asked, and most that heartbeats are
/// exchanged with for this reason.
const MIN_FORWARD_PEERS: usize = 3;
const MAX_FORWARD_PEERS: usize = 8;
/// How long the same candidates are asked: two heartbeats.
const FORWARD_ROUND: Duration = Duration::from_millis(800);
/// Timeout for one part of another instance's packed records: many starting instances
/// share its link.
const PART_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of a heartbeat, after which its connection is reset. Other short calls have it
/// too.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls other instances.
#[derive(Debug)]
pub(crate) struct PeerClient {
    state: Arc<State>,
}

impl PeerClient {
    pub(crate) fn new(state: Arc<State>) -> PeerClient {
        PeerClient { state }
    }

    /// Sends heartbeats to the monitored instances, forever.
    pub(crate) async fn send_heartbeats(self: Arc<Self>) {
        let mut first_owners: BTreeMap<Shard, SocketAddr> = BTreeMap::new();
        loop {
            self.log_owner_changes(&mut first_owners);
            let all: Vec<InstanceEntry> = {
                let cluster = self.state.cluster();
                cluster.instances.entries().cloned().collect()
            };
            self.state.channels.retain(&all);
            let pause = match all.is_empty() {
                true => INITIAL_HEARTBEAT_INTERVAL,
                false => HEARTBEAT_INTERVAL,
            };
            let now = self.state.now();
            let mut zones = self.state.paces.zones_by_owner(now, &first_owners);
            self.record_own_paces(now, &zones);
            for peer in self.select_monitored(all) {
                let peers = Arc::clone(&self);
                let zones = zones.remove(&peer.peer_address).unwrap_or_default();
                let sending = async move { peers.send_heartbeat(&peer, &zones).await };
                self.state.executor.spawn(sending).detach();
            }
            // New findings on requests and upstreams end the wait early, after the
            // shortest pause.
            Timer::after(pause.min(MIN_HEARTBEAT_PAUSE)).await;
            let heartbeat_requested = &self.state.heartbeat_requested;
            heartbeat_requested
                .wait_timeout(pause.saturating_sub(MIN_HEARTBEAT_PAUSE))
                .await;
        }
    }

    /// Logs the first owner of each watched shard when it changes.
    fn log_owner_changes(&self, first_owners: &mut BTreeMap<Shard, SocketAddr>) {
        let shards = self.state.watched_shards();
        first_owners.retain(|shard, _| shards.contains(shard));
        for shard in shards {
            let order = self.state.owner_order(&shard);
            let Some(first) = order.first() else {
                continue;
            };
            if first_owners.insert(shard.clone(), *first) != Some(*first) {
                log::info!(shard:? = shard, owner:% = first; "owner of stages");
            }
        }
    }

    /// Has another instance run the stages of a request; none if it does not answer.
    pub(crate) async fn run_stages(
        &self,
        owner: SocketAddr,
        shard: &Shard,
        job: &StageJob,
    ) -> Option<JobOutcome> {
        let now = self.state.now();
        let mut client = GatewayClient::new(self.state.channels.channel_to(owner));
        let req = peer_stages::stages_request(job, shard, now);
        let reply = client.run_stages(req).await.ok()?.into_inner();
        Some(peer_stages::outcome_of(reply))
    }

    /// Tells another instance that these results are no longer needed; false if it does
    /// not answer.
    pub(crate) async fn release_results(
        &self,
        owner: SocketAddr,
        handles: &[CompactString],
    ) -> bool {
        let mut client = GatewayClient::new(self.state.channels.channel_to(owner));
        let release = ReleaseRequest {
            results: handles.iter().map(CompactString::to_string).collect(),
        };
        let reply = with_timeout(HEARTBEAT_TIMEOUT, client.release_results(release)).await;
        matches!(reply, Some(Ok(_)))
    }

    /// Sends a report on runs to a coordinator of the quarantine; none if it does not answer.
    pub(crate) async fn report_crashes(
        &self,
        coordinator: SocketAddr,
        report: &RunReport,
        timeout: Duration,
    ) -> Option<CrashReportReply> {
        let mut client = GatewayClient::new(self.state.channels.channel_to(coordinator));
        let req = peer_quarantine::wire_report(report, self.state.now());
        let reply = with_timeout(timeout, client.report_crashes(req)).await;
        Some(reply?.ok()?.into_inner())
    }

    /// Gets another instance's store updates, which are empty if there are none within
    /// `wait`; none if it does not answer.
    pub(crate) async fn follow(&self, id: Incarnation, wait: Duration) -> Option<SourceReply> {
        let req = peer_replication::follow_request(&self.state, id, wait);
        self.request(id, req, wait).await
    }

    /// Gets everything that another instance has of the store; none if it does not
    /// answer.
    pub(crate) async fn fetch_all(&self, id: Incarnation) -> Option<SourceReply> {
        let req = FollowRequest {
            takes_parts: true,
            ..FollowRequest::default()
        };
        self.request(id, req, Duration::ZERO).await
    }

    /// Gets everything that the instance at an address has of the store, which is empty
    /// if it has nothing within `wait`; none if it does not answer.
    pub(crate) async fn fetch_all_at(
        &self,
        source: SocketAddr,
        wait: Duration,
    ) -> Option<SourceReply> {
        let req = FollowRequest {
            takes_parts: true,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            ..FollowRequest::default()
        };
        self.request_from(source, req, wait).await
    }

    async fn request(
        &self,
        id: Incarnation,
        req: FollowRequest,
        wait: Duration,
    ) -> Option<SourceReply> {
        self.request_from(self.address_of(id)?, req, wait).await
    }

    async fn request_from(
        &self,
        source: SocketAddr,
        mut req: FollowRequest,
        wait: Duration,
    ) -> Option<SourceReply> {
        let channel = self.state.channels.channel_to(source);
        let mut client = GatewayClient::new(channel.clone());
        let mut parts = PackedParts::default();
        let mut timeout = wait + HEARTBEAT_TIMEOUT;
        loop {
            let sent = self.state.now();
            let Some(reply) = with_timeout(timeout, client.follow(req)).await else {
                // This connection may hang forever while new ones work.
                channel.reset();
                return None;
            };
            match parts.take(&req, reply.ok()?.into_inner()) {
                PartsTaken::Whole(reply) => return peer_replication::decode_reply(sent, *reply),
                PartsTaken::Asks(next) => req = next,
                PartsTaken::Refused => {
                    log::error!(source:%; "parts of another instance's records do not fit together; requesting all of them again");
                    return None;
                }
            }
            timeout = PART_TIMEOUT;
        }
    }

    fn address_of(&self, id: Incarnation) -> Option<SocketAddr> {
        let cluster = self.state.cluster();
        Some(cluster.instances.entry(id)?.peer_address)
    }

    /// Selects the instances to exchange heartbeats with, and marks them as monitored.
    fn select_monitored(&self, mut all: Vec<InstanceEntry>) -> Vec<InstanceEntry> {
        let shards = self.state.watched_shards();
        let source = self.state.update_source().instance();
        let mut ids = heartbeat_peers(&self.state.own_entry, &all, &shards, source);
        let now = self.state.now();
        if self.state.path.is_lost() && ids.len() < all.len() {
            self.add_forward_peers(now, &all, &mut ids);
        }
        self.state.cluster().instances.set_monitored(now, &ids);
        all.retain(|e| ids.contains(&e.incarnation));
        all
    }

    /// Adds instances that requests can be forwarded to, and others that may be if these are few.
    fn add_forward_peers(&self, now: MonoTime, all: &[InstanceEntry], ids: &mut Vec<Incarnation>) {
        let known: Vec<Incarnation> = {
            let cluster = self.state.cluster();
            let targets = cluster.instances.forward_targets(now);
            let targets = targets.map(|e| e.incarnation);
            targets.take(MAX_FORWARD_PEERS).collect()
        };
        let is_enough = known.len() >= MIN_FORWARD_PEERS;
        ids.extend(known);
        if !is_enough {
            let round = now.as_micros() / FORWARD_ROUND.as_micros() as u64;
            let me = self.state.own_entry.incarnation;
            ids.extend(forward_candidates(me, all, round));
        }
        ids.sort_unstable();
        ids.dedup();
    }

    /// Records what this instance observes of the upstreams of the shards that it owns itself.
    fn record_own_paces(&self, now: MonoTime, zones: &BTreeMap<SocketAddr, Vec<Option<Name>>>) {
        let state = &self.state;
        let own = &state.own_entry;
        if let Some(zones) = zones.get(&own.peer_address) {
            let report = state.paces.take_report(now, own.peer_address, zones);
            state
                .paces
                .record(now, own.incarnation, report, &state.metrics);
        }
    }

    /// What this instance observes of the upstreams in the zones of shards that a peer owns.
    fn report_paces(&self, peer: &InstanceEntry, zones: &[Option<Name>]) -> Vec<UpstreamPace> {
        if zones.is_empty() {
            return Vec::new();
        }
        let now = self.state.now();
        let report = self.state.paces.take_report(now, peer.peer_address, zones);
        peer_paces::wire_paces(report, now)
    }

    /// Sends a heartbeat to a peer that owns shards in `zones`.
    async fn send_heartbeat(&self, peer: &InstanceEntry, zones: &[Option<Name>]) {
        let channel = self.state.channels.channel_to(peer.peer_address);
        let mut client = GatewayClient::new(channel.clone());
        let beat = BeatRequest {
            incarnation: self.state.own_entry.incarnation.get(),
            leaving: self.state.is_leaving(),
            ready: self.state.is_ready(),
            has_read: self.state.has_read(),
            quarantine: peer_quarantine::wire_quarantine(&self.state.quarantine, self.state.now()),
            limits: peer_limits::wire_limits(&self.state),
            paces: self.report_paces(peer, zones),
            upstream_path: peer_instance::wire_path(self.state.path.reported()),
            brittle: self.state.brittle.wire(self.state.now()),
        };
        let sent = self.state.now();
        match with_timeout(HEARTBEAT_TIMEOUT, client.beat(beat)).await {
            Some(Ok(reply)) => self.apply_heartbeat_reply(peer, sent, reply.into_inner()),
            Some(Err(_)) => {}
            // This connection may hang forever while new ones work.
            None => channel.reset(),
        }
    }

    fn apply_heartbeat_reply(&self, peer: &InstanceEntry, sent: MonoTime, reply: BeatReply) {
        let now = self.state.now();
        let updates = peer_quarantine::quarantine_of(reply.quarantine);
        self.state
            .quarantine
            .apply(now, QuarantineSource::Beat, updates);
        peer_limits::record(&self.state, reply.limits);
        self.state.brittle.apply(now, reply.brittle);
        let mut cluster = self.state.cluster();
        // The reply was made after the heartbeat was sent. So the age of its proof,
        // counted back from `sent`, never makes the proof look more recent than it is.
        if let Some(proof) = reply.proof {
            cluster
                .freshness
                .adopt(peer_replication::proof_at(sent, proof));
        }
        for backlog in reply.backlogs {
            let wait = Duration::from_millis(u64::from(backlog.wait_ms));
            if let Some(shard) = backlog.shard {
                cluster
                    .backlogs
                    .insert(peer_stages::shard_of(shard), (now, wait));
            }
        }
        let unlisted = reply.unlisted.iter();
        for entry in unlisted.filter_map(peer_instance::instance_of) {
            if entry.peer_address != self.state.own_entry.peer_address {
                cluster.instances.add_reported(now, entry);
            }
        }
        let stopping = reply.stopping.iter();
        for entry in stopping.filter_map(peer_instance::instance_of) {
            if entry.peer_address != self.state.own_entry.peer_address {
                let entry = InstanceEntry {
                    leaving: true,
                    ..entry
                };
                cluster.instances.add_reported(now, entry);
            }
        }
        let heartbeat = Heartbeat {
            leaving: reply.leaving,
            ready: reply.ready,
            store_loaded: reply.has_read,
            upstream_path: peer_instance::path_of(reply.upstream_path),
        };
        match Incarnation::new(reply.incarnation) {
            id if id == peer.incarnation => {
                cluster.instances.record_heartbeat(now, id, heartbeat);
                cluster.record_version(now, id, reply.version);
            }
            later => {
                let instances = &mut cluster.instances;
                instances.record_restart(now, peer.incarnation, later);
                instances.record_heartbeat(now, later, heartbeat);
            }
        }
    }
}
