//! Server side of the calls between instances.

use std::sync::Arc;

use compact_str::CompactString;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_serving::Heartbeat;
use jd_types::Incarnation;
use jd_wire::Backlog;
use jd_wire::BeatReply;
use jd_wire::BeatRequest;
use jd_wire::CrashReport;
use jd_wire::CrashReportReply;
use jd_wire::FollowReply;
use jd_wire::FollowRequest;
use jd_wire::Gateway;
use jd_wire::GatewayServer;
use jd_wire::Instance;
use jd_wire::PermitReply;
use jd_wire::PermitRequest;
use jd_wire::ReleaseReply;
use jd_wire::ReleaseRequest;
use jd_wire::ReplicateResultsReply;
use jd_wire::ReplicateResultsRequest;
use jd_wire::StagesReply;
use jd_wire::StagesRequest;
use jd_wire::StreamQuery;
use jd_wire::StreamQueryReply;
use jd_wire::StreamRecord;
use jd_wire::StreamRecordReply;
use tonic::Status;
use tower_service::Service;

use crate::batch_dispatcher::BatchDispatcher;
use crate::caller_api::CallerApi;
use crate::forwarded_from::ForwardedFrom;
use crate::peer_handover;
use crate::peer_instance;
use crate::peer_limits;
use crate::peer_paces;
use crate::peer_quarantine;
use crate::peer_replication;
use crate::peer_stages;
use crate::peer_streams;
use crate::quarantine::QuarantineSource;
use crate::quarantine_coordinator::QuarantineCoordinator;
use crate::state::State;
use crate::trials;
use crate::trials::TrialStep;

/// Most stopping instances that another one is told of. It needs them while no other is left.
const MAX_STOPPING: usize = 16;

/// Serves the calls of other instances.
#[derive(Debug)]
pub(crate) struct PeerApi {
    pub(crate) state: Arc<State>,
    pub(crate) dispatcher: Arc<BatchDispatcher>,
    pub(crate) coordinator: Arc<QuarantineCoordinator>,
}

#[tonic::async_trait]
impl Gateway for PeerApi {
    async fn beat(
        &self,
        req: tonic::Request<BeatRequest>,
    ) -> Result<tonic::Response<BeatReply>, Status> {
        let beat = req.into_inner();
        let now = self.state.now();
        let updates = peer_quarantine::quarantine_of(beat.quarantine);
        self.state
            .quarantine
            .apply(now, QuarantineSource::Beat, updates);
        peer_limits::record(&self.state, beat.limits);
        self.state.brittle.apply(now, beat.brittle);
        let from = Incarnation::new(beat.incarnation);
        let paces = peer_paces::paces_of(beat.paces, now);
        self.state
            .paces
            .record(now, from, paces, &self.state.metrics);
        self.state.cluster().instances.record_heartbeat(
            now,
            from,
            Heartbeat {
                leaving: beat.leaving,
                ready: beat.ready,
                store_loaded: beat.has_read,
                upstream_path: peer_instance::path_of(beat.upstream_path),
            },
        );
        let backlogs = self.dispatcher.backlogs();
        for (shard, wait) in &backlogs {
            let heard = (now, *wait);
            let mut cluster = self.state.cluster();
            cluster.backlogs.insert(shard.clone(), heard);
        }
        let backlogs = backlogs.into_iter();
        let backlogs = backlogs.map(|(shard, wait)| Backlog {
            shard: Some(peer_stages::wire_shard(&shard)),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            wait_ms_by_priority: Vec::new(),
        });
        let unlisted: Vec<Instance> = {
            let cluster = self.state.cluster();
            let unlisted = cluster.instances.unlisted(now);
            unlisted.map(peer_instance::wire_instance).collect()
        };
        let stopping: Vec<Instance> = {
            let cluster = self.state.cluster();
            let stopping = cluster.instances.stopping(now).take(MAX_STOPPING);
            stopping.map(peer_instance::wire_instance).collect()
        };
        Ok(tonic::Response::new(BeatReply {
            incarnation: self.state.own_entry.incarnation.get(),
            leaving: self.state.is_leaving(),
            ready: self.state.is_ready(),
            proof: peer_replication::wire_proof(&self.state),
            backlogs: backlogs.collect(),
            unlisted,
            has_read: self.state.has_read(),
            quarantine: peer_quarantine::wire_quarantine(&self.state.quarantine, now),
            limits: peer_limits::wire_limits(&self.state),
            version: self.state.cluster().deployment_version(),
            upstream_path: peer_instance::wire_path(self.state.path.reported()),
            brittle: self.state.brittle.wire(now),
            stopping,
        }))
    }

