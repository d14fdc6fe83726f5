//! How callers and upstreams speak.

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
use jd_serving::RequestRate;
use jd_serving::RetryAfter;
use jd_serving::RetryAfterError;
use jd_serving::StorageReport;
use jd_types::Refusal;

/// What goes with a caller's request to one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest<'a> {
    /// The identity that the upstream must have to run it.
    pub upstream: &'a str,
    /// How long it may take.
    pub timeout: Duration,
    /// The customer that it belongs to.
    pub customer: Option<&'a str>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Results of stages that it works on.
    pub inputs: &'a [CompactString],
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The request that it belongs to, as the upstream says.
    pub request_id: Option<CompactString>,
    /// True if the upstream vouches for the answer.
    pub signed: bool,
    /// True if the upstream says that it did not run the request.
    pub not_run: bool,
    /// True if it is not the upstream's own body.
    pub encoded: bool,
}

/// A question for addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateQuery {
    /// The availability zone that the caller stands in; may be empty.
    pub zone: CompactString,
}

/// Translates what callers and upstreams say into the product's types and back.
/// Decides nothing.
pub trait Dialect: Debug + Send + Sync {
    /// Reads the head of a caller's request.
    fn call_head(&self, parts: &Parts) -> CallHead;

    /// The request to an upstream, with the caller's method, path and headers.
    fn upstream_request(
        &self,
        parts: &Parts,
        request: &UpstreamRequest<'_>,
        body: Body,
    ) -> Request<Body>;

    /// Reads the head of an upstream's answer.
    fn response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// The requests a second that an upstream takes from all instances together, as an
    /// answer of it names them; none if it names no limit.
    fn rate_limit(&self, headers: &HeaderMap) -> Result<Option<RequestRate>, RateError>;

    /// True if an upstream says in an answer that it is about to stop.
    fn announces_leaving(&self, headers: &HeaderMap) -> bool;

    /// How long an upstream that refused a request wants nothing more from this
    /// instance; none if it does not say so.
    fn retry_after(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<RetryAfter>, RetryAfterError>;

    /// The headers of an upstream's answer that the caller gets.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// A refusal as callers understand it.
    fn refusal(&self, refusal: &Refusal) -> Response<Body>;

    /// A call for pieces of stages.
    fn stage_request(&self, upstream: &str, pieces: &[PieceRequest]) -> Request<Body>;

    /// Reads the answer to such a call; none if it is not one.
    fn stage_results(&self, body: &[u8], count: usize) -> Option<Vec<PieceResult>>;

    /// A call that gives results up.
    fn free_results_request(&self, handles: &[CompactString]) -> Request<Body>;

    /// A question to an upstream of stages how much room it has.
    fn storage_request(&self, upstream: &str) -> Request<Body>;

    /// Reads the answer to such a question; none if it is not one.
    fn storage_report(&self, body: &[u8]) -> Option<StorageReport>;

    /// Where a result lies; none if its handle does not tell.
    fn result_address(&self, handle: &str) -> Option<SocketAddr>;

    /// Reads a question for addresses; none if it is something else.
    fn locate_query(&self, uri: &Uri) -> Option<LocateQuery>;

    /// The answer to such a question.
    fn locate_response(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// True if the request asks whether this instance is ready.
    fn is_ready_probe(&self, uri: &Uri) -> bool;
}
