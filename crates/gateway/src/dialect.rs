//! The HTTP conventions of callers and upstreams, as a trait.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use jd_net::Body;
use jd_serving::CallHead;
use jd_serving::PieceRequest;
use jd_serving::PieceResult;
use jd_serving::RateError;
use jd_serving::RejectionLimit;
use jd_serving::RejectionLimitError;
use jd_serving::RequestRate;
use jd_serving::RetryAfter;
use jd_serving::RetryAfterError;
use jd_serving::StorageReport;
use jd_serving::UpstreamLoad;
use jd_serving::UpstreamLoadError;
use jd_serving::UpstreamStart;
use jd_types::HeaderTextError;
use jd_types::Refusal;
use jd_types::UpstreamId;
use snafu::Snafu;

/// What is sent to an upstream in addition to the caller's own request.
#[derive(Debug, Clone)]
pub struct UpstreamRequest<'a> {
    /// The upstream that has to run the request; another one refuses it.
    pub upstream: &'a UpstreamId,
    /// The time until the deadline of the request.
    pub timeout: Duration,
    /// The customer that the request belongs to.
    pub customer: Option<&'a str>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The handles of the stage results that the request reads.
    pub inputs: &'a [CompactString],
    /// The upstream from which the receiving one first fetches what it lacks of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The event after which a stream resumes.
    pub last_event: Option<u64>,
}

/// The head of an upstream's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The ID of the request that the response belongs to, as the upstream gave it.
    pub request_id: Option<CompactString>,
    /// True if the upstream signed the response.
    pub signed: bool,
    /// True if the upstream states that it did not run the request.
    pub not_run: bool,
    /// True if the body is encoded, so that it is not the upstream's own.
    pub encoded: bool,
}

/// A query for the addresses of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateQuery {
    /// The availability zone of the caller; may be empty.
    pub zone: CompactString,
}

/// A header of a request to an upstream cannot carry its text, so that there is no such request: an
/// upstream would run it without the check, the customer or the inputs that the header stands for.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(
    visibility(pub),
    display("{what} cannot be sent in a header: {source}")
)]
pub struct UnsendableText {
    /// What the text stands for.
    pub what: &'static str,
    /// The reason.
    pub source: HeaderTextError,
}

/// Translates between the HTTP messages of callers and upstreams and the types of this
/// project. Makes no decisions.
pub trait Dialect: Debug + Send + Sync {
    /// Reads the head of a caller's request.
    fn call_head(&self, parts: &Parts) -> CallHead;

    /// Tells an upstream how much time is left for a request, in the headers that
    /// [`Dialect::upstream_request`] gave it.
    fn write_time_left(&self, headers: &mut HeaderMap, left: Duration);

    /// The request to an upstream, with the caller's method, path and headers.
    fn upstream_request(
        &self,
        parts: &Parts,
        request: &UpstreamRequest<'_>,
        body: Body,
    ) -> Result<Request<Body>, UnsendableText>;

    /// Reads the head of an upstream's response.
    fn response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// The rate limit of an upstream for all instances together, as its response announces it;
    /// none if it announces none.
    fn rate_limit(&self, headers: &HeaderMap) -> Result<Option<RequestRate>, RateError>;

    /// The rejections that the upstreams of a brittle service withstand, as a response announces
    /// it; none if it does not.
    fn rejection_limit(
        &self,
        headers: &HeaderMap,
    ) -> Result<Option<RejectionLimit>, RejectionLimitError>;

    /// True if a response announces that its upstream is about to shut down.
    fn announces_leaving(&self, headers: &HeaderMap) -> bool;

    /// The backoff that an upstream which refused a request asks of this instance; none if it
    /// asks for none.
    fn retry_after(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<RetryAfter>, RetryAfterError>;

    /// The load that a stage upstream reports with a response; none if it reports none.
    fn upstream_load(&self, headers: &HeaderMap)
    -> Result<Option<UpstreamLoad>, UpstreamLoadError>;

    /// The headers of an upstream's response that are passed on to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The response to a caller whose request is refused.
    fn refusal(&self, refusal: &Refusal) -> Response<Body>;

    /// The request for a batch of stage pieces.
    fn stage_request(
        &self,
        upstream: &str,
        pieces: &[PieceRequest],
    ) -> Result<Request<Body>, UnsendableText>;

    /// Reads the response to a batch; none if it is malformed.
    fn stage_results(&self, body: &[u8], count: usize) -> Option<Vec<PieceResult>>;

    /// The request that releases results.
    fn free_results_request(&self, handles: &[CompactString]) -> Request<Body>;

    /// The query for the report of an upstream: its start, and its free result storage if it runs
    /// stages.
    fn report_request(&self, upstream: &str) -> Result<Request<Body>, UnsendableText>;

    /// The free result storage in a report; none if it is malformed.
    fn storage_report(&self, body: &[u8]) -> Option<StorageReport>;

    /// The start in a report, which is [`UpstreamStart::UNKNOWN`] if the report names none; none if
    /// the body is no complete report.
    fn reported_start(&self, body: &[u8]) -> Option<UpstreamStart>;

    /// The address of the upstream that stores a result; none if the handle does not name it.
    fn result_address(&self, handle: &str) -> Option<SocketAddr>;

    /// Reads a query for addresses; none if the URI is not one.
    fn locate_query(&self, uri: &Uri) -> Option<LocateQuery>;

    /// The response to a query for addresses.
    fn locate_response(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// True if the URI is that of the readiness probe.
    fn is_ready_probe(&self, uri: &Uri) -> bool;
}
