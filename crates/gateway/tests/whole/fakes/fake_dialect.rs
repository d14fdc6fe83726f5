//! A minimal dialect.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use jd_gateway::Dialect;
use jd_gateway::LocateQuery;
use jd_gateway::ResponseHead;
use jd_gateway::UnsendableText;
use jd_gateway::UpstreamRequest;
use jd_net::Body;
use jd_serving::CallHead;
use jd_serving::PieceInput;
use jd_serving::PieceRequest;
use jd_serving::PieceResult;
use jd_serving::Prompt;
use jd_serving::PromptPart;
use jd_serving::RateError;
use jd_serving::RejectionLimit;
use jd_serving::RejectionLimitError;
use jd_serving::RequestRate;
use jd_serving::RetryAfter;
use jd_serving::RetryAfterError;
use jd_serving::StreamId;
use jd_serving::UpstreamLoad;
use jd_serving::UpstreamLoadError;
use jd_serving::UpstreamStart;
use jd_types::Refusal;

/// The number of stage results so far.
static RESULTS: AtomicU64 = AtomicU64::new(0);

#[derive(Debug)]
pub(crate) struct FakeDialect;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// The prompt of a path `/paced/SESSION/OWN`, which shares 50 tokens with its session and has a
/// number of its own.
fn prompt(path: &str) -> Option<Prompt> {
    let (session, own) = path.strip_prefix("/paced/")?.split_once('/')?;
    let own = own.parse().ok()?;
    let part = |id, tokens| PromptPart { id, tokens };
    Some(Prompt {
        model: "m".into(),
        tokens_in: 50 + own,
        tokens_out: 7,
        parts: vec![part(session.parse().ok()?, 50), part(0, own)],
    })
}

/// The prompt of a path with a segment such as `parts-1,bad,7`: the IDs of its parts in
/// hexadecimal.
fn listed_prompt(path: &str) -> Option<Prompt> {
    let listed = path.split('/').find_map(|s| s.strip_prefix("parts-"))?;
    let parts = listed.split(',').map(|id| PromptPart {
        id: u64::from_str_radix(id, 16).expect("an ID"),
        tokens: 10,
    });
    Some(Prompt {
        model: "m".into(),
        tokens_in: 30,
        tokens_out: 7,
        parts: parts.collect(),
    })
}

fn handle_list(handles: &[&str]) -> HeaderValue {
    HeaderValue::from_str(&handles.join(" ")).expect("handles without control characters")
}

impl Dialect for FakeDialect {
    fn call_head(&self, parts: &Parts) -> CallHead {
        let headers = &parts.headers;
        CallHead {
            request_id: text(headers, "id").map(CompactString::from),
            credential: text(headers, "key").map(CompactString::from),
            // One piece for each stage that the route may have.
            pieces: vec![1; 2],
            prompt: prompt(parts.uri.path()).or_else(|| listed_prompt(parts.uri.path())),
            last_event: text(headers, "after").and_then(|n| n.parse().ok()),
            resumes: text(headers, "resumes").and_then(|id| StreamId::try_from(id).ok()),
            ..CallHead::default()
        }
    }

    fn write_time_left(&self, _: &mut HeaderMap, _: Duration) {}

    fn upstream_request(
        &self,
        parts: &Parts,
        request: &UpstreamRequest<'_>,
        body: Body,
    ) -> Result<Request<Body>, UnsendableText> {
        let mut req = Request::new(body);
        *req.method_mut() = parts.method.clone();
        *req.uri_mut() = parts.uri.clone();
        *req.headers_mut() = parts.headers.clone();
        req.headers_mut().remove("content-length");
        if let Some(source) = request.fetch_from {
            let source = HeaderValue::from_str(&source.to_string());
            req.headers_mut().insert("fetch", source.expect("a value"));
        }
        if let Some(last) = request.last_event {
            req.headers_mut().insert("after", HeaderValue::from(last));
        }
        Ok(req)
    }

    fn response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead {
        ResponseHead {
            status,
            request_id: text(headers, "id").map(CompactString::from),
            signed: headers.contains_key("signed"),
            not_run: headers.contains_key("not-run"),
            encoded: false,
        }
    }

    fn rate_limit(&self, headers: &HeaderMap) -> Result<Option<RequestRate>, RateError> {
        let named = text(headers, "limit").map(RequestRate::try_from);
        named.transpose()
    }

