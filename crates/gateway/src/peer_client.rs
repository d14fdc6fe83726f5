//! Talking to other instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::with_timeout;
use jd_serving::Heartbeat;
use jd_serving::InstanceEntry;
use jd_serving::JobFailure;
use jd_serving::Shard;
use jd_serving::StageJob;
use jd_serving::heartbeat_peers;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_wire::BeatReply;
use jd_wire::BeatRequest;
use jd_wire::FollowRequest;
use jd_wire::GatewayClient;
use jd_wire::PackedParts;
use jd_wire::PartsTaken;
use jd_wire::ReleaseRequest;

use crate::peer_instance;
use crate::peer_limits;
use crate::peer_quarantine;
use crate::peer_quarantine::RunReport;
use crate::peer_replication;
use crate::peer_replication::SourceReply;
use crate::peer_stages;
use crate::quarantine::QuarantineSource;
use crate::state::State;

/// How often an instance tells the others that it is there. Three beats fit
/// into the time after which an instance counts as silent.
const BEAT_EVERY: Duration = Duration::from_millis(400);
/// The pause while no other instance is known: soon after the store was read for
/// the first time all that it lists are to be heard.
const BEAT_FIRST: Duration = Duration::from_millis(50);
/// The shortest pause, however much there is to tell at once: four times the usual beats
/// while a trouble lasts.
const BEAT_SOONEST: Duration = Duration::from_millis(100);
/// How long a part of the records of another instance may take: many that start share its
/// link.
const PART_WITHIN: Duration = Duration::from_millis(2_500);
/// How long a beat may take before its connection is given up.
const BEAT_WITHIN: Duration = Duration::from_millis(800);

/// What this instance says to others.
#[derive(Debug)]
pub(crate) struct PeerClient {
    state: Arc<State>,
}

impl PeerClient {
    pub(crate) fn new(state: Arc<State>) -> PeerClient {
        PeerClient { state }
    }

    /// Tells all other instances for good that this one is there.
    pub(crate) async fn send_heartbeats(self: Arc<Self>) {
        let mut firsts: BTreeMap<Shard, SocketAddr> = BTreeMap::new();
        loop {
            self.note_owners(&mut firsts);
            let all: Vec<InstanceEntry> = {
                let cluster = self.state.cluster();
                cluster.instances.entries().cloned().collect()
            };
            self.state.channels.retain(&all);
            let pause = match all.is_empty() {
                true => BEAT_FIRST,
                false => BEAT_EVERY,
            };
            for peer in self.watched(all) {
                let peers = Arc::clone(&self);
                let beating = async move { peers.beat_one(&peer).await };
                self.state.executor.spawn(beating).detach();
            }
            // What was newly heard of requests and upstreams is told at once.
            Timer::after(pause.min(BEAT_SOONEST)).await;
            let soon = &self.state.heartbeat_requested;
            soon.wait_timeout(pause.saturating_sub(BEAT_SOONEST)).await;
        }
    }

    /// Logs where this instance asks for stages first, when that changes.
    fn note_owners(&self, firsts: &mut BTreeMap<Shard, SocketAddr>) {
        let shards = self.state.watched_shards();
        firsts.retain(|shard, _| shards.contains(shard));
        for shard in shards {
            let order = self.state.owner_order(&shard);
            let Some(first) = order.first() else {
                continue;
            };
            if firsts.insert(shard.clone(), *first) != Some(*first) {
                log::info!(shard:? = shard, owner:% = first; "owner of stages");
            }
        }
    }

    /// Has another instance do the stages of a request; none if it does not
    /// answer.
    pub(crate) async fn run_stages(
        &self,
        owner: SocketAddr,
        shard: &Shard,
        job: &StageJob,
    ) -> Option<Result<Vec<CompactString>, JobFailure>> {
        let now = self.state.now();
        let mut client = GatewayClient::new(self.state.channels.channel_to(owner));
        let asked = peer_stages::stages_request(job, shard, now);
        let reply = client.run_stages(asked).await.ok()?.into_inner();
        Some(peer_stages::outcome_of(reply))
    }

    /// Tells another instance that nobody works on these results any more; false
    /// if it does not answer.
    pub(crate) async fn release_results(
        &self,
        owner: SocketAddr,
        handles: &[CompactString],
    ) -> bool {
        let mut client = GatewayClient::new(self.state.channels.channel_to(owner));
        let release = ReleaseRequest {
            results: handles.iter().map(CompactString::to_string).collect(),
        };
        let told = with_timeout(BEAT_WITHIN, client.release_results(release)).await;
        matches!(told, Some(Ok(_)))
    }

    /// Tells what was seen of runs to a coordinator of the quarantine; false if it does not
    /// answer.
    pub(crate) async fn report_crashes(&self, coordinator: SocketAddr, report: &RunReport) -> bool {
        let mut client = GatewayClient::new(self.state.channels.channel_to(coordinator));
        let told = peer_quarantine::wire_report(report, self.state.now());
        let told = with_timeout(BEAT_WITHIN, client.report_crashes(told)).await;
        matches!(told, Some(Ok(_)))
    }

