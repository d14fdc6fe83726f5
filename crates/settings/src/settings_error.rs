//! Errors in settings files.

use compact_str::CompactString;
use snafu::Snafu;

/// An error in a settings file.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read ({reason}); check the path and its permissions"))]
    Unreadable {
        /// The file.
        file: CompactString,
        /// The error of the operating system.
        reason: CompactString,
    },
    /// The file is not INI.
    #[snafu(display("{file}: {reason}; write `[section]` and `key = value` lines"))]
    NotIni {
        /// The file.
        file: CompactString,
        /// The position and the fault, as the parser reports them.
        reason: CompactString,
    },
    /// The section or the key is unknown.
    #[snafu(display("{file}: [{section}] {key}: no such key; {remedy}"))]
    Unknown {
        /// The file.
        file: CompactString,
        /// The section.
        section: CompactString,
        /// The key.
        key: CompactString,
        /// The sections or keys that exist.
        remedy: CompactString,
    },
    /// A required key is missing.
    #[snafu(display("{file}: [{section}] {key}: missing; add `{key} = {unit}`, {bounds}"))]
    Missing {
        /// The file.
        file: CompactString,
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The form of the value.
        unit: &'static str,
        /// Its bounds.
        bounds: &'static str,
    },
    /// The key is given more than once.
    #[snafu(display("{file}: [{section}] {key}: given more than once; keep one of them"))]
    Repeated {
        /// The file.
        file: CompactString,
        /// The section.
        section: CompactString,
        /// The key.
        key: CompactString,
    },
    /// The value has the wrong form or is out of bounds.
    #[snafu(display("{file}: [{section}] {key} = {value}: not valid; give {unit}, {bounds}"))]
    Invalid {
        /// The file.
        file: CompactString,
        /// The section.
        section: &'static str,
        /// The key.
        key: CompactString,
        /// The value.
        value: CompactString,
        /// The form of the value.
        unit: &'static str,
        /// Its bounds.
        bounds: &'static str,
    },
    /// Two addresses of the instance are the same.
    #[snafu(display(
        "{file}: [instance] {first} and {second} are both {address}; give each its own port"
    ))]
    SameAddress {
        /// The file.
        file: CompactString,
        /// The first key.
        first: &'static str,
        /// The second key.
        second: &'static str,
        /// The address.
        address: CompactString,
    },
}
