//! Adoption and release of stored results after the owner of their shard is killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_net::HttpServer;
use jd_serving::UpstreamStart;
use jd_wire::ReplicateResultsRequest;
use jd_wire::Shard as WireShard;
use tonic::Code;

use crate::fakes::CallerResponse;
use crate::fakes::FakeOwner;
use crate::fakes::FakeUpstream;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::StageUpstream;
use crate::fakes::chained_deployment;
use crate::fakes::entry;
use crate::fakes::owner_order;
use crate::fakes::staged_deployment;

const ANSWER: Reply = Reply::Stream {
    parts: &["id: 1\ndata: a\n\n"],
    cut: false,
};

/// A fleet with one upstream for each of two stages. The second one does not answer its first
/// call.
struct Fleet {
    harness: Harness,
    first: Arc<StageUpstream>,
    second: Arc<StageUpstream>,
    _held: Sender<()>,
    _servers: Vec<HttpServer>,
}

impl Fleet {
    /// Starts a fleet of four gateways.
    fn start() -> Fleet {
        let records = vec![Record::Deployment(Box::new(chained_deployment()))];
        let mut harness = Harness::start_with(vec![vec![ANSWER]], records);
        let (tx, rx) = async_channel::bounded(1);
        let executor = harness.executor();
        let (first, first_server) = StageUpstream::start(&executor, None);
        let (second, second_server) = StageUpstream::start(&executor, Some(rx));
        for (service, server) in [("stages", &first_server), ("finish", &second_server)] {
            let start = UpstreamStart::UNKNOWN;
            let listed = entry(service, service, server.address(), start);
            harness.store.change(Change::Put(listed));
        }
        harness.add_gateways(3);
        Fleet {
            harness,
            first,
            second,
            _held: tx,
            _servers: vec![first_server, second_server],
        }
    }

    /// Sends a request to the instance at an address, and waits until its second stage runs.
    async fn send(&mut self, to: SocketAddr) -> Task<CallerResponse> {
        self.harness.until_all_listed().await;
        let asking = self.harness.spawn_ask(to, "/staged/x", "request-1");
        while self.second.calls().is_empty() {
            Timer::after(Duration::from_millis(5)).await;
        }
        asking
    }

