//! What the head of a success says of its body.

use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use jd_serving::BodyKind;

/// The media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// What the head of a success on a route of streams says of its body. Without a media type it is a
/// stream, as the route says.
pub(crate) fn of_stream(method: &Method, status: StatusCode, headers: &HeaderMap) -> BodyKind {
    match of_single(method, status) {
        BodyKind::Single if is_event_stream(headers) => BodyKind::Events,
        kind => kind,
    }
}

/// What the head of a success on any other route says of its body.
pub(crate) fn of_single(method: &Method, status: StatusCode) -> BodyKind {
    match method == Method::HEAD || status == StatusCode::NO_CONTENT {
        true => BodyKind::Absent,
        false => BodyKind::Single,
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(kind) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let kind = kind.to_str().unwrap_or("");
    let media_type = kind.split(';').next().unwrap_or("");
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