    fn rejection_limit(
        &self,
        headers: &HeaderMap,
    ) -> Result<Option<RejectionLimit>, RejectionLimitError> {
        text(headers, "brittle")
            .map(RejectionLimit::try_from)
            .transpose()
    }

    fn announces_leaving(&self, headers: &HeaderMap) -> bool {
        headers.contains_key("leaving")
    }

    fn retry_after(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<RetryAfter>, RetryAfterError> {
        let wait = text(headers, "wait").filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        wait.map(RetryAfter::try_from).transpose()
    }

    fn upstream_load(
        &self,
        headers: &HeaderMap,
    ) -> Result<Option<UpstreamLoad>, UpstreamLoadError> {
        text(headers, "load")
            .map(UpstreamLoad::try_from)
            .transpose()
    }

    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let mut passed = headers.clone();
        passed.remove("content-length");
        passed.remove("transfer-encoding");
        passed.remove("connection");
        passed
    }

    fn refusal(&self, refusal: &Refusal) -> Response<Body> {
        let mut res = Response::new(jd_net::full(refusal.detail.to_string()));
        *res.status_mut() = StatusCode::from_u16(refusal.kind.status()).expect("a status");
        let run = HeaderValue::from_static(refusal.run.as_str());
        res.headers_mut().insert("run", run);
        if let Some(wait) = refusal.retry_after {
            let wait = HeaderValue::from(wait.as_millis() as u64);
            res.headers_mut().insert("retry-ms", wait);
        }
        res
    }

    fn stage_request(
        &self,
        _upstream: &str,
        pieces: &[PieceRequest],
    ) -> Result<Request<Body>, UnsendableText> {
        let mut req = Request::new(jd_net::empty());
        let headers = req.headers_mut();
        headers.insert("host", HeaderValue::from_static("stages"));
        let inputs: Vec<&str> = pieces
            .iter()
            .flat_map(|p| match &p.input {
                PieceInput::Caller(_) => Vec::new(),
                PieceInput::Results(handles) => handles.iter().map(CompactString::as_str).collect(),
            })
            .collect();
        headers.insert("inputs", handle_list(&inputs));
        Ok(req)
    }

    fn stage_results(&self, body: &[u8], count: usize) -> Option<Vec<PieceResult>> {
        // Each result has a distinct handle, as with real upstreams.
        let number = || RESULTS.fetch_add(1, Ordering::Relaxed);
        let result = |_| match (body, body.strip_prefix(b"made at ")) {
            (b"made", _) => PieceResult::Done(format_compact!("result-{}", number())),
            (_, Some(address)) => {
                let address = String::from_utf8_lossy(address);
                PieceResult::Done(format_compact!("{address}/{}", number()))
            }
            _ => PieceResult::Failed,
        };
        Some((0..count).map(result).collect())
    }

    fn free_results_request(&self, handles: &[CompactString]) -> Request<Body> {
        let mut req = Request::new(jd_net::empty());
        *req.uri_mut() = Uri::from_static("/free");
        let handles: Vec<&str> = handles.iter().map(CompactString::as_str).collect();
        let headers = req.headers_mut();
        headers.insert("host", HeaderValue::from_static("stages"));
        headers.insert("handles", handle_list(&handles));
        req
    }

    fn report_request(&self, _upstream: &str) -> Result<Request<Body>, UnsendableText> {
        let mut req = Request::new(jd_net::empty());
        *req.uri_mut() = Uri::from_static("/room");
        req.headers_mut()
            .insert("host", HeaderValue::from_static("stages"));
        Ok(req)
    }

    fn storage_report(&self, _body: &[u8]) -> Option<jd_serving::StorageReport> {
        None
    }

    fn reported_start(&self, body: &[u8]) -> Option<UpstreamStart> {
        match std::str::from_utf8(body).ok()? {
            "" => Some(UpstreamStart::UNKNOWN),
            text => text.parse().ok().map(UpstreamStart::at_millis),
        }
    }

    fn result_address(&self, handle: &str) -> Option<SocketAddr> {
        handle.split_once('/')?.0.parse().ok()
    }

    fn locate_query(&self, uri: &Uri) -> Option<LocateQuery> {
        Some(LocateQuery {
            zone: uri.query().unwrap_or("").into(),
        })
    }

    fn locate_response(&self, addresses: &[SocketAddr], _lifetime: Duration) -> Bytes {
        let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        Bytes::from(texts.join(" "))
    }

    fn is_ready_probe(&self, _uri: &Uri) -> bool {
        true
    }
}
