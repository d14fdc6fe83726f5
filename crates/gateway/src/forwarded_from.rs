//! What an instance tells another one to which it forwards a request.

use std::time::Duration;

use compact_str::CompactString;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use jd_net::decode_component;
use jd_net::encode_component;
use jd_serving::SoftwareVersion;
use jd_serving::UpstreamStart;

/// Prefix of the headers that only instances set.
const PREFIX: &str = "jd-forward-";
const AGE_MS: &str = "jd-forward-age-ms";
const RUNS: &str = "jd-forward-runs";
const EXCUSED_RUNS: &str = "jd-forward-excused-runs";
const FURTHER_RUNS: &str = "jd-forward-further-runs";
const RAN_AT: &str = "jd-forward-ran-at";
const START_MS: &str = "jd-forward-start-ms";
/// More runs than any route allows. Instances of earlier versions of this program would repeat a
/// request as often as its route allows; they begin one run if all others are counted.
const ALL_RUNS: u64 = 1 << 16;
const COUNTED: &str = "jd-forward-counted";
const VERSION: &str = "jd-forward-version";
const CONFIG_VERSION: &str = "jd-forward-config-version";
const SOFTWARE: &str = "jd-forward-software";
const LAST_EVENT: &str = "jd-forward-last-event";

/// What the forwarding instance tells of a request. Everything else, such as its customer, is
/// decided anew by the instance that runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ForwardedFrom {
    /// The time since the request arrived from its caller.
    pub(crate) age: Duration,
    /// Runs that the forwarding instance may begin after the one that is forwarded.
    pub(crate) further_runs: u32,
    /// The upstreams at which it may have run.
    pub(crate) ran_at: Vec<CompactString>,
    /// True if its first send already adds to a retry budget.
    pub(crate) counted: bool,
    /// The latest version of the configuration by which it or an earlier request was accepted.
    pub(crate) version: u64,
    /// The event after which a stream resumes.
    pub(crate) last_event: Option<u64>,
    /// The only software version of upstreams at which the stream may resume.
    pub(crate) software: Option<SoftwareVersion>,
}

impl ForwardedFrom {
    /// Reads the headers of a request; none if it is not a forwarded one.
    pub(crate) fn read(headers: &HeaderMap) -> Option<ForwardedFrom> {
        let number = |name: &str| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        Some(ForwardedFrom {
            age: Duration::from_millis(number(AGE_MS)?),
            further_runs: number(FURTHER_RUNS).map_or(0, |n| u32::try_from(n).unwrap_or(0)),
            ran_at: read_ran_at(headers),
            counted: number(COUNTED)? != 0,
            version: number(CONFIG_VERSION).or(number(VERSION))?,
            last_event: number(LAST_EVENT),
            software: read_software(headers),
        })
    }

    /// Sets the headers of a request.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        strip(headers);
        write_age(headers, self.age);
        let mut set = |name: &'static str, value: u64| {
            headers.insert(HeaderName::from_static(name), HeaderValue::from(value));
        };
        set(FURTHER_RUNS, u64::from(self.further_runs));
        set(RUNS, ALL_RUNS);
        set(EXCUSED_RUNS, 0);
        set(COUNTED, u64::from(self.counted));
        match self.software {
            None => set(VERSION, self.version),
            // Instances of earlier versions of this program would resume the stream at any
            // software version. They refuse what a later configuration accepted.
            Some(_) => {
                set(VERSION, u64::MAX);
                set(CONFIG_VERSION, self.version);
            }
        }
        if let Some(last) = self.last_event {
            set(LAST_EVENT, last);
        }
        if let Some(software) = &self.software {
            write_software(headers, software);
        }
        write_ran_at(headers, &self.ran_at);
    }
}

/// Sets the time since a request arrived from its caller.
pub(crate) fn write_age(headers: &mut HeaderMap, age: Duration) {
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    headers.insert(HeaderName::from_static(AGE_MS), HeaderValue::from(age));
}

/// Adds the upstreams at which a request may have run, that of the latest run last. Their identities
/// may hold commas.
pub(crate) fn write_ran_at(headers: &mut HeaderMap, upstreams: &[CompactString]) {
    let ids = upstreams.iter().map(|id| encoded(id));
    let ids: Vec<String> = ids.collect();
    headers.insert(HeaderName::from_static(RAN_AT), header_value(ids.join(",")));
}

/// The upstreams at which a request may have run; empty if the other instance does not tell.
pub(crate) fn read_ran_at(headers: &HeaderMap) -> Vec<CompactString> {
    let text = headers.get(RAN_AT).and_then(|v| v.to_str().ok());
    let ids = text.unwrap_or("").split(',').filter(|id| !id.is_empty());
    let ids = ids.filter_map(decode_component);
    ids.map(CompactString::from).collect()
}

/// Adds the start of the upstream that began a response.
pub(crate) fn write_start(headers: &mut HeaderMap, start: UpstreamStart) {
    if let Some(ms) = start.millis() {
        headers.insert(HeaderName::from_static(START_MS), HeaderValue::from(ms));
    }
}

/// The start of the upstream that began a response; unknown if the other instance does not tell.
pub(crate) fn read_start(headers: &HeaderMap) -> UpstreamStart {
    let text = headers.get(START_MS).and_then(|v| v.to_str().ok());
    let ms = text.and_then(|t| t.parse().ok());
    ms.map_or(UpstreamStart::UNKNOWN, UpstreamStart::at_millis)
}

/// Adds the version of the configuration that is in force to a response to another instance.
pub(crate) fn write_version(headers: &mut HeaderMap, version: u64) {
    headers.insert(HeaderName::from_static(VERSION), HeaderValue::from(version));
}

/// The version of the configuration that was in force at the instance that sent this response.
pub(crate) fn read_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(VERSION)?.to_str().ok()?.parse().ok()
}

/// Adds the software version of the upstream that began a stream, or that has to resume it.
pub(crate) fn write_software(headers: &mut HeaderMap, software: &SoftwareVersion) {
    let value = header_value(encoded(software.as_str()));
    headers.insert(HeaderName::from_static(SOFTWARE), value);
}

/// The software version in the headers; none if there is none or it is not valid.
pub(crate) fn read_software(headers: &HeaderMap) -> Option<SoftwareVersion> {
    let text = std::str::from_utf8(headers.get(SOFTWARE)?.as_bytes()).ok()?;
    SoftwareVersion::try_from(&*decode_component(text)?).ok()
}

fn encoded(text: &str) -> String {
    encode_component(text.as_bytes()).to_string()
}

/// The value of a header that holds encoded text, commas and nothing else, which is always valid.
fn header_value(text: String) -> HeaderValue {
    // A header that is left out would mean something else than one that names nothing.
    HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Removes the headers that only instances set.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let ours = headers.keys().filter(|n| n.as_str().starts_with(PREFIX));
    for name in ours.cloned().collect::<Vec<HeaderName>>() {
        headers.remove(name);
    }
}
