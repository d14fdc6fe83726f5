//! The keys that a settings file may contain.

/// A key of a settings file, as the operators' page lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// The section.
    pub section: &'static str,
    /// The key; `*` in a section whose keys are arbitrary names.
    pub key: &'static str,
    /// The unit or form of the value.
    pub unit: &'static str,
    /// The default; none if the key is required.
    pub default: Option<&'static str>,
    /// The bounds, in words for error messages.
    pub bounds: &'static str,
}

pub(crate) const fn required(
    section: &'static str,
    key: &'static str,
    unit: &'static str,
    bounds: &'static str,
) -> Key {
    Key {
        section,
        key,
        unit,
        default: None,
        bounds,
    }
}

pub(crate) const fn optional(
    section: &'static str,
    key: &'static str,
    unit: &'static str,
    default: &'static str,
    bounds: &'static str,
) -> Key {
    Key {
        section,
        key,
        unit,
        default: Some(default),
        bounds,
    }
}

/// All keys of the settings file of an entry instance, in the order of the operators' page.
pub const KEYS: &[Key] = &[
    required(
        "instance",
        "hall",
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
        "peers",
        "IP:port",
        "an address of this instance",
    ),
    required(
        "instance",
        "operators",
        "IP:port",
        "an address of this instance",
    ),
    optional("instance", "threads", "threads", "4", "1 to 64"),
    required("platform", "key-value", "IP:port", "the key-value service"),
    required("platform", "instances", "IP:port", "the list of instances"),
    optional(
        "callers",
        "answer-lifetime-ms",
        "milliseconds",
        "5000",
        "500 to 60000",
    ),
    optional(
        "callers",
        "max-body-bytes",
        "bytes",
        "262144",
        "1024 to 4194304",
    ),
    optional(
        "callers",
        "max-connections",
        "connections",
        "4096",
        "16 to 65536",
    ),
    optional(
        "work",
        "max-queue",
        "requests for each pool",
        "512",
        "1 to 65536",
    ),
    optional(
        "work",
        "retry-percent",
        "retries for 100 first attempts",
        "10",
        "0 to 100",
    ),
    optional("work", "max-deferred", "requests", "2048", "1 to 65536"),
    optional("work", "loads-at-once", "engines", "2", "1 to 64"),
    optional(
        "log",
        "level",
        "level",
        "info",
        "error, warn, info, debug or trace",
    ),
    optional(
        "operators",
        "*",
        "SHA-256 of the operator's credential",
        "no operators",
        "64 hexadecimal digits",
    ),
];
