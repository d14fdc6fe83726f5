//! Answers as callers get them: whole, streamed, or a refusal.

use async_channel::Receiver;
use bytes::Bytes;
use compact_str::format_compact;
use futures_lite::StreamExt;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use jd_coord::RunAnswer;
use jd_net::Body;
use jd_types::RequestId;

use crate::caller_request::STREAM_TYPE;
use crate::output::Output;
use crate::output::StreamLine;
use crate::problem::Problem;

/// Turns a run's output into the answer to its caller. Nothing is sent before
/// the first part or the end is there, so a refusal has its own status.
pub(crate) async fn respond(
    rx: Receiver<Output>,
    request: RequestId,
    stream: bool,
) -> Response<Body> {
    match rx.recv().await {
        Ok(Output::End(RunAnswer::Refused(r))) => {
            Problem::new(&r, Some(format_compact!("{request}"))).into_response()
        }
        Ok(Output::End(RunAnswer::Whole(a))) if stream => {
            let text = String::from_utf8_lossy(&a.output).into_owned();
            let lines = [line(&StreamLine::Part(text)), end_line(a.request)];
            let body = Bytes::from(lines.concat());
            with_request(Response::new(jd_net::full(body)), STREAM_TYPE, request)
        }
        Ok(Output::End(RunAnswer::Whole(a))) => {
            let deferred = a.output.is_empty();
            let mut res = Response::new(jd_net::full(a.output));
            if deferred {
                *res.status_mut() = StatusCode::ACCEPTED;
            }
            with_request(res, "text/plain; charset=utf-8", a.request)
        }
        Ok(first) => {
            let rest = futures_lite::stream::once(first).chain(rx);
            let lines = rest.map(move |output| Ok(stream_line(output)));
            with_request(Response::new(jd_net::stream(lines)), STREAM_TYPE, request)
        }
        Err(_) => {
            // The run's task ended without a word, which only a panic does.
            plain(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the run ended without an answer",
            )
        }
    }
}

fn stream_line(output: Output) -> Bytes {
    let text = match output {
        Output::Part(text) => line(&StreamLine::Part(text)),
        Output::Restart => line(&StreamLine::Restart),
        Output::End(RunAnswer::Whole(a)) => end_line(a.request),
        Output::End(RunAnswer::Refused(r)) => line(&StreamLine::Refused(Problem::new(&r, None))),
    };
    Bytes::from(text)
}

fn end_line(request: RequestId) -> Vec<u8> {
    line(&StreamLine::End { request })
}

fn line(line: &StreamLine) -> Vec<u8> {
    // A line is plain data; it always has a JSON form.
    let mut text = serde_json::to_vec(line).unwrap_or_default();
    text.push(b'\n');
    text
}

fn with_request(mut res: Response<Body>, kind: &'static str, request: RequestId) -> Response<Body> {
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    if let Ok(value) = HeaderValue::try_from(request.to_string()) {
        headers.insert("jd-request", value);
    }
    res
}

pub(crate) fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut res = Response::new(jd_net::full(text));
    *res.status_mut() = status;
    res
}
