//! Refusals as callers see them.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use jd_net::Body;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;
use serde::Deserialize;
use serde::Serialize;

/// A refusal as problem details (RFC 9457), with three members of our own:
/// `run`, `remedy` and `retry_after_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Names the kind of refusal.
    #[serde(rename = "type")]
    pub kind: CompactString,
    /// A short summary, the same for every refusal of the kind.
    pub title: CompactString,
    /// The HTTP status.
    pub status: u16,
    /// What exactly happened.
    pub detail: CompactString,
    /// `not run` or `may have run`.
    pub run: CompactString,
    /// What the caller should do.
    pub remedy: CompactString,
    /// When to come back, in milliseconds; none if the same call never succeeds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request, if one was begun.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<CompactString>,
}

impl Problem {
    /// What the `type` of every refusal starts with.
    pub const TYPE_PREFIX: &'static str = "urn:jacinthdeal:refusal:";

    /// The refusal of a request; none if it was refused before it got a number.
    pub fn new(refusal: &Refusal, request: Option<CompactString>) -> Problem {
        let name = refusal.kind.as_str();
        Problem {
            kind: compact_str::format_compact!("{}{name}", Problem::TYPE_PREFIX),
            title: CompactString::from(name.replace('-', " ")),
            status: refusal.kind.status(),
            detail: refusal.detail.clone(),
            run: CompactString::const_new(refusal.run.as_str()),
            remedy: CompactString::const_new(refusal.kind.remedy()),
            retry_after_ms: refusal.retry_after.map(|d| d.as_millis() as u64),
            request,
        }
    }

    /// The kind of refusal; none if it is not one of ours.
    pub fn refusal_kind(&self) -> Option<RefusalKind> {
        let name = self.kind.strip_prefix(Problem::TYPE_PREFIX)?;
        RefusalKind::ALL.into_iter().find(|k| k.as_str() == name)
    }

    /// True if nothing ran.
    pub fn is_not_run(&self) -> bool {
        self.run == RunState::NotRun.as_str()
    }

    /// The problem as an HTTP answer.
    pub(crate) fn into_response(self) -> Response<Body> {
        // A problem is plain data; it always has a JSON form.
        let body = Bytes::from(serde_json::to_vec(&self).unwrap_or_default());
        let mut res = Response::new(jd_net::full(body));
        *res.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = res.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(ms) = self.retry_after_ms {
            let seconds = Duration::from_millis(ms).as_secs_f64().ceil() as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        res
    }
}
