//! What operators and the metrics' collector can ask.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use jd_lang::Command;
use jd_net::Body;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::with_timeout;
use jd_types::CredentialDigest;

use crate::caller_request::bearer;
use crate::caller_response::plain;
use crate::proposals::propose;
use crate::queries::explain;
use crate::queries::show;
use crate::query_reply::QueryReply;
use crate::shared::Shared;

/// The longest line, in bytes.
const MAX_LINE: usize = 8 << 10;
/// How long an operator's client may take to send it.
const LINE_WITHIN: Duration = Duration::from_secs(5);
/// What `help` says.
const HELP: &str = "\
show pipelines | customers | pools | models | upstreams | instances | limits
     | shares | leases | requests | changes | decisions | costs
explain request ID | change NUMBER
create pipeline NAME deadline 3s stages KIND@POOL [once], ... [deferrable]
create customer NAME credential TEXT limit N [weight N] [priority P]
create pool NAME slots N [model NAME] [fenced] [lookup]
set pipeline NAME deadline 3s
set customer NAME limit N | weight N | priority P
set pool NAME slots N
set model NAME version N
drop pipeline | customer | pool NAME
Changes may end with: because \"reason\"";

/// The operators' endpoint.
#[derive(Debug)]
pub(crate) struct OperatorApi {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for OperatorApi {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            match (req.method(), req.uri().path()) {
                (&Method::GET, "/metrics") => self.metrics(),
                (&Method::POST, "/v1/operate") => self.operate(req).await,
                _ => plain(
                    StatusCode::NOT_FOUND,
                    "no such path; see the operators' pages",
                ),
            }
        })
    }
}

impl OperatorApi {
    fn metrics(&self) -> Response<Body> {
        let mut res = Response::new(jd_net::full(self.shared.metrics.encode()));
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        res.headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        res
    }

    async fn operate(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(who) = bearer(req.headers()).and_then(|c| self.operator(c)) else {
            let text = "no operator has that credential; see [operators] in the settings";
            return plain(StatusCode::UNAUTHORIZED, text);
        };
        let reading = jd_net::read_bounded(req.into_body(), MAX_LINE);
        let line = match with_timeout(LINE_WITHIN, reading).await {
            Some(Ok(bytes)) => String::from_utf8(bytes.to_vec()).ok(),
            _ => None,
        };
        let Some(line) = line else {
            return plain(
                StatusCode::BAD_REQUEST,
                "send one line of text, at most 8 KiB",
            );
        };
        let reply = self.answer(who, line.trim_end()).await;
        json(&reply)
    }

    fn operator(&self, credential: &str) -> Option<CompactString> {
        let digest = CredentialDigest::of(credential);
        let known = self
            .shared
            .settings
            .operators
            .iter()
            .find(|o| o.credential == digest);
        known.map(|o| CompactString::from(o.name.as_str()))
    }

    async fn answer(&self, who: CompactString, line: &str) -> QueryReply {
        match jd_lang::parse(line) {
            Ok(Command::Show(what)) => show(&self.shared, what),
            Ok(Command::Explain(what)) => explain(&self.shared, what).await,
            Ok(Command::Help) => QueryReply::say(true, HELP),
            Ok(Command::Change { change, why }) => propose(&self.shared, who, change, why).await,
            Err(e) => {
                let pointer = format!("{}^", " ".repeat(e.column.saturating_sub(1)));
                QueryReply::say(false, format!("{line}\n{pointer}\n{e}"))
            }
        }
    }
}

fn json(reply: &QueryReply) -> Response<Body> {
    // A reply is plain data; it always has a JSON form.
    let mut res = Response::new(jd_net::full(serde_json::to_vec(reply).unwrap_or_default()));
    let kind = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, kind);
    res
}
