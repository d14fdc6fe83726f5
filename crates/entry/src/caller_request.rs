//! A caller's request, checked.

use std::time::Duration;

use http::HeaderMap;
use jd_coord::IdempotencyKey;
use jd_types::CompiledCustomer;
use jd_types::CompiledPipeline;
use jd_types::Priority;
use jd_types::Refusal;
use jd_types::RefusalKind;

/// The header with the idempotency key.
pub(crate) const HEADER_KEY: &str = "idempotency-key";
/// The header with a shorter deadline than the pipeline's, in milliseconds.
pub(crate) const HEADER_DEADLINE: &str = "jd-deadline-ms";
/// The header with a priority.
pub(crate) const HEADER_PRIORITY: &str = "jd-priority";
/// The media type of a streamed answer.
pub(crate) const STREAM_TYPE: &str = "application/x-ndjson";

/// What a caller's headers ask for, within what its customer may ask for.
#[derive(Debug, Clone)]
pub(crate) struct Wanted {
    /// The time allowed from now.
    pub(crate) deadline: Duration,
    /// How urgent.
    pub(crate) priority: Priority,
    /// The key, if one was given.
    pub(crate) key: Option<IdempotencyKey>,
    /// True if the answer is to be streamed.
    pub(crate) stream: bool,
}

impl Wanted {
    /// Reads the headers. What is wrong is refused; what is more than allowed is
    /// cut down to it.
    pub(crate) fn read(
        headers: &HeaderMap,
        pipeline: &CompiledPipeline,
        customer: &CompiledCustomer,
    ) -> Result<Wanted, Refusal> {
        let deadline = match text(headers, HEADER_DEADLINE)? {
            Some(t) => match t.parse::<u32>() {
                Ok(ms) if ms > 0 => Duration::from_millis(u64::from(ms)).min(pipeline.deadline),
                _ => {
                    return Err(malformed(
                        "jd-deadline-ms is a whole number of milliseconds",
                    ));
                }
            },
            None => pipeline.deadline,
        };
        let priority = match text(headers, HEADER_PRIORITY)? {
            Some(t) => Priority::try_from(t).map_err(|e| malformed(&e.to_string()))?,
            None => Priority::Normal,
        };
        let key = match text(headers, HEADER_KEY)? {
            Some(t) => Some(IdempotencyKey::try_from(t).map_err(|e| malformed(&e.to_string()))?),
            None if pipeline.needs_key => {
                let detail = format!(
                    "pipeline {} has a stage that must not run twice",
                    pipeline.name
                );
                return Err(Refusal::not_run(RefusalKind::KeyMissing, detail));
            }
            None => None,
        };
        let stream = text(headers, "accept")?.is_some_and(|t| t.contains(STREAM_TYPE));
        // A higher priority than the customer's is cut down to the customer's.
        Ok(Wanted {
            deadline,
            priority: priority.max(customer.priority),
            key,
            stream,
        })
    }
}

/// The credential that came as a bearer token.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    match headers.get(name).map(|v| v.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(malformed(&format!("header {name} is not text"))),
    }
}

fn malformed(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Malformed, detail)
}
