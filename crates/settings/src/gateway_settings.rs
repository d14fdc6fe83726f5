//! The settings of a gateway instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::Name;
use log::LevelFilter;

use crate::Key;
use crate::RawSettings;
use crate::SettingsError;
use crate::key::optional;
use crate::key::required;

/// All keys of the settings file of a gateway.
pub const GATEWAY_KEYS: &[Key] = &[
    required("instance", "name", "text", "at least one character"),
    required(
        "instance",
        "zone",
        "name",
        "1 to 48 lower-case letters, digits, hyphens",
    ),
    required(
        "instance",
        "callers",
        "IP:port",
        "an address of this instance",
    ),
    required(
        "instance",
        "ready",
        "IP:port",
        "an address of this instance",
    ),
    required(
        "instance",
        "locate",
        "IP:port",
        "an address of this instance",
    ),
    required(
        "instance",
        "peers",
        "IP:port",
        "an address of this instance",
    ),
    required(
        "instance",
        "metrics",
        "IP:port",
        "an address of this instance",
    ),
    optional("instance", "threads", "threads", "1", "1 to 64"),
    optional(
        "instance",
        "core-share",
        "cores",
        "1",
        "0.01 to 1024, the processor time that it may use",
    ),
    optional(
        "instance",
        "link-mbps",
        "megabits a second",
        "1000",
        "0.1 to 1000000",
    ),
    optional(
        "instance",
        "memory-mb",
        "megabytes",
        "256",
        "64 to 1048576, the memory that the process may use",
    ),
    optional(
        "instance",
        "max-connections",
        "connections",
        "3000",
        "16 to 65536",
    ),
    optional(
        "instance",
        "first-start",
        "yes or no",
        "false",
        "true or false; true when the whole system starts for the first time",
    ),
    required("store", "address", "IP:port", "the key-value store"),
    optional(
        "store",
        "confirm-every-ms",
        "milliseconds",
        "1200",
        "100 to 60000",
    ),
    optional(
        "store",
        "lease-ms",
        "milliseconds",
        "60000",
        "1000 to 600000",
    ),
    optional(
        "callers",
        "answer-lifetime-ms",
        "milliseconds",
        "2000",
        "100 to 60000",
    ),
    optional(
        "callers",
        "revoke-within-ms",
        "milliseconds",
        "5000",
        "500 to 600000",
    ),
    optional(
        "upstreams",
        "connect-to",
        "IP:port=IP:port, ...",
        "",
        "addresses of upstreams, and those that are connected to instead",
    ),
    optional("stop", "grace-s", "seconds", "8", "1 to 600"),
    optional(
        "repeats",
        "ratio",
        "repeats for each request",
        "0.2",
        "0 to 1",
    ),
    optional(
        "repeats",
        "slack",
        "repeats of all instances",
        "50",
        "0 to 1000000",
    ),
    optional("repeats", "window-s", "seconds", "10", "0.1 to 600"),
    optional(
        "log",
        "level",
        "level",
        "info",
        "error, warn, info, debug or trace",
    ),
];

/// The longest staleness at which requests are still sent, as a percentage of the time
/// within which a revocation must take effect. Beyond it the users' contract counts a request
/// as not served, so that sending it would be a risk without any gain.
const MAX_STALENESS_PERCENT: u32 = 60;

const MEGABYTE: usize = 1_000_000;

/// The validated settings of a gateway instance.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of the instance, for logs.
    pub name: CompactString,
    /// The availability zone of the instance.
    pub zone: Name,
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for readiness checks.
    pub ready: SocketAddr,
    /// The listen address for locate requests, which return the addresses that callers use.
    pub locate: SocketAddr,
    /// The listen address for other instances.
    pub peers: SocketAddr,
    /// The listen address for metrics.
    pub metrics: SocketAddr,
    /// The number of executor threads.
    pub threads: usize,
    /// The processor time that the instance may use, in hundredths of a core.
    pub core_percent: u32,
    /// The bandwidth of the network link, in megabits per second.
    pub link_mbps: u32,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The maximum number of open connections of callers.
    pub max_connections: usize,
    /// True when the whole system starts for the first time.
    pub first_start: bool,
    /// The address of the store.
    pub store: SocketAddr,
    /// The interval at which the revision of the store is polled.
    pub revision_poll_interval: Duration,
    /// How long the instance entry stays in the store after the last renewal of its lease.
    pub lease: Duration,
    /// How long callers may cache a locate answer.
    pub answer_lifetime: Duration,
    /// The maximum time since the state of the instance was last confirmed. Requests are not
    /// sent on staler state.
    pub max_staleness: Duration,
    /// Addresses of upstreams, and those that are connected to instead, such as tunnels.
    pub redirects: HashMap<SocketAddr, SocketAddr>,
    /// The maximum duration of a graceful shutdown.
    pub grace_period: Duration,
    /// The ratio of retries to requests that is allowed, at one service over all instances.
    pub retry_ratio: f64,
    /// The number of retries that is allowed beyond the ratio, over all instances.
    pub retry_slack: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

