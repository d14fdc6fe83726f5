//! The endpoints for instance addresses, readiness and metrics.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::Handler;
use jd_net::HandlerFuture;

use crate::state::State;

/// Answers queries for the addresses of instances.
#[derive(Debug)]
pub(crate) struct LocateApi(pub(crate) Arc<State>);

impl Handler for LocateApi {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        let res = self.answer(&req);
        Box::pin(async move { res })
    }
}

impl LocateApi {
    fn answer(&self, req: &Request<Incoming>) -> Response<Body> {
        let state = &self.0;
        let Some(query) = state.dialect.locate_query(req.uri()) else {
            return status(StatusCode::NOT_FOUND);
        };
        let now = state.now();
        let own = state
            .is_ready()
            .then(|| (&state.own_entry, state.path.reported()));
        let addresses = state.cluster().instances.addresses(now, &query.zone, own);
        // Without an address, an error makes the caller ask another instance.
        if addresses.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let lifetime = state.settings.answer_lifetime;
        json(state.dialect.locate_response(&addresses, lifetime))
    }
}

/// Answers readiness probes.
#[derive(Debug)]
pub(crate) struct ReadyApi(pub(crate) Arc<State>);

impl Handler for ReadyApi {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        let state = &self.0;
        let answer = match state.dialect.is_ready_probe(req.uri()) {
            true if state.is_ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::NOT_FOUND,
        };
        Box::pin(async move { status(answer) })
    }
}

/// Serves the metrics on every path.
#[derive(Debug)]
pub(crate) struct MetricsApi(pub(crate) Arc<State>);

impl Handler for MetricsApi {
    fn handle(self: Arc<Self>, _req: Request<Incoming>) -> HandlerFuture {
        let text = self.0.metrics.text();
        Box::pin(async move { Response::new(jd_net::full(text)) })
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(jd_net::empty());
    *res.status_mut() = status;
    res
}

fn json(body: bytes::Bytes) -> Response<Body> {
    let mut res = Response::new(jd_net::full(body));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    res
}
