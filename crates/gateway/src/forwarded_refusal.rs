//! Refusals of forwarded requests, between instances.

use std::time::Duration;

use compact_str::CompactString;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use jd_net::Body;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

const KIND: &str = "jd-forward-refused";
const NOT_RUN: &str = "jd-forward-not-run";
const RETRY_MS: &str = "jd-forward-retry-ms";
const DETAIL: &str = "jd-forward-detail";

/// Encodes a refusal.
pub(crate) fn response(refusal: &Refusal) -> Response<Body> {
    let mut res = Response::new(jd_net::empty());
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = res.headers_mut();
    let mut set = |name: &'static str, value: HeaderValue| {
        headers.insert(HeaderName::from_static(name), value);
    };
    set(KIND, HeaderValue::from_static(refusal.kind.as_str()));
    let not_run = u16::from(refusal.run == RunState::NotRun);
    set(NOT_RUN, HeaderValue::from(not_run));
    if let Some(wait) = refusal.retry_after {
        let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        set(RETRY_MS, HeaderValue::from(wait));
    }
    // A detail with other characters is left out; the instance that refuses logs it.
    if let Ok(detail) = HeaderValue::from_str(&refusal.detail) {
        set(DETAIL, detail);
    }
    res
}

/// Decodes a refusal; none if the response is not one.
pub(crate) fn read(headers: &HeaderMap) -> Option<Refusal> {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let kind = text(KIND)?;
    let kind = RefusalKind::ALL.into_iter().find(|k| k.as_str() == kind);
    let retry_ms = text(RETRY_MS).and_then(|t| t.parse().ok());
    Some(Refusal {
        // A later version may have kinds that are unknown here.
        kind: kind.unwrap_or(RefusalKind::UpstreamFailed),
        run: match text(NOT_RUN) {
            Some("1") if kind.is_some() => RunState::NotRun,
            _ => RunState::MayHaveRun,
        },
        detail: CompactString::from(text(DETAIL).unwrap_or("another instance refused it")),
        retry_after: retry_ms.map(Duration::from_millis),
    })
}
