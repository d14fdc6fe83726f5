//! The validated settings of an entry instance.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;
use jd_types::CredentialDigest;
use jd_types::Name;
use log::LevelFilter;
use snafu::ensure;

use crate::KEYS;
use crate::Key;
use crate::RawSettings;
use crate::SettingsError;
use crate::settings_error::SameAddressSnafu;

/// The zone, the addresses and the threads of an instance.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// The availability zone of the instance; its key is `hall`.
    pub zone: Name,
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for other instances.
    pub peers: SocketAddr,
    /// The listen address for operators and the metrics collector.
    pub operators: SocketAddr,
    /// The number of executor threads.
    pub threads: usize,
}

/// The addresses of the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address of the key-value service.
    pub key_value: SocketAddr,
    /// The address of the service that lists instances.
    pub instances: SocketAddr,
}

/// Limits for callers.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// How long callers may cache a locate answer.
    pub answer_lifetime: Duration,
    /// The maximum size of a request body, in bytes.
    pub max_body: usize,
    /// The maximum number of open connections.
    pub max_connections: usize,
}

/// Limits on queues, retries and deferred requests.
#[derive(Debug, Clone)]
pub struct WorkSettings {
    /// The maximum number of requests that wait for one pool.
    pub max_queue: usize,
    /// The maximum number of retries for 100 first attempts.
    pub retry_percent: u32,
    /// The maximum number of deferred requests that wait to become durable.
    pub max_deferred: usize,
    /// The maximum number of engines that load a model at the same time.
    pub max_concurrent_loads: usize,
}

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LevelFilter,
}

/// An operator, who may use the operators' language.
#[derive(Debug, Clone)]
pub struct Operator {
    /// The name in the audit trail.
    pub name: Name,
    /// The digest of the operator's credential.
    pub credential: CredentialDigest,
}

/// All settings of an entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The zone, the addresses and the threads of the instance.
    pub instance: InstanceSettings,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Limits for callers.
    pub callers: CallerSettings,
    /// Limits on queues, retries and deferred requests.
    pub work: WorkSettings,
    /// Settings of the log.
    pub log: LogSettings,
    /// The operators.
    pub operators: Vec<Operator>,
}

impl TryFrom<&RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: &RawSettings) -> Result<Settings, SettingsError> {
        let instance = InstanceSettings {
            zone: raw.value("instance", "hall", |t| Name::try_from(t).ok())?,
            callers: address(raw, "instance", "callers")?,
            peers: address(raw, "instance", "peers")?,
            operators: address(raw, "instance", "operators")?,
            threads: number(raw, "instance", "threads", 1..=64)?,
        };
        check_addresses(raw, &instance)?;
        let lifetime = number(raw, "callers", "answer-lifetime-ms", 500..=60_000)?;
        Ok(Settings {
            instance,
            platform: PlatformSettings {
                key_value: address(raw, "platform", "key-value")?,
                instances: address(raw, "platform", "instances")?,
            },
            callers: CallerSettings {
                answer_lifetime: Duration::from_millis(lifetime as u64),
                max_body: number(raw, "callers", "max-body-bytes", 1_024..=4_194_304)?,
                max_connections: number(raw, "callers", "max-connections", 16..=65_536)?,
            },
            work: WorkSettings {
                max_queue: number(raw, "work", "max-queue", 1..=65_536)?,
                retry_percent: number(raw, "work", "retry-percent", 0..=100)? as u32,
                max_deferred: number(raw, "work", "max-deferred", 1..=65_536)?,
                max_concurrent_loads: number(raw, "work", "loads-at-once", 1..=64)?,
            },
            log: LogSettings {
                level: raw.value("log", "level", level)?,
            },
            operators: operators(raw)?,
        })
    }
}

fn address(
    raw: &RawSettings,
    section: &'static str,
    key: &'static str,
) -> Result<SocketAddr, SettingsError> {
    raw.value(section, key, |t| t.parse().ok())
}

fn number(
    raw: &RawSettings,
    section: &'static str,
    key: &'static str,
    range: RangeInclusive<usize>,
) -> Result<usize, SettingsError> {
    raw.value(section, key, |t| {
        t.parse().ok().filter(|n| range.contains(n))
    })
}

fn level(text: &str) -> Option<LevelFilter> {
    text.parse().ok().filter(|l| *l != LevelFilter::Off)
}

fn operators(raw: &RawSettings) -> Result<Vec<Operator>, SettingsError> {
    raw.pairs("operators")
        .map(|(key, text)| operator(raw, key, text))
        .collect()
}

fn operator(raw: &RawSettings, key: &str, text: &str) -> Result<Operator, SettingsError> {
    let name = Name::try_from(key).ok();
    let credential = CredentialDigest::try_from(text).ok();
    match (name, credential) {
        (Some(name), Some(credential)) => Ok(Operator { name, credential }),
        _ => {
            let key_info = KEYS.iter().find(|k| k.section == "operators");
            let (unit, bounds) = key_info.map_or(("", ""), |k: &Key| (k.unit, k.bounds));
            let (key, value) = (CompactString::from(key), CompactString::from(text));
            let file = raw.file().clone();
            Err(SettingsError::Invalid {
                file,
                section: "operators",
                key,
                value,
                unit,
                bounds,
            })
        }
    }
}

/// Checks that the listen addresses differ. Port 0 may be given several times, since the
/// system then chooses a free port for each.
fn check_addresses(raw: &RawSettings, instance: &InstanceSettings) -> Result<(), SettingsError> {
    let all = [
        ("callers", instance.callers),
        ("peers", instance.peers),
        ("operators", instance.operators),
    ];
    for (n, (second, address)) in all.iter().enumerate() {
        for (first, other) in &all[..n] {
            let file = raw.file().clone();
            let same = address == other && address.port() != 0;
            let text = address.to_compact_string();
            ensure!(
                !same,
                SameAddressSnafu {
                    file,
                    first: *first,
                    second: *second,
                    address: text
                }
            );
        }
    }
    Ok(())
}