    /// Hears another instance's news of the store, or after `wait` that there is
    /// none; none if it does not answer.
    pub(crate) async fn follow(&self, id: Incarnation, wait: Duration) -> Option<SourceReply> {
        let asked = peer_replication::follow_request(&self.state, id, wait);
        self.ask(id, asked, wait).await
    }

    /// Hears all that another instance knows of the store; none if it does not answer.
    pub(crate) async fn fetch_all(&self, id: Incarnation) -> Option<SourceReply> {
        let asked = FollowRequest {
            takes_parts: true,
            ..FollowRequest::default()
        };
        self.ask(id, asked, Duration::ZERO).await
    }

    /// Hears all that the instance at an address knows of the store, or after `wait` that
    /// it knows nothing; none if it does not answer.
    pub(crate) async fn fetch_all_at(
        &self,
        source: SocketAddr,
        wait: Duration,
    ) -> Option<SourceReply> {
        let asked = FollowRequest {
            takes_parts: true,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            ..FollowRequest::default()
        };
        self.ask_at(source, asked, wait).await
    }

    async fn ask(
        &self,
        id: Incarnation,
        asked: FollowRequest,
        wait: Duration,
    ) -> Option<SourceReply> {
        self.ask_at(self.address_of(id)?, asked, wait).await
    }

    async fn ask_at(
        &self,
        source: SocketAddr,
        mut asked: FollowRequest,
        wait: Duration,
    ) -> Option<SourceReply> {
        let channel = self.state.channels.channel_to(source);
        let mut client = GatewayClient::new(channel.clone());
        let mut parts = PackedParts::default();
        let mut patience = wait + BEAT_WITHIN;
        loop {
            let sent = self.state.now();
            let Some(reply) = with_timeout(patience, client.follow(asked)).await else {
                // The connection may be silent for good while new ones work.
                channel.reset();
                return None;
            };
            match parts.take(&asked, reply.ok()?.into_inner()) {
                PartsTaken::Whole(reply) => return peer_replication::decode_reply(sent, *reply),
                PartsTaken::Asks(next) => asked = next,
                PartsTaken::Refused => {
                    log::error!(source:%; "parts of another instance's records cannot be put together; it is asked anew");
                    return None;
                }
            }
            patience = PART_WITHIN;
        }
    }

    fn address_of(&self, id: Incarnation) -> Option<SocketAddr> {
        let cluster = self.state.cluster();
        Some(cluster.instances.entry(id)?.peer_address)
    }

    /// The instances that heartbeats are exchanged with, noted as watched.
    fn watched(&self, mut all: Vec<InstanceEntry>) -> Vec<InstanceEntry> {
        let shards = self.state.watched_shards();
        let source = self.state.news_source().instance();
        let ids = heartbeat_peers(&self.state.own_entry, &all, &shards, source);
        let now = self.state.now();
        self.state.cluster().instances.set_monitored(now, &ids);
        all.retain(|e| ids.contains(&e.incarnation));
        all
    }

    async fn beat_one(&self, peer: &InstanceEntry) {
        let channel = self.state.channels.channel_to(peer.peer_address);
        let mut client = GatewayClient::new(channel.clone());
        let beat = BeatRequest {
            incarnation: self.state.own_entry.incarnation.get(),
            leaving: self.state.is_leaving(),
            ready: self.state.is_ready(),
            has_read: self.state.store_loaded(),
            quarantine: peer_quarantine::wire_quarantine(&self.state.quarantine, self.state.now()),
            limits: peer_limits::wire_limits(&self.state),
        };
        let sent = self.state.now();
        match with_timeout(BEAT_WITHIN, client.beat(beat)).await {
            Some(Ok(reply)) => self.take_reply(peer, sent, reply.into_inner()),
            Some(Err(_)) => {}
            // The connection may be silent for good while new ones work.
            None => channel.reset(),
        }
    }

    fn take_reply(&self, peer: &InstanceEntry, sent: MonoTime, reply: BeatReply) {
        let now = self.state.now();
        let told = peer_quarantine::quarantine_of(reply.quarantine);
        self.state
            .quarantine
            .apply(now, QuarantineSource::Beat, told);
        peer_limits::record(&self.state, reply.limits);
        let mut cluster = self.state.cluster();
        // The reply was made after the beat was sent, so the question that it
        // tells of was put at that moment less its age or later.
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
        let said = Heartbeat {
            leaving: reply.leaving,
            ready: reply.ready,
            store_loaded: reply.has_read,
        };
        match Incarnation::new(reply.incarnation) {
            id if id == peer.incarnation => {
                cluster.instances.record_heartbeat(now, id, said);
                cluster.record_version(now, id, reply.version);
            }
            later => {
                let instances = &mut cluster.instances;
                instances.record_restart(now, peer.incarnation, later);
                instances.record_heartbeat(now, later, said);
            }
        }
    }
}
