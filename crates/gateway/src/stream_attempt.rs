//! One attempt at a request whose response is a stream.

use std::sync::Arc;

use bytes::Bytes;
use futures_lite::FutureExt;
use jd_net::SendError;
use jd_net::with_timeout;
use jd_serving::EVENT_PATIENCE;
use jd_serving::EventSplitter;
use jd_serving::Evidence;
use jd_serving::SoftwareVersion;
use jd_serving::StreamBeginning;
use jd_serving::StreamEnd;
use jd_types::AttemptOutcome;
use jd_types::Refusal;

use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::attempt::failure;
use crate::attempts::AttemptClock;
use crate::attempts::AttemptContext;
use crate::given_up::GivenUp;
use crate::signal::Signal;
use crate::stage_results::StageResults;
use crate::stage_runner::StageRunner;
use crate::upstream_selection::NextSend;
use crate::upstream_selection::NextSendError;
use crate::upstream_selection::send_to_next_upstream;
use crate::version_check;

/// An attempt that is about to begin.
pub(crate) struct StreamAttempt {
    pub(crate) cx: AttemptContext,
    pub(crate) stages: Arc<StageRunner>,
    pub(crate) clock: Arc<AttemptClock>,
    /// The event after which the stream resumes.
    pub(crate) last_event: Option<u64>,
    /// What the stages left; none if they have to run again.
    pub(crate) results: Option<StageResults>,
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
    clock: Arc<AttemptClock>,
}

/// A successful response, up to its first event.
pub(crate) struct BegunStream {
    pub(crate) response: UpstreamResponse,
    pub(crate) results: StageResults,
    pub(crate) clock: Arc<AttemptClock>,
    pub(crate) splitter: EventSplitter,
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
    pub(crate) fn response(&self) -> &UpstreamResponse {
        match self {
            Begun::Head(head) => &head.response,
            Begun::Event(begun) => &begun.response,
        }
    }

    pub(crate) fn into_stream(self) -> BegunStream {
        match self {
            Begun::Head(head) => BegunStream {
                response: head.response,
                results: head.results,
                clock: head.clock,
                splitter: EventSplitter::default(),
                first: None,
            },
            Begun::Event(begun) => begun,
        }
    }

    pub(crate) fn into_response(self) -> UpstreamResponse {
        match self {
            Begun::Head(head) => head.response,
            Begun::Event(begun) => begun.response,
        }
    }
}

impl StreamAttempt {
    /// Sends the request, up to the head of a response.
    pub(crate) async fn until_head(self) -> Ended {
        let StreamAttempt {
            cx,
            stages,
            clock,
            last_event,
            results,
        } = self;
        let forward_only = match &results {
            Some(results) => results.are_skipped(),
            None => cx.state.forwards.is_due(&cx.state, &cx.request),
        };
        let results = match (results, forward_only) {
            (Some(results), _) => results,
            (None, true) => stages.no_results(),
            (None, false) => match stages.run_again(&cx.request).await {
                Ok(results) => results,
                Err(refusal) => return Ended::Refused(refusal),
            },
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
    /// The clock of the attempt.
    pub(crate) fn clock(&self) -> Arc<AttemptClock> {
        Arc::clone(&self.clock)
    }

    /// Reads a response up to its first event. One that is no success counts as failed.
    pub(crate) async fn until_first_event(self, cx: AttemptContext) -> Ended {
        let HeadArrived {
            mut response,
            results,
            clock,
        } = self;
        if !response.head.status.is_success() {
            let detail = "the upstream failed";
            return Ended::Failed(failure(AttemptOutcome::Failed, detail), None);
        }
        let mut splitter = EventSplitter::default();
        let outcome = loop {
            let UpstreamResponse { http, attempt, .. } = &mut response;
            let restarted = async {
                attempt.until_restarted().await;
                Some(Err(SendError::Broken))
            };
            let read = with_timeout(cx.time_left(), http.chunk()).or(restarted);
            let first = match read.await {
                Some(Ok(Some(part))) => match splitter.push(&part) {
                    Ok(None) => continue,
                    Ok(events) => events,
                    Err(e) => {
                        log::warn!(upstream = attempt.id(), detail:% = e; "stream is no event stream");
                        break AttemptOutcome::Truncated;
                    }
                },
                Some(Ok(None)) if splitter.end(http.framing.marks_end()) == StreamEnd::Whole => {
                    None
                }
                Some(Ok(None) | Err(_)) => break AttemptOutcome::Truncated,
                None => break AttemptOutcome::TimedOut,
            };
            clock.record(cx.state.now(), EVENT_PATIENCE);
            return Ended::Begun(BegunStream {
                response,
                results,
                clock,
                splitter,
                first,
            });
        };
        let attempt = &mut response.attempt;
        if outcome == AttemptOutcome::Truncated {
            attempt.report_broken();
        }
        GivenUp {
            upstream: attempt.id(),
            evidence: Evidence::of_outcome(outcome),
            silent_for: clock.silent_for(cx.state.now()).unwrap_or_default(),
            parts: 0,
        }
        .log(&cx);
        attempt.finish(outcome);
        Ended::Failed(failure(outcome, "the answer was cut off"), None)
    }
}
