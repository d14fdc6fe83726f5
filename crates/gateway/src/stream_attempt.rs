//! One attempt at a request whose response is a stream.

use std::sync::Arc;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::HeaderMap;
use http::StatusCode;
use jd_net::with_timeout;
use jd_serving::EVENT_PATIENCE;
use jd_serving::EventOrder;
use jd_serving::Evidence;
use jd_serving::ResponseRole;
use jd_serving::SoftwareVersion;
use jd_serving::StreamBeginning;
use jd_types::AttemptOutcome;
use jd_types::Refusal;

use crate::active_attempt::ActiveAttempt;
use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::attempt::failure;
use crate::attempts::AttemptClock;
use crate::attempts::AttemptContext;
use crate::next_send::NextSend;
use crate::next_send::NextSendError;
use crate::next_send::send_to_next_upstream;
use crate::retry_counts::Payment;
use crate::signal::Signal;
use crate::stage_results::StageResults;
use crate::stage_runner::StageRun;
use crate::stage_runner::StageRunner;
use crate::stream_response::Read;
use crate::stream_response::StreamResponse;
use crate::version_check;

/// An attempt that is about to begin.
pub(crate) struct StreamAttempt {
    pub(crate) cx: AttemptContext,
    pub(crate) stages: Arc<StageRunner>,
    /// The event after which the stream resumes.
    pub(crate) last_event: Option<u64>,
    /// The order that its events are to have.
    pub(crate) order: EventOrder,
    /// What the stages left; none if they have to run again.
    pub(crate) results: Option<StageResults>,
    /// True if the caller has got a part of the stream.
    pub(crate) has_begun: bool,
    /// Why the stages run if they have to.
    pub(crate) run: StageRun,
    /// What it has paid, and its clock.
    pub(crate) payment: Payment,
}

/// What became of an attempt.
pub(crate) enum Ended {
    /// The head of a response arrived.
    Head(HeadArrived),
    /// A success brought its first event, or ended whole without one.
    Begun(BegunStream),
    /// The attempt failed. Its stage results may still be there.
    Failed(AttemptFailure, Option<StageResults>),
    /// The stages or all upstreams refused the request before it was sent.
    Refused(Refusal),
    /// It turned out to be uncertain which software version began the stream.
    VersionUncertain,
}

/// A response of which only the head has been read.
pub(crate) struct HeadArrived {
    pub(crate) response: UpstreamResponse,
    pub(crate) results: StageResults,
    pub(crate) clock: Arc<AttemptClock>,
    pub(crate) role: ResponseRole,
    pub(crate) order: EventOrder,
}

/// A successful response, up to its first event.
pub(crate) struct BegunStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) response: StreamResponse,
    /// The first events; none if the response has ended whole without any.
    pub(crate) first: Option<Bytes>,
}

/// The response that a caller gets.
pub(crate) enum Begun {
    /// The only attempt, of which the head has been read.
    Head(HeadArrived),
    /// The first of several attempts that brought an event.
    Event(BegunStream),
}

impl Begun {
    /// The status, the headers and the attempt.
    pub(crate) fn parts(&self) -> (StatusCode, &HeaderMap, &ActiveAttempt) {
        match self {
            Begun::Head(HeadArrived { response, .. }) => (
                response.head.status,
                &response.http.headers,
                &response.attempt,
            ),
            Begun::Event(begun) => (begun.status, &begun.headers, &begun.response.attempt),
        }
    }
}

impl StreamAttempt {
    /// Sends the request, up to the head of a response.
    pub(crate) async fn until_head(self) -> Ended {
        let StreamAttempt {
            cx,
            stages,
            last_event,
            order,
            results,
            has_begun,
            run,
            payment,
        } = self;
        let clock = Arc::clone(payment.clock());
        let forward_only = match &results {
            Some(results) => results.are_skipped(),
            None => cx.state.forwards.is_due(&cx.state, &cx.request),
        };
        let results = match (results, forward_only) {
            (Some(results), _) => results,
            (None, true) => stages.no_results(),
            (None, false) => match stages.run_again(&cx.request, run, has_begun).await {
                Ok(results) => results,
                Err(refusal) => return Ended::Refused(refusal),
            },
        };
        let role = match has_begun || last_event.is_some() {
            true => ResponseRole::Continuation,
            false => ResponseRole::Beginning,
        };
        let written = Signal::new();
        let next = NextSend {
            inputs: results.handles(),
            last_event,
            forward_only,
            on_write: || written.notify(),
        };
        let sending = send_to_next_upstream(&cx, &clock, next);
        let sent = sending.or(results.release_when_read(&written)).await;
        match sent {
            Ok(response) => {
                clock.record(cx.state.now(), EVENT_PATIENCE);
                Ended::Head(HeadArrived {
                    response,
                    results,
                    clock,
                    role,
                    order,
                })
            }
            Err(NextSendError::Refused(refusal)) => Ended::Refused(refusal),
            Err(NextSendError::Failed(failure)) => Ended::Failed(failure, Some(results)),
        }
    }

    /// Resumes the stream, up to its next event, if it is certain which version began it.
    pub(crate) async fn resume(
        self,
        begun_by: Option<(StreamBeginning, SoftwareVersion)>,
    ) -> Ended {
        let cx = self.cx.clone();
        if let Some((beginning, software)) = begun_by {
            let service = &cx.request.service;
            if !version_check::is_certain(&cx.state, service, &beginning, &software).await {
                return Ended::VersionUncertain;
            }
        }
        match self.until_head().await {
            Ended::Head(head) => head.until_first_event(cx).await,
            ended => ended,
        }
    }
}

impl HeadArrived {
    /// Reads a response up to its first event. One that is no success counts as failed.
    pub(crate) async fn until_first_event(self, cx: AttemptContext) -> Ended {
        let status = self.response.head.status;
        if !status.is_success() {
            let failed = failure(AttemptOutcome::Failed, "the upstream failed");
            return Ended::Failed(failed, None);
        }
        let headers = self.response.http.headers.clone();
        let mut response = StreamResponse::new(&cx.request, self);
        let (outcome, evidence) = loop {
            let first = match with_timeout(cx.time_left(), response.read()).await {
                Some(Read::Events(events)) => Some(events),
                Some(Read::Whole) => None,
                Some(Read::Evidence(evidence @ Evidence::NoRoom)) => {
                    break (AttemptOutcome::Cancelled, evidence);
                }
                Some(Read::Evidence(evidence)) if evidence.is_final() => {
                    response.attempt.report_broken();
                    break (AttemptOutcome::Truncated, evidence);
                }
                Some(Read::Nothing | Read::Evidence(_)) => continue,
                None => break (AttemptOutcome::TimedOut, Evidence::Silent),
            };
            return Ended::Begun(BegunStream {
                status,
                headers,
                response,
                first,
            });
        };
        response.log_given_up(&cx, evidence, 0);
        response.attempt.finish(outcome);
        Ended::Failed(failure(outcome, "the answer was cut off"), None)
    }
}
