//! An instance that owns all shards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_executor::Executor;
use futures_lite::future;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jd_gateway::Record;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_serving::InstanceEntry;
use jd_serving::Strength;
use jd_types::Incarnation;
use jd_types::Name;
use jd_wire::BeatReply;
use jd_wire::BeatRequest;
use jd_wire::CrashReport;
use jd_wire::CrashReportReply;
use jd_wire::FollowReply;
use jd_wire::FollowRequest;
use jd_wire::Gateway;
use jd_wire::GatewayServer;
use jd_wire::PermitReply;
use jd_wire::PermitRequest;
use jd_wire::Placement;
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
use tonic::Response;
use tonic::Status;
use tower_service::Service;

const INCARNATION: u64 = 77;

/// An instance that is stronger than all others and answers heartbeats. It judges no parts of
/// prompts, like one of an earlier build.
#[derive(Debug, Default)]
pub(crate) struct FakeOwner {
    /// The placement in its replies to jobs; without one it never replies.
    placement: Mutex<Option<Placement>>,
    jobs: AtomicUsize,
}

impl FakeOwner {
    /// Starts the instance. Returns its entry in the store as well.
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        placement: Option<Placement>,
    ) -> (Arc<FakeOwner>, Record, HttpServer) {
        let owner = Arc::new(FakeOwner {
            placement: Mutex::new(placement),
            jobs: AtomicUsize::new(0),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Arc::new(OwnerHandler(Arc::clone(&owner)));
        let limits = ServerLimits::default();
        let server = HttpServer::start(Arc::clone(executor), any, limits, handler);
        let server = server.expect("a free port");
        let entry = InstanceEntry {
            incarnation: Incarnation::new(INCARNATION),
            caller_address: server.address(),
            peer_address: server.address(),
            zone: Name::try_from("a").expect("a name"),
            strength: Strength::new(1_000_000, 1_000_000),
            leaving: false,
        };
        (owner, Record::Instance(entry), server)
    }

    /// The number of jobs that it was sent.
    pub(crate) fn jobs(&self) -> usize {
        self.jobs.load(Ordering::Relaxed)
    }
}

#[tonic::async_trait]
impl Gateway for FakeOwner {
    async fn beat(&self, _req: tonic::Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        Ok(Response::new(BeatReply {
            incarnation: INCARNATION,
            ready: true,
            has_read: true,
            ..BeatReply::default()
        }))
    }

    async fn run_stages(
        &self,
        _req: tonic::Request<StagesRequest>,
    ) -> Result<Response<StagesReply>, Status> {
        self.jobs.fetch_add(1, Ordering::Relaxed);
        let placement = self.placement.lock().expect("a lock").clone();
        match placement {
            None => future::pending().await,
            placement => Ok(Response::new(StagesReply {
                placement,
                ..StagesReply::default()
            })),
        }
    }

    async fn release_results(
        &self,
        _req: tonic::Request<ReleaseRequest>,
    ) -> Result<Response<ReleaseReply>, Status> {
        Ok(Response::new(ReleaseReply {}))
    }

    async fn follow(
        &self,
        _req: tonic::Request<FollowRequest>,
    ) -> Result<Response<FollowReply>, Status> {
        Err(Status::unimplemented("it does not read the store"))
    }

    async fn report_crashes(
        &self,
        _req: tonic::Request<CrashReport>,
    ) -> Result<Response<CrashReportReply>, Status> {
        Ok(Response::new(CrashReportReply::default()))
    }

    async fn acquire_permit(
        &self,
        _req: tonic::Request<PermitRequest>,
    ) -> Result<Response<PermitReply>, Status> {
        Err(Status::unimplemented("it grants no permits"))
    }

    async fn record_stream(
        &self,
        _req: tonic::Request<StreamRecord>,
    ) -> Result<Response<StreamRecordReply>, Status> {
        Ok(Response::new(StreamRecordReply {}))
    }

    async fn find_stream(
        &self,
        _req: tonic::Request<StreamQuery>,
    ) -> Result<Response<StreamQueryReply>, Status> {
        Ok(Response::new(StreamQueryReply::default()))
    }

    async fn replicate_results(
        &self,
        _req: tonic::Request<ReplicateResultsRequest>,
    ) -> Result<Response<ReplicateResultsReply>, Status> {
        Err(Status::unimplemented("results are not replicated"))
    }
}

struct OwnerHandler(Arc<FakeOwner>);

impl Handler for OwnerHandler {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        let mut server = GatewayServer::from_arc(Arc::clone(&self.0));
        Box::pin(async move {
            let res: http::Response<tonic::body::Body> = match server.call(req).await {
                Ok(res) => res,
                Err(never) => match never {},
            };
            res.map(|body| body.map_err(Into::into).boxed_unsync())
        })
    }
}
