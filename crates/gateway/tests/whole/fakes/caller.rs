//! A caller of a gateway.

use std::time::Duration;

use http::HeaderValue;
use http::Request;
use jd_net::Body;
use jd_net::HttpResponse;

/// How long a caller waits for a response.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// The response that a caller received.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) body: String,
    /// False if the connection broke before the end.
    pub(crate) whole: bool,
    /// Whether the request ran, according to a refusal.
    pub(crate) run: Option<String>,
    /// The retry time of a refusal.
    pub(crate) retry: Option<Duration>,
}

/// A request with a credential.
pub(crate) fn request(path: &str, id: &str, key: &str) -> Request<Body> {
    let req = Request::builder()
        .uri(path)
        .header("host", "desk.example")
        .header("id", id)
        .header("key", key)
        .body(jd_net::empty());
    req.expect("a request")
}

/// A request that resumes a stream after its first event.
pub(crate) fn resuming(path: &str, id: &str, key: &str, resumes: &str) -> Request<Body> {
    let mut req = request(path, id, key);
    let resumes = HeaderValue::from_str(resumes).expect("a value");
    req.headers_mut().insert("resumes", resumes);
    req.headers_mut()
        .insert("after", HeaderValue::from_static("1"));
    req
}

/// Reads a response to its end, or until its connection breaks.
pub(crate) async fn read(mut response: HttpResponse) -> CallerResponse {
    let run = response.header("run").map(String::from);
    let retry = response.header("retry-ms").and_then(|t| t.parse().ok());
    let retry = retry.map(Duration::from_millis);
    let mut body = String::new();
    let whole = loop {
        match response.chunk().await {
            Ok(Some(part)) => body.push_str(&String::from_utf8_lossy(&part)),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    CallerResponse {
        status: response.status.as_u16(),
        body,
        whole,
        run,
        retry,
    }
}
