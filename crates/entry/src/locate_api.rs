//! "Which address do I use?"

use std::net::SocketAddr;

use compact_str::CompactString;
use compact_str::format_compact;
use http::HeaderValue;
use http::Response;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use jd_coord::LocateAnswer;
use jd_coord::LocatePolicy;
use jd_net::Body;
use jd_net::lock;
use jd_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::shared::Shared;

/// One address in the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateEntryBody {
    /// Where to connect.
    pub address: SocketAddr,
    /// The instance's hall.
    pub hall: Name,
    /// What an idempotency key for this address starts with; add a dot and text
    /// of your own that you never use again.
    pub binding: CompactString,
}

/// The answer to `GET /v1/locate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateBody {
    /// Addresses in order of preference.
    pub addresses: Vec<LocateEntryBody>,
    /// How long the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// Answers a caller in `hall`.
pub(crate) fn locate(shared: &Shared, hall: Option<&Name>) -> Response<Body> {
    let policy = LocatePolicy::with_lifetime(shared.settings.callers.answer_lifetime);
    let mut rng = fastrand::Rng::new();
    let answer = policy.answer(shared.now(), &lock(&shared.members), hall, &mut rng);
    let body = body_of(&answer);
    // The answer is plain data; it always has a JSON form.
    let mut res = Response::new(jd_net::full(serde_json::to_vec(&body).unwrap_or_default()));
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let seconds = answer.lifetime.as_secs();
    if let Ok(value) = HeaderValue::try_from(format!("max-age={seconds}")) {
        headers.insert(CACHE_CONTROL, value);
    }
    res
}

fn body_of(answer: &LocateAnswer) -> LocateBody {
    let entry = |e: &jd_coord::LocateEntry| LocateEntryBody {
        address: e.address,
        hall: e.hall.clone(),
        binding: format_compact!("{}", e.binding),
    };
    LocateBody {
        addresses: answer.entries.iter().map(entry).collect(),
        lifetime_ms: answer.lifetime.as_millis() as u64,
    }
}
