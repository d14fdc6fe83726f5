//! Upstreams that send without end, and checks that sound ones are used beside them.

use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use futures_lite::stream::unfold;
use jd_net::Body;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::LinkMode;
use crate::RequestKind;
use crate::UpstreamMode;
use crate::UpstreamRequest;
use crate::Violation;
use crate::cuts::TOLERATED;
use crate::cuts::TOLERATED_ONE_IN;
use crate::losses;
use crate::recorder::Work;

/// What is sent again and again, without the end of a line.
static FILLER: [u8; 64 << 10] = [b'x'; 64 << 10];
/// The interval at which it is sent in a head.
const INTERVAL: Duration = Duration::from_millis(10);
/// A head up to the value of a header.
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-filler: ";

/// A body, or an event, that does not end. The upstream works until its connection is closed.
pub(crate) fn body(millis: u8, work: Option<Work>) -> Body {
    let interval = Duration::from_millis(millis.into());
    jd_net::stream(unfold(work, move |work| async move {
        Timer::after(interval).await;
        Some((Ok(Bytes::from_static(&FILLER)), work))
    }))
}

/// Sends a head for as long as `goes_on`.
pub(crate) async fn send_head(
    mut to: &Async<TcpStream>,
    goes_on: impl Fn() -> bool,
) -> io::Result<()> {
    to.write_all(HEAD).await?;
    while goes_on() {
        to.write_all(&FILLER).await?;
        Timer::after(INTERVAL).await;
    }
    Ok(())
}

fn is_endless(span: &FaultSpan) -> bool {
    matches!(
        span.fault,
        Fault::Upstream(_, UpstreamMode::Endless(_), _)
            | Fault::UpstreamLink(_, LinkMode::EndlessHeads, _)
    )
}

/// Returns a violation if more requests that ran only at sound upstreams were not served than the
/// users tolerate, while others sent without end and all other faults were planned ones.
pub(crate) fn judge(
    attempts: &[Attempt],
    requests: &[UpstreamRequest],
    spans: &[FaultSpan],
) -> Vec<Violation> {
    let is_quiet = |s: &FaultSpan| is_endless(s) || s.fault.is_planned();
    if !spans.iter().any(is_endless) || !spans.iter().all(is_quiet) {
        return Vec::new();
    }
    let runs = losses::runs(requests);
    let during = |a: &Attempt, s: &FaultSpan| s.from <= a.ended && a.sent <= s.to;
    let is_sound = |a: &Attempt, upstream: &str| {
        let mut endless = spans.iter().filter(|s| is_endless(s) && during(a, s));
        endless.all(|s| s.target != upstream)
    };
    let judged = attempts.iter().filter(|a| {
        let runs = runs.get(a.id.as_str()).map_or(&[][..], Vec::as_slice);
        let is_probe = matches!(a.kind, RequestKind::ConfigProbe(_));
        let is_beside = spans.iter().any(|s| is_endless(s) && during(a, s));
        let all_sound = runs.iter().all(|r| is_sound(a, &r.upstream));
        !is_probe && is_beside && !runs.is_empty() && all_sound
    });
    let judged: Vec<&Attempt> = judged.collect();
    let failed = judged.iter().filter(|a| !a.is_served()).count();
    let is_tolerated = failed <= TOLERATED + judged.len() / TOLERATED_ONE_IN;
    let violation = Violation {
        guarantee: "requests at sound upstreams are served beside those that send without end",
        detail: format!("{failed} of {} were not served", judged.len()),
    };
    (!is_tolerated).then_some(violation).into_iter().collect()
}
