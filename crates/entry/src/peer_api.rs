//! What other instances can ask.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use jd_coord::IdempotencyKey;
use jd_coord::RunAnswer;
use jd_net::Body;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::lock;
use jd_types::Name;
use jd_types::Priority;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RequestId;
use jd_types::RunState;
use jd_wire::Exchange;
use jd_wire::ExchangeAnswer;
use jd_wire::ExchangeReply;
use jd_wire::ExchangeRequest;
use jd_wire::ForwardReply;
use jd_wire::ForwardRequest;
use jd_wire::Peer;
use jd_wire::PeerServer;
use prost::Message;
use tonic::Status;
use tower_service::Service;

use crate::heartbeat::SMALL_FLEET;
use crate::heartbeat::hints;
use crate::heartbeat::note_self;
use crate::heartbeat::take_report;
use crate::key_routing::may_have_run;
use crate::key_routing::refuse_unfit;
use crate::key_routing::upstream_key;
use crate::output::Output;
use crate::run_driver::Admitted;
use crate::run_driver::InFlight;
use crate::shared::Shared;

/// The endpoint for other instances.
#[derive(Debug)]
pub(crate) struct PeerApi {
    shared: Arc<Shared>,
}

/// The endpoint as an HTTP handler.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    server: PeerServer<PeerApi>,
}

impl PeerHandler {
    pub(crate) fn new(shared: Arc<Shared>) -> PeerHandler {
        PeerHandler {
            server: PeerServer::new(PeerApi { shared }),
        }
    }
}

impl Handler for PeerHandler {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        let mut server = self.server.clone();
        Box::pin(async move {
            let res: Response<tonic::body::Body> = match server.call(req).await {
                Ok(res) => res,
                Err(never) => match never {},
            };
            res.map(into_body)
        })
    }
}

fn into_body(body: tonic::body::Body) -> Body {
    use http_body_util::BodyExt;
    body.map_err(Into::into).boxed_unsync()
}

#[tonic::async_trait]
impl Peer for PeerApi {
    async fn exchange(
        &self,
        req: tonic::Request<ExchangeRequest>,
    ) -> Result<tonic::Response<ExchangeReply>, Status> {
        let message = req.into_inner();
        let received = message.encoded_len();
        let question = Exchange::try_from(message);
        let question = question.map_err(|e| Status::invalid_argument(e.to_string()))?;
        let answer = ExchangeReply::from(&answer(&self.shared, question));
        self.shared
            .metrics
            .add_peer_bytes(received + answer.encoded_len());
        Ok(tonic::Response::new(answer))
    }

    async fn forward(
        &self,
        req: tonic::Request<ForwardRequest>,
    ) -> Result<tonic::Response<ForwardReply>, Status> {
        let reply = forwarded(&self.shared, req.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }
}

fn answer(shared: &Arc<Shared>, question: Exchange) -> ExchangeAnswer {
    let borrower = question.from.incarnation;
    let hall = question.from.hall.clone();
    let revision = question.from.revision;
    take_report(
        shared,
        question.from,
        Vec::new(),
        &question.pulses,
        &question.hints,
    );
    let from = note_self(shared);
    let now = shared.now();
    let base = shared.base();
    let grants = {
        let mut loans = lock(&shared.loans);
        loans.serve(now, base, borrower, question.sequence, &question.asks)
    };
    if !grants.is_empty() {
        // What was lent is gone here from this moment on.
        crate::share_sync::apply(shared);
    }
    let (pulses, members) = {
        let table = lock(&shared.members);
        let known = question
            .strangers
            .iter()
            .filter_map(|who| table.get(*who).cloned());
        (table.pulses_for(&hall, SMALL_FLEET), known.collect())
    };
    ExchangeAnswer {
        from,
        sequence: question.sequence,
        pulses,
        members,
        hints: hints(shared),
        grants,
        delta: lock(&shared.replica).after(revision),
    }
}

/// Runs what another instance handed over.
async fn forwarded(shared: &Arc<Shared>, message: ForwardRequest) -> ForwardReply {
    let in_flight = InFlight::enter(shared);
    let request = shared.next_request();
    let answer = match admit(shared, request, message) {
        Ok((admitted, key)) => {
            let rx = crate::caller_api::serve(Arc::clone(shared), admitted, Some(key), in_flight);
            last(rx).await
        }
        Err(refusal) => RunAnswer::Refused(refusal),
    };
    match answer {
        RunAnswer::Whole(a) => ForwardReply {
            request: a.request.to_string(),
            answered: true,
            output: a.output.to_vec(),
            ..ForwardReply::default()
        },
        RunAnswer::Refused(r) => ForwardReply {
            request: request.to_string(),
            answered: false,
            kind: r.kind.as_str().to_owned(),
            may_have_run: r.run == RunState::MayHaveRun,
            detail: r.detail.to_string(),
            retry_after_ms: r.retry_after.map_or(0, |d| d.as_millis() as u32),
            ..ForwardReply::default()
        },
    }
}

async fn last(rx: async_channel::Receiver<Output>) -> RunAnswer {
    let lost = || {
        may_have_run(
            RefusalKind::UpstreamFailed,
            "the run ended without an answer".into(),
        )
    };
    loop {
        match rx.recv().await {
            Ok(Output::End(answer)) => return answer,
            Ok(Output::Part(_) | Output::Restart) => {}
            Err(_) => return lost(),
        }
    }
}

fn admit(
    shared: &Shared,
    request: RequestId,
    message: ForwardRequest,
) -> Result<(Admitted, IdempotencyKey), Refusal> {
    let malformed = |what: &str| Refusal::not_run(RefusalKind::Malformed, what);
    let key = IdempotencyKey::try_from(message.key.as_str());
    let key = key.map_err(|e| malformed(&e.to_string()))?;
    let name = Name::try_from(message.customer.as_str());
    let name = name.map_err(|e| malformed(&e.to_string()))?;
    if let Some(why) = shared.unfit() {
        return Err(refuse_unfit(shared, why, Some(&name), Some(&key)));
    }
    let snapshot = shared.snapshot.load_full();
    let customer = snapshot.compiled.customer(&name);
    let customer = customer.ok_or_else(|| malformed("no such customer here yet"))?;
    let pipeline = snapshot.compiled.pipeline(&message.pipeline);
    let pipeline = pipeline.ok_or_else(|| malformed("no such pipeline here yet"))?;
    // Only one step: an instance that forwards what was forwarded to it could
    // send a run in a circle.
    if key.binding().map(|b| b.incarnation) != Some(shared.me) {
        return Err(Refusal::not_run(
            RefusalKind::BindingGone,
            "the key is bound to another life",
        ));
    }
    let body =
        String::from_utf8(message.body).map_err(|_| malformed("the body is not UTF-8 text"))?;
    let deadline = Duration::from_millis(u64::from(message.deadline_ms));
    let priority = Priority::ALL
        .get(message.priority as usize)
        .copied()
        .unwrap_or_default();
    let admitted = Admitted {
        request,
        pipeline,
        customer,
        priority,
        deadline: shared.now() + deadline,
        body,
        key: Some(upstream_key(&name, &key)),
        stream: false,
        snapshot,
    };
    Ok((admitted, key))
}
