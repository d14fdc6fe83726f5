//! The endpoint for callers' requests.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use futures_lite::FutureExt;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::header::HOST;
use http::request::Parts;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::lock;
use jd_serving::RequestStep;
use jd_serving::RetryMode;
use jd_serving::RunContents;
use jd_serving::ShutdownPlan;
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::caller_admission::Rejected;
use crate::caller_request::CallerRequest;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::stop_checks;
use crate::stop_checks::StopSubject;
use crate::streaming_call;
use crate::unary_call;

/// Handles the requests of callers.
#[derive(Debug)]
pub(crate) struct CallerApi {
    pub(crate) state: Arc<State>,
    pub(crate) stages: Arc<StageRunner>,
}

impl Handler for CallerApi {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            let arrived = self.state.now();
            let mut res = self.respond(arrived, req).await;
            if self.state.is_leaving() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            res
        })
    }
}

impl CallerApi {
    async fn respond(&self, arrived: MonoTime, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let head = self.state.dialect.call_head(&parts);
        let id = head.request_id.clone();
        let id = id.as_deref().unwrap_or("");
        // Boxed, since requests without their body would otherwise take the memory of both steps.
        match Box::pin(self.admit(arrived, head, parts, body)).await {
            Ok(request) => {
                let contents = request.contents.clone();
                let ended = Box::pin(self.run(request)).await;
                ended.unwrap_or_else(|refusal| self.refuse(arrived, id, Some(&contents), &refusal))
            }
            Err(Rejected { refusal, is_unread }) => {
                let mut res = self.refuse(arrived, id, None, &refusal);
                if is_unread {
                    let close = HeaderValue::from_static("close");
                    res.headers_mut().insert(CONNECTION, close);
                }
                res
            }
        }
    }

    /// Runs a request. If this instance stops and ends first, it is answered before that.
    pub(crate) async fn run(&self, request: CallerRequest) -> Result<Response<Body>, Refusal> {
        let begun_runs = Arc::clone(&request.begun_runs);
        let subject = request.stop_subject();
        let ending = async { Err(self.until_end(&subject, &begun_runs).await) };
        self.run_admitted(request).or(ending).await
    }

    /// Returns the refusal of a request that cannot be answered any more before this instance ends. A
    /// request that may have run waits longer, since its upstream may still respond.
    async fn until_end(&self, subject: &StopSubject, begun_runs: &AtomicU32) -> Refusal {
        let State {
            shutdown, clock, ..
        } = &*self.state;
        shutdown.wait_begun().await;
        let terms = subject.terms(&self.state);
        let latest_begin = |plan: &ShutdownPlan| plan.latest_begin(&terms);
        shutdown.until(*clock, latest_begin).await;
        let may_run = || begun_runs.load(Ordering::Relaxed) > 0;
        if may_run() {
            shutdown.until(*clock, |plan| plan.unanswered_until).await;
        }
        match may_run() {
            true => may_have_run(RefusalKind::UpstreamFailed, "the instance stops"),
            false => stop_checks::refusal(&self.state, RequestStep::Wait, &terms),
        }
    }

    async fn run_admitted(&self, request: CallerRequest) -> Result<Response<Body>, Refusal> {
        request.check_quarantine(&self.state, 0)?;
        match request.route().retry_mode {
            RetryMode::Idempotent | RetryMode::Once => unary_call::run(&self.state, request).await,
            RetryMode::Resumable | RetryMode::StreamOnce => {
                streaming_call::run(&self.state, &self.stages, request).await
            }
        }
    }

    fn refuse(
        &self,
        arrived: MonoTime,
        id: &str,
        contents: Option<&RunContents>,
        refusal: &Refusal,
    ) -> Response<Body> {
        let now = self.state.now();
        let took = now.since(arrived);
        self.state.metrics.request(refusal.kind.as_str(), took);
        let line = lock(&self.state.refusal_lines).decide(now);
        if line.left_out > 0 {
            log::warn!(count = line.left_out; "further refusals that are not logged");
        }
        if line.is_written {
            self.log_refusal(took, id, contents, refusal);
        }
        self.state.dialect.refusal(refusal)
    }

    fn log_refusal(
        &self,
        took: Duration,
        id: &str,
        contents: Option<&RunContents>,
        refusal: &Refusal,
    ) {
        let now = self.state.now();
        let proof_ms = self.state.proof_age().map(|a| a.as_millis() as u64);
        let config = self.state.router.load().as_ref().map(|r| r.version);
        // Empty for a request that was refused before its body was read.
        let content = contents.map(|c| c.request.to_string()).unwrap_or_default();
        let hold = contents.and_then(|c| self.state.quarantine.hold(now, c));
        let held = hold.map(|h| h.content.to_string()).unwrap_or_default();
        let held_part = hold.and_then(|h| h.part).map(|p| p.to_string());
        let held_part = held_part.unwrap_or_default();
        log::info!(
            request = id,
            content = content.as_str(),
            held = held.as_str(),
            held_part = held_part.as_str(),
            config:? = config,
            outcome = refusal.kind.as_str(),
            run = refusal.run.as_str(),
            detail = refusal.detail.as_str(),
            ms = took.as_millis() as u64,
            path_lost = self.state.path.is_lost(),
            proof_ms:? = proof_ms;
            "refused"
        );
    }
}

pub(crate) fn host_of(parts: &Parts) -> &str {
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or("");
    host.split_once(':').map_or(host, |(name, _)| name)
}

/// The refusal of a request that was sent to an upstream and may have run.
pub(crate) fn may_have_run(kind: RefusalKind, detail: impl Into<CompactString>) -> Refusal {
    Refusal {
        kind,
        run: RunState::MayHaveRun,
        detail: detail.into(),
        retry_after: None,
    }
}