    async fn follow(
        &self,
        req: tonic::Request<FollowRequest>,
    ) -> Result<tonic::Response<FollowReply>, Status> {
        let reply = peer_replication::handle_follow(&self.state, req.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn report_crashes(
        &self,
        req: tonic::Request<CrashReport>,
    ) -> Result<tonic::Response<CrashReportReply>, Status> {
        let mut req = req.into_inner();
        let now = self.state.now();
        let cannot_decide = !self.state.can_decide();
        let step = req.trial.take().and_then(peer_quarantine::trial_of);
        let trial_denied = match step {
            None => {
                let report = peer_quarantine::report_of(req, now);
                self.coordinator.record_report(report);
                false
            }
            Some((_, TrialStep::Begin(_))) if cannot_decide => true,
            Some((content, step)) => !trials::handle(&self.state, content, &step),
        };
        Ok(tonic::Response::new(CrashReportReply {
            judges_parts: true,
            cannot_decide,
            incarnation: self.state.own_entry.incarnation.get(),
            trial_denied,
        }))
    }

    async fn acquire_permit(
        &self,
        req: tonic::Request<PermitRequest>,
    ) -> Result<tonic::Response<PermitReply>, Status> {
        let reply = peer_limits::handle_permit_request(&self.state, req.into_inner());
        Ok(tonic::Response::new(reply))
    }

    async fn release_results(
        &self,
        req: tonic::Request<ReleaseRequest>,
    ) -> Result<tonic::Response<ReleaseReply>, Status> {
        let results = req.into_inner().results.into_iter();
        self.dispatcher
            .release(results.map(CompactString::from).collect());
        Ok(tonic::Response::new(ReleaseReply {}))
    }

    async fn record_stream(
        &self,
        req: tonic::Request<StreamRecord>,
    ) -> Result<tonic::Response<StreamRecordReply>, Status> {
        let origin = peer_streams::origin_of(req.get_ref(), self.state.now());
        let (id, origin, lifetime) =
            origin.ok_or_else(|| Status::invalid_argument("the origin of a stream is invalid"))?;
        let handed_over = req.get_ref().handed_over;
        let streams = &self.state.streams;
        streams.record_kept(&self.state, id, origin, lifetime, handed_over);
        Ok(tonic::Response::new(StreamRecordReply {}))
    }

    async fn find_stream(
        &self,
        req: tonic::Request<StreamQuery>,
    ) -> Result<tonic::Response<StreamQueryReply>, Status> {
        let reply = peer_streams::handle_query(&self.state, req.get_ref()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn run_stages(
        &self,
        req: tonic::Request<StagesRequest>,
    ) -> Result<tonic::Response<StagesReply>, Status> {
        let req = req.into_inner();
        let shard = req.shard.clone().map(peer_stages::shard_of);
        let shard = shard.ok_or_else(|| Status::invalid_argument("no shard is named"))?;
        let job = peer_stages::job_of(req, self.state.now())?;
        let reply = match self.dispatcher.run(shard, job).await {
            Ok(outcome) => peer_stages::outcome_reply(outcome),
            Err(failure) => peer_stages::failure_reply(failure),
        };
        Ok(tonic::Response::new(reply))
    }

    async fn replicate_results(
        &self,
        req: tonic::Request<ReplicateResultsRequest>,
    ) -> Result<tonic::Response<ReplicateResultsReply>, Status> {
        let now = self.state.now();
        let req = req.into_inner();
        let handed_over = req.handed_over;
        let (shard, owner, update) = peer_handover::update_of(req, now)?;
        if handed_over {
            let accepted = self
                .dispatcher
                .accept_transfer(shard, owner, update.results);
            return Ok(tonic::Response::new(ReplicateResultsReply {
                needs_whole: !accepted,
            }));
        }
        let applied = self
            .dispatcher
            .apply_replica_update(shard, owner, update)
            .ok_or_else(|| Status::failed_precondition("the shard or its owner is unknown"))?;
        Ok(tonic::Response::new(ReplicateResultsReply {
            needs_whole: !applied,
        }))
    }
}

/// The gRPC service for other instances, and the requests that these forward, as an HTTP handler.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    server: GatewayServer<PeerApi>,
    callers: Arc<CallerApi>,
}

impl PeerHandler {
    pub(crate) fn new(api: PeerApi, callers: Arc<CallerApi>) -> PeerHandler {
        PeerHandler {
            server: GatewayServer::new(api),
            callers,
        }
    }
}

impl Handler for PeerHandler {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        if let Some(from) = ForwardedFrom::read(req.headers()) {
            let callers = Arc::clone(&self.callers);
            return Box::pin(async move { callers.respond_forwarded(from, req).await });
        }
        let mut server = self.server.clone();
        Box::pin(async move {
            let res: Response<tonic::body::Body> = match server.call(req).await {
                Ok(res) => res,
                Err(never) => match never {},
            };
            res.map(|body| body.map_err(Into::into).boxed_unsync())
        })
    }
}
