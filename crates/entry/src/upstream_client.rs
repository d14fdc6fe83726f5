//! One attempt at one upstream.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::Request;
use http::StatusCode;
use jd_backing::EngineOrder;
use jd_backing::EngineStatus;
use jd_backing::HEADER_LEAVING;
use jd_backing::HEADER_NOT_RUN;
use jd_backing::WorkDone;
use jd_backing::WorkPart;
use jd_backing::WorkRequest;
use jd_net::Body;
use jd_net::HttpResponse;
use jd_net::SendError;
use jd_net::with_timeout;
use jd_types::AttemptOutcome;

use crate::output::Output;
use crate::shared::Shared;

/// The largest answer of an upstream, in bytes.
const MAX_ANSWER: usize = 4 << 20;
/// How long questions that are not work may take.
const ASK_WITHIN: Duration = Duration::from_millis(500);

/// What came of one attempt.
#[derive(Debug)]
pub(crate) struct Attempted {
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
    /// The answer, if it was answered.
    pub(crate) done: Option<WorkDone>,
    /// Parts that went on to the caller.
    pub(crate) parts: usize,
    /// True if the upstream said that it is leaving.
    pub(crate) leaving: bool,
}

impl Attempted {
    fn ended(outcome: AttemptOutcome) -> Attempted {
        Attempted {
            outcome,
            done: None,
            parts: 0,
            leaving: false,
        }
    }
}

/// Times for one attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptTimes {
    /// How long nothing at all may come.
    pub(crate) patience: Duration,
    /// How long the whole may take.
    pub(crate) left: Duration,
}

/// Sends work to an upstream and waits for its whole answer. Parts of a
/// streamed answer go to `parts` as they come, if there is somebody for them.
pub(crate) async fn attempt(
    shared: &Shared,
    address: SocketAddr,
    work: &WorkRequest,
    times: AttemptTimes,
    parts: Option<&Sender<Output>>,
) -> Attempted {
    let reading = attempt_untimed(shared, address, work, times, parts);
    let ended = with_timeout(times.left, reading).await;
    ended.unwrap_or_else(|| Attempted::ended(AttemptOutcome::TimedOut))
}

async fn attempt_untimed(
    shared: &Shared,
    address: SocketAddr,
    work: &WorkRequest,
    times: AttemptTimes,
    parts: Option<&Sender<Output>>,
) -> Attempted {
    // Work is plain data; it always has a JSON form.
    let body = serde_json::to_vec(work).unwrap_or_default();
    let Some(req) = request(Method::POST, "/work", body.into()) else {
        return Attempted::ended(AttemptOutcome::NotRun);
    };
    // A repeated attempt gets a connection of its own: the first one may have
    // met a connection that is silent for good, and this one must not.
    let fresh = work.attempt.attempt > 1;
    let res = match shared.http.send(address, req, times.patience, fresh).await {
        Some(Ok(res)) => res,
        Some(Err(SendError::NotSent)) => return Attempted::ended(AttemptOutcome::Unreachable),
        Some(Err(SendError::Broken | SendError::InvalidStatus { .. })) => {
            return Attempted::ended(AttemptOutcome::Failed);
        }
        None => return Attempted::ended(AttemptOutcome::Silent),
    };
    let leaving = res.header(HEADER_LEAVING).is_some();
    let not_run = res.header(HEADER_NOT_RUN).is_some();
    let attempted = match res.status {
        StatusCode::OK if work.stream => read_stream(res, work, times.patience, parts).await,
        StatusCode::OK => read_whole(res, work, times.patience).await,
        StatusCode::SERVICE_UNAVAILABLE if not_run => Attempted::ended(AttemptOutcome::NotRun),
        _ => Attempted::ended(AttemptOutcome::Failed),
    };
    Attempted {
        leaving,
        ..attempted
    }
}

async fn read_whole(res: HttpResponse, work: &WorkRequest, patience: Duration) -> Attempted {
    let body = match with_timeout(patience, res.read_all(MAX_ANSWER)).await {
        None => return Attempted::ended(AttemptOutcome::Silent),
        Some(Err(_)) => return Attempted::ended(AttemptOutcome::Truncated),
        Some(Ok(body)) => body,
    };
    match serde_json::from_slice::<WorkDone>(&body) {
        Ok(done) => checked(work, done, 0),
        Err(_) => Attempted::ended(AttemptOutcome::Truncated),
    }
}