    /// Waits until an owner has replicated a result.
    async fn until_replicated(&self) {
        let counter = "jd_gateway_handover_results_total{outcome=\"replicated\"}";
        while self.harness.counter_total(counter).await == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Waits until the result of the first stage is released.
    async fn until_freed(&self) {
        while self.first.freed().is_empty() {
            Timer::after(Duration::from_millis(5)).await;
        }
    }
}

/// The owner is killed while the second stage of a request runs. The instance that had sent the
/// job submits it again to the successor, which ran the first stage again, though its result
/// was still stored, and nobody released that.
#[test]
fn a_successor_continues_the_stages_of_a_killed_owner() {
    let mut fleet = Fleet::start();
    block_on(async {
        let owners = owner_order(&fleet.harness.peer_addresses());
        let asking = fleet.send(owners[3]).await;
        fleet.until_replicated().await;
        fleet.harness.kill_gateway(owners[0]);
        let received = asking.await;
        assert_eq!(received.status, 200, "{received:?}");
        assert_eq!(fleet.first.calls().len(), 1, "the first stage ran again");
        let inputs = fleet.second.calls();
        assert_eq!(inputs.len(), 2);
        assert_eq!(inputs[0], inputs[1]);
        fleet.until_freed().await;
        assert_eq!(fleet.first.freed(), inputs[..1]);
    });
}

/// The owner is killed together with its callers. Nobody claims the result of the first stage,
/// which occupied storage until it expired.
#[test]
fn a_successor_releases_what_nobody_claims() {
    let mut fleet = Fleet::start();
    block_on(async {
        let owner = owner_order(&fleet.harness.peer_addresses())[0];
        let _asking = fleet.send(owner).await;
        fleet.until_replicated().await;
        fleet.harness.kill_gateway(owner);
        fleet.until_freed().await;
        assert_eq!(fleet.first.freed(), fleet.second.calls());
        let counter = "jd_gateway_handover_results_total{outcome=\"freed\"}";
        assert_eq!(fleet.harness.counter_total(counter).await, 1);
    });
}

/// The owner and its successor are killed at once. No instance has the result, and the stages run
/// again at the third one.
#[test]
fn a_request_survives_the_owner_and_its_successor() {
    let mut fleet = Fleet::start();
    block_on(async {
        let owners = owner_order(&fleet.harness.peer_addresses());
        let asking = fleet.send(owners[3]).await;
        fleet.until_replicated().await;
        for owner in &owners[..2] {
            fleet.harness.kill_gateway(*owner);
        }
        assert_eq!(asking.await.status, 200);
        assert_eq!(fleet.first.calls().len(), 2);
    });
}

/// An instance that does not know an owner yet cannot tell that it is running, and would release its
/// results after 1.5 s.
#[test]
fn results_of_an_unknown_owner_are_refused() {
    let fleet = Fleet::start();
    block_on(async {
        fleet.harness.until_all_listed().await;
        let update = ReplicateResultsRequest {
            shard: Some(WireShard {
                zone: String::new(),
                part: 0,
                parts: 1,
            }),
            owner: u64::MAX,
            whole: true,
            ..ReplicateResultsRequest::default()
        };
        let reply = fleet.harness.replicate(update).await;
        let code = reply.map_err(|status| status.code());
        assert_eq!(code, Err(Code::FailedPrecondition));
    });
}

/// Guards against an owner that goes on with a begun request after it was told to stop, while the
/// next owner calls the same upstreams; and against running a stage twice when it does not.
#[test]
fn an_owner_that_stops_hands_its_begun_requests_over() {
    let mut deployment = chained_deployment();
    for route in &mut deployment.routes {
        route.objective = Duration::from_secs(10);
    }
    let records = vec![Record::Deployment(Box::new(deployment))];
    let mut harness = Harness::start_with(vec![vec![ANSWER]], records);
    let executor = harness.executor();
    let (first, first_server) = StageUpstream::start(&executor, None);
    let (second, second_server) = FakeUpstream::start(&executor, vec![Reply::NotRun]);
    for (service, server) in [("stages", &first_server), ("finish", &second_server)] {
        let listed = entry(service, service, server.address(), UpstreamStart::UNKNOWN);
        harness.store.change(Change::Put(listed));
    }
    harness.add_gateways(3);
    block_on(async {
        harness.until_all_listed().await;
        let owners = owner_order(&harness.peer_addresses());
        let asking = harness.spawn_ask(owners[3], "/staged/x", "request-1");
        while second.count() == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        let owner = harness.gateway_at(owners[0]);
        let stopping = harness.spawn(async move { owner.stop().await });
        let counter = "jd_gateway_handover_results_total{outcome=\"received\"}";
        while harness.counter_total(counter).await == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        second.set_replies(vec![Reply::Complete("made at 127.0.0.1:1")]);
        let received = asking.await;
        assert_eq!(received.status, 200, "{received:?}");
        assert_eq!(first.calls().len(), 1, "the first stage ran again");
        while first.freed().is_empty() {
            Timer::after(Duration::from_millis(5)).await;
        }
        stopping.await;
        assert_eq!(first.freed().len(), 1);
    });
}

/// Guards against a request that is never answered, because the owner of its stages answers heartbeats
/// and never replies to the job, as over a connection that is dead in one direction.
#[test]
fn a_request_whose_owner_never_replies_is_refused_before_its_caller_abandons_it() {
    let answer = vec![Reply::Complete("a")];
    let harness = Harness::start_with_stage(vec![answer], vec![Reply::Complete("made")]);
    let (owner, listed, _server) = FakeOwner::start(&harness.executor(), None);
    harness.store.change(Change::Put(listed));
    let abandoned = staged_deployment().routes.last().map(|r| r.objective * 4);
    block_on(async {
        harness.until_ready(true).await;
        let mut asked = 0;
        let (received, took) = loop {
            asked += 1;
            let began = Instant::now();
            let received = harness.ask("/staged/x", &asked.to_string()).await;
            // Until the owner has answered a heartbeat, the stages run here.
            if owner.jobs() > 0 {
                break (received, began.elapsed());
            }
        };
        assert_eq!(received.status, 503, "{received:?}");
        assert_eq!(received.run.as_deref(), Some("not run"));
        assert!(Some(took) < abandoned, "{took:?}");
    });
}