impl GatewaySettings {
    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<GatewaySettings, SettingsError> {
        let raw = RawSettings::read_keys(path, GATEWAY_KEYS)?;
        GatewaySettings::try_from(&raw)
    }

    /// Validates the `text` of a file. The name `file` is used in errors.
    pub fn parse(file: &str, text: &str) -> Result<GatewaySettings, SettingsError> {
        let raw = RawSettings::parse_keys(file, text, GATEWAY_KEYS)?;
        GatewaySettings::try_from(&raw)
    }
}

/// Reads pairs of addresses, separated by commas.
fn redirects(text: &str) -> Option<HashMap<SocketAddr, SocketAddr>> {
    let pairs = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    let pair = |pair: &str| {
        let (from, to) = pair.split_once('=')?;
        Some((from.trim().parse().ok()?, to.trim().parse().ok()?))
    };
    pairs.map(pair).collect()
}

impl TryFrom<&RawSettings> for GatewaySettings {
    type Error = SettingsError;

    fn try_from(raw: &RawSettings) -> Result<GatewaySettings, SettingsError> {
        let address = |section, key| raw.value(section, key, |t| t.parse().ok());
        let number = |section, key, low: u64, high: u64| {
            let fits = |n: &u64| (low..=high).contains(n);
            raw.value(section, key, |t| t.parse().ok().filter(fits))
        };
        let millis =
            |section, key, low, high| number(section, key, low, high).map(Duration::from_millis);
        let quantity = |section, key, low: f64, high: f64| {
            let fits = |n: &f64| (low..=high).contains(n);
            raw.value(section, key, |t| t.parse().ok().filter(fits))
        };
        let seconds =
            |section, key, low| quantity(section, key, low, 600.0).map(Duration::from_secs_f64);
        let text = |t: &str| (!t.is_empty()).then(|| CompactString::from(t));
        let revoke_within = millis("callers", "revoke-within-ms", 500, 600_000)?;
        Ok(GatewaySettings {
            name: raw.value("instance", "name", text)?,
            zone: raw.value("instance", "zone", |t| Name::try_from(t).ok())?,
            callers: address("instance", "callers")?,
            ready: address("instance", "ready")?,
            locate: address("instance", "locate")?,
            peers: address("instance", "peers")?,
            metrics: address("instance", "metrics")?,
            threads: number("instance", "threads", 1, 64)? as usize,
            core_percent: (quantity("instance", "core-share", 0.01, 1_024.0)? * 100.0) as u32,
            link_mbps: quantity("instance", "link-mbps", 0.1, 1e6)?.ceil() as u32,
            memory_bytes: number("instance", "memory-mb", 64, 1_048_576)? as usize * MEGABYTE,
            max_connections: number("instance", "max-connections", 16, 65_536)? as usize,
            first_start: raw.value("instance", "first-start", |t| t.parse().ok())?,
            store: address("store", "address")?,
            revision_poll_interval: millis("store", "confirm-every-ms", 100, 60_000)?,
            lease: millis("store", "lease-ms", 1_000, 600_000)?,
            answer_lifetime: millis("callers", "answer-lifetime-ms", 100, 60_000)?,
            max_staleness: revoke_within * MAX_STALENESS_PERCENT / 100,
            redirects: raw.value("upstreams", "connect-to", redirects)?,
            grace_period: seconds("stop", "grace-s", 1.0)?,
            retry_ratio: quantity("repeats", "ratio", 0.0, 1.0)?,
            retry_slack: quantity("repeats", "slack", 0.0, 1_000_000.0)?,
            retry_window: seconds("repeats", "window-s", 0.1)?,
            log_level: raw.value("log", "level", |t| t.parse().ok())?,
        })
    }
}