/// Reads a stream line by line. Every part proves that the upstream is alive,
/// so patience counts anew from each.
async fn read_stream(
    mut res: HttpResponse,
    work: &WorkRequest,
    patience: Duration,
    parts: Option<&Sender<Output>>,
) -> Attempted {
    let mut buf = BytesMut::new();
    let mut output = String::new();
    let mut count = 0;
    loop {
        let part = match with_timeout(patience, res.chunk()).await {
            None => {
                return Attempted {
                    parts: count,
                    ..Attempted::ended(AttemptOutcome::Silent)
                };
            }
            Some(Ok(Some(part))) => part,
            // The end without `done`, orderly or not: the answer is not whole.
            Some(Ok(None) | Err(_)) => {
                return Attempted {
                    parts: count,
                    ..Attempted::ended(AttemptOutcome::Truncated)
                };
            }
        };
        buf.extend_from_slice(&part);
        if buf.len() + output.len() > MAX_ANSWER {
            return Attempted {
                parts: count,
                ..Attempted::ended(AttemptOutcome::Failed)
            };
        }
        while let Some(line) = take_line(&mut buf) {
            match serde_json::from_slice::<WorkPart>(&line) {
                Ok(WorkPart::Part(text)) => {
                    output.push_str(&text);
                    count += usize::from(parts.is_some());
                    pass_on(parts, text).await;
                }
                Ok(WorkPart::Done(mut done)) => {
                    done.output = output;
                    // Reading on to the end of the body gives the connection back.
                    let _ = with_timeout(patience, res.chunk()).await;
                    return checked(work, done, count);
                }
                Err(_) => {
                    return Attempted {
                        parts: count,
                        ..Attempted::ended(AttemptOutcome::Failed)
                    };
                }
            }
        }
    }
}

async fn pass_on(parts: Option<&Sender<Output>>, text: String) {
    if let Some(tx) = parts {
        // Errs only if the caller is gone, which the run finds out by itself.
        let _ = tx.send(Output::Part(text)).await;
    }
}

fn take_line(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.iter().position(|b| *b == b'\n')?;
    Some(buf.split_to(end + 1).freeze())
}

/// Guards against a crossed answer: an upstream or a proxy before it confuses
/// two connections and gives one request's answer to another. The answer names
/// the attempt that it is for, and only that one may have it.
fn checked(work: &WorkRequest, done: WorkDone, parts: usize) -> Attempted {
    match done.attempt == work.attempt {
        true => Attempted {
            outcome: AttemptOutcome::Answered,
            done: Some(done),
            parts,
            leaving: false,
        },
        false => Attempted {
            parts,
            ..Attempted::ended(AttemptOutcome::Crossed)
        },
    }
}

/// Asks an upstream whether a key has run: its output if it has, false in the
/// outer value if it says that it has not, none if it does not say.
pub(crate) async fn look_up(
    shared: &Shared,
    address: SocketAddr,
    key: &str,
) -> Option<Option<String>> {
    let req = request(Method::GET, &format!("/keys/{key}"), Bytes::new())?;
    let (status, body) = ask(shared, address, req).await?;
    match status {
        StatusCode::OK => Some(Some(String::from_utf8(body.to_vec()).ok()?)),
        StatusCode::NOT_FOUND => Some(None),
        _ => None,
    }
}

/// Asks an engine what it serves.
pub(crate) async fn engine_status(shared: &Shared, address: SocketAddr) -> Option<EngineStatus> {
    let req = request(Method::GET, "/engine", Bytes::new())?;
    let (status, body) = ask(shared, address, req).await?;
    let parsed = || serde_json::from_slice(&body).ok();
    (status == StatusCode::OK).then(parsed).flatten()
}

/// Gives an engine an order; true if it took it.
pub(crate) async fn order(shared: &Shared, address: SocketAddr, order: &EngineOrder) -> bool {
    // An order is plain data; it always has a JSON form.
    let body = serde_json::to_vec(order).unwrap_or_default();
    let Some(req) = request(Method::POST, "/order", body.into()) else {
        return false;
    };
    ask(shared, address, req)
        .await
        .is_some_and(|(status, _)| status == StatusCode::OK)
}

async fn ask(
    shared: &Shared,
    address: SocketAddr,
    req: Request<Body>,
) -> Option<(StatusCode, Bytes)> {
    let asking = async {
        let res = shared
            .http
            .send(address, req, ASK_WITHIN, false)
            .await?
            .ok()?;
        let status = res.status;
        let body = res.read_all(MAX_ANSWER).await.ok()?;
        Some((status, body))
    };
    with_timeout(ASK_WITHIN, asking).await.flatten()
}

fn request(method: Method, path: &str, body: Bytes) -> Option<Request<Body>> {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "upstream");
    builder.body(jd_net::full(body)).ok()
}
