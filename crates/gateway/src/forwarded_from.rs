//! What an instance tells another one to which it forwards a request.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use jd_serving::SoftwareVersion;

/// Prefix of the headers that only instances set.
const PREFIX: &str = "jd-forward-";
const AGE_MS: &str = "jd-forward-age-ms";
const RUNS: &str = "jd-forward-runs";
const EXCUSED_RUNS: &str = "jd-forward-excused-runs";
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
    /// How many times it may have run.
    pub(crate) possible_runs: u32,
    /// How many of these do not count against the attempts that its route allows.
    pub(crate) excused_runs: u32,
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
            possible_runs: u32::try_from(number(RUNS)?).ok()?,
            excused_runs: u32::try_from(number(EXCUSED_RUNS)?).ok()?,
            counted: number(COUNTED)? != 0,
            version: number(CONFIG_VERSION).or(number(VERSION))?,
            last_event: number(LAST_EVENT),
            software: read_software(headers),
        })
    }

    /// Sets the headers of a request.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        strip(headers);
        let age = u64::try_from(self.age.as_millis()).unwrap_or(u64::MAX);
        let mut set = |name: &'static str, value: u64| {
            headers.insert(HeaderName::from_static(name), HeaderValue::from(value));
        };
        set(AGE_MS, age);
        set(RUNS, u64::from(self.possible_runs));
        set(EXCUSED_RUNS, u64::from(self.excused_runs));
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
    }
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
    // Versions have no control characters, so that each of them is a valid header value.
    if let Ok(value) = HeaderValue::from_bytes(software.as_str().as_bytes()) {
        headers.insert(HeaderName::from_static(SOFTWARE), value);
    }
}

/// The software version in the headers; none if there is none or it is not valid.
pub(crate) fn read_software(headers: &HeaderMap) -> Option<SoftwareVersion> {
    let text = std::str::from_utf8(headers.get(SOFTWARE)?.as_bytes()).ok()?;
    SoftwareVersion::try_from(text).ok()
}

/// Removes the headers that only instances set.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let ours = headers.keys().filter(|n| n.as_str().starts_with(PREFIX));
    for name in ours.cloned().collect::<Vec<HeaderName>>() {
        headers.remove(name);
    }
}
