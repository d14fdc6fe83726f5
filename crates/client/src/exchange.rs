//! One request to one instance.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use http::Method;
use http::Request;
use http::StatusCode;
use jd_entry::Problem;
use jd_entry::StreamLine;
use jd_net::Body;
use jd_net::HttpPool;
use jd_net::HttpResponse;
use jd_net::SendError;
use jd_net::with_timeout;

use crate::Call;
use crate::Outcome;

/// The largest answer, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// How one request ended.
#[derive(Debug)]
pub(crate) enum Reply {
    /// With an answer or a refusal.
    Ended(Outcome),
    /// It never left.
    NeverLeft,
    /// The connection broke or the answer was cut off.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// Sends one request and reads its whole answer.
pub(crate) async fn send(
    pool: &HttpPool,
    address: SocketAddr,
    credential: &str,
    call: &Call,
    key: Option<&str>,
    left: Duration,
) -> Reply {
    let bearer = format!("Bearer {credential}");
    let deadline = left.as_millis().max(1).to_string();
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        ("jd-deadline-ms", deadline.as_str()),
        ("jd-priority", call.priority.as_str()),
    ];
    headers.extend(key.map(|k| ("idempotency-key", k)));
    if call.stream {
        headers.push(("accept", "application/x-ndjson"));
    }
    let path = format!("/v1/pipelines/{}", call.pipeline);
    let Some(req) = request(Method::POST, &path, &headers, call.body.clone()) else {
        return Reply::NeverLeft;
    };
    let exchanging = async {
        match pool.send(address, req, left, false).await {
            Some(Ok(res)) => read(res).await,
            Some(Err(SendError::NotSent)) => Reply::NeverLeft,
            Some(Err(SendError::Broken | SendError::InvalidStatus { .. })) => Reply::Broken,
            None => Reply::Silent,
        }
    };
    with_timeout(left, exchanging)
        .await
        .unwrap_or(Reply::Silent)
}

async fn read(res: HttpResponse) -> Reply {
    let status = res.status;
    let text = |name| CompactString::from(res.header(name).unwrap_or_default());
    let request = text("jd-request");
    let streamed = text("content-type").starts_with("application/x-ndjson");
    let Ok(bytes) = res.read_all(MAX_ANSWER).await else {
        return Reply::Broken;
    };
    match status {
        StatusCode::OK if streamed => read_lines(&bytes),
        StatusCode::OK => {
            let output = String::from_utf8_lossy(&bytes).into_owned();
            Reply::Ended(Outcome::Answered { request, output })
        }
        StatusCode::ACCEPTED => Reply::Ended(Outcome::Accepted { request }),
        _ => match serde_json::from_slice::<Problem>(&bytes) {
            Ok(problem) => Reply::Ended(Outcome::Refused(problem)),
            Err(_) => Reply::Broken,
        },
    }
}

/// Puts a streamed answer together. Without its last line it is no answer.
fn read_lines(bytes: &[u8]) -> Reply {
    let mut output = String::new();
    for line in bytes.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
        match serde_json::from_slice::<StreamLine>(line) {
            Ok(StreamLine::Part(text)) => output.push_str(&text),
            Ok(StreamLine::Restart) => output.clear(),
            Ok(StreamLine::End { request }) => {
                let request = compact_str::format_compact!("{request}");
                return Reply::Ended(Outcome::Answered { request, output });
            }
            Ok(StreamLine::Refused(problem)) => return Reply::Ended(Outcome::Refused(problem)),
            Err(_) => return Reply::Broken,
        }
    }
    Reply::Broken
}

/// A request with the headers that every one has.
pub(crate) fn request(
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Option<Request<Body>> {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "jacinthdeal");
    let with = headers
        .iter()
        .fold(builder, |b, (name, value)| b.header(*name, *value));
    with.body(jd_net::full(body)).ok()
}
