//! A response whose body is a stream of events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use jd_net::BodyFraming;
use jd_net::HttpResponse;
use jd_net::ReadError;
use jd_net::SendError;
use jd_net::UnfinishedAnswer;
use jd_serving::BodyKind;
use jd_serving::EVENT_PATIENCE;
use jd_serving::EndEvidence;
use jd_serving::EventSplitter;
use jd_serving::EventTooLarge;
use jd_serving::Evidence;
use jd_serving::ResponseEnd;
use jd_serving::ResponseRole;
use jd_types::MonoTime;

use crate::active_attempt::ActiveAttempt;
use crate::answer_memory;
use crate::attempts::AttemptClock;
use crate::attempts::AttemptContext;
use crate::body_kind;
use crate::caller_request::CallerRequest;
use crate::stage_results::StageResults;
use crate::stream_attempt::HeadArrived;

/// Bytes of an incomplete event that take no memory, since connections have room for them.
const OWN_EVENT_BYTES: usize = 4 << 10;

/// What was read of a response, or became of it.
pub(crate) enum Read {
    /// These complete events.
    Events(Bytes),
    /// No complete event.
    Nothing,
    /// The response is whole.
    Whole,
    /// This is known against the upstream. Unless it is final, the response may go on.
    Evidence(Evidence),
}

/// A successful response whose body is a stream of events.
#[derive(Debug)]
pub(crate) struct StreamResponse {
    /// None once it is closed.
    http: Option<HttpResponse>,
    pub(crate) framing: BodyFraming,
    pub(crate) attempt: ActiveAttempt,
    /// Tells since when it has brought no event.
    pub(crate) clock: Arc<AttemptClock>,
    /// The stage results that its upstream reads.
    pub(crate) results: StageResults,
    pub(crate) splitter: Box<EventSplitter>,
    /// What was read and waits for memory.
    unsplit: Option<Bytes>,
    /// The memory of an incomplete event.
    memory: UnfinishedAnswer,
    kind: BodyKind,
    role: ResponseRole,
    /// What the end of the body says; none while it has not ended.
    end: Option<ResponseEnd>,
}

impl StreamResponse {
    pub(crate) fn new(request: &CallerRequest, head: HeadArrived) -> StreamResponse {
        let HeadArrived {
            response,
            results,
            clock,
            role,
            order,
        } = head;
        StreamResponse {
            framing: response.http.framing,
            kind: body_kind::of_stream(
                &request.parts.method,
                response.head.status,
                &response.http.headers,
            ),
            role,
            end: None,
            memory: response.http.memory().begin(),
            unsplit: None,
            http: Some(response.http),
            attempt: response.attempt,
            clock,
            results,
            splitter: Box::new(EventSplitter::new(order)),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.http.is_some()
    }

    /// The clock of the response; none once it is closed.
    pub(crate) fn open_clock(&self) -> Option<&AttemptClock> {
        self.is_open().then_some(&*self.clock)
    }

    /// Closes the connection, unless the response has been read to its end.
    pub(crate) fn close(&mut self) {
        self.http = None;
        self.unsplit = None;
        self.splitter.drop_partial();
        self.memory.shrink_to(0);
    }

    /// Reads on. An instance that runs the request and misses heartbeats counts as silent from then
    /// on. Dropping the future loses nothing.
    pub(crate) async fn read(&mut self) -> Read {
        let Some(http) = &mut self.http else {
            return futures_lite::future::pending().await;
        };
        if let Some(e) = self.splitter.out_of_order() {
            self.attempt.record_out_of_order(e);
            return Read::Evidence(Evidence::Broken);
        }
        let attempt = &self.attempt;
        let restarted = async {
            attempt.until_restarted().await;
            Err(Evidence::Restarted)
        };
        let missed = async {
            attempt.until_instance_missed().await;
            Err(Evidence::PathLost)
        };
        let (splitter, memory, unsplit) = (&self.splitter, &mut self.memory, &mut self.unsplit);
        let chunk = async {
            if unsplit.is_none() {
                let revoked = async {
                    memory.until_revoked().await;
                    Err(ReadError::Largest)
                };
                let chunk = async { http.chunk().await.map_err(|_: SendError| ReadError::Broken) };
                *unsplit = chunk.or(revoked).await?;
            }
            if let Some(part) = unsplit.as_deref() {
                let bytes = splitter.bytes_to_push(part);
                if bytes > OWN_EVENT_BYTES {
                    memory.grow_to(bytes).await?;
                }
            }
            Ok(unsplit.take())
        };
        let chunk = async { chunk.await.map_err(|e| evidence_of(attempt, e)) };
        match chunk.or(restarted).or(missed).await {
            Ok(Some(part)) => match self.push(&part) {
                Ok(None) => Read::Nothing,
                Ok(Some(events)) => {
                    self.clock.record(self.attempt.now(), EVENT_PATIENCE);
                    Read::Events(events)
                }
                Err(e) => {
                    let upstream = self.attempt.id();
                    log::warn!(upstream, detail:% = e; "stream is no event stream");
                    Read::Evidence(Evidence::Broken)
                }
            },
            Ok(None) => match self.judge_end() {
                end if end.is_complete() => Read::Whole,
                _ => Read::Evidence(Evidence::Broken),
            },
            Err(evidence) => {
                if !evidence.is_final() {
                    self.clock.suspect();
                }
                Read::Evidence(evidence)
            }
        }
    }

    /// Splits what was read, and gives back the memory that is not needed any more.
    fn push(&mut self, part: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        let pushed = self.splitter.push(part);
        self.memory.shrink_to(match self.splitter.held_bytes() {
            ..=OWN_EVENT_BYTES => 0,
            held => held,
        });
        pushed
    }

    /// Judges the end of the body.
    fn judge_end(&mut self) -> ResponseEnd {
        let evidence = EndEvidence {
            kind: self.kind,
            role: self.role,
            is_marked: self.framing.marks_end(),
            received: self.splitter.received(),
        };
        *self.end.insert(evidence.judge())
    }

    /// What the end of the body says, as logged; empty while it has not ended.
    pub(crate) fn end_as_str(&self) -> &'static str {
        self.end.map_or("", ResponseEnd::as_str)
    }

    /// The time since its last event, or since its head.
    pub(crate) fn silent_for(&self, now: MonoTime) -> Duration {
        self.clock.silent_for(now).unwrap_or_default()
    }

    /// Logs that its upstream is given up after `events` events of the stream.
    pub(crate) fn log_given_up(&self, cx: &AttemptContext, evidence: Evidence, events: u64) {
        log::info!(
            request = cx.request.id(),
            content:% = cx.request.contents.request,
            upstream = self.attempt.id(),
            evidence = evidence.as_str(),
            end = self.end_as_str(),
            since_last_ms = self.silent_for(cx.state.now()).as_millis() as u64,
            parts = events,
            left_ms = cx.time_left().as_millis() as u64;
            "upstream given up"
        );
    }
}

/// What an answer that was not read whole says of its upstream.
fn evidence_of(attempt: &ActiveAttempt, why: ReadError) -> Evidence {
    answer_memory::log_ended("", attempt.id(), why);
    match why {
        ReadError::NoRoom => Evidence::NoRoom,
        ReadError::Broken | ReadError::TooLarge { .. } | ReadError::Largest => Evidence::Broken,
    }
}
