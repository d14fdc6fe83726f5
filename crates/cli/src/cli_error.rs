//! Errors of subcommands.

use compact_str::CompactString;
use snafu::Snafu;

/// An error that prevents a subcommand from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// An argument's value is not one of those allowed.
    #[snafu(display("{argument} `{value}` is not known; use one of: {allowed}"))]
    Unknown {
        /// The argument.
        argument: &'static str,
        /// The value.
        value: CompactString,
        /// The allowed values.
        allowed: String,
    },
    /// An argument's value is out of bounds.
    #[snafu(display("{argument} is {value}; use {low} to {high}"))]
    Bounds {
        /// The argument.
        argument: &'static str,
        /// The value.
        value: u64,
        /// The smallest allowed value.
        low: u64,
        /// The largest allowed value.
        high: u64,
    },
    /// The demo could not run.
    #[snafu(display("{source}"))]
    Demo {
        /// The cause.
        source: jd_demo::DemoError,
    },
    /// The operating system could not provide threads, an address or a standard stream.
    #[snafu(display("{resource}: {source}"))]
    System {
        /// The resource.
        resource: &'static str,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A log could not be read.
    #[snafu(display("{file} cannot be read ({source}); name a file of log lines, or `-`"))]
    Read {
        /// The file.
        file: CompactString,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A time of `--late` is not valid.
    #[snafu(display("--late `{value}` is not a time; write ROUTE=MS, or MS for all other routes"))]
    Late {
        /// The argument's value.
        value: CompactString,
    },
    /// No log line mentions the request.
    #[snafu(display(
        "no log line mentions request `{id}`; give the logs of all instances of that time"
    ))]
    NoRequest {
        /// The request.
        id: CompactString,
    },
    /// The instance did not answer.
    #[snafu(display("no answer from {address}; is an instance listening there?"))]
    NoAnswer {
        /// The instance's address.
        address: CompactString,
    },
    /// The instance refused the credential or the request.
    #[snafu(display("{address} refused with status {status}: {text}"))]
    Refused {
        /// The instance's address.
        address: CompactString,
        /// The status.
        status: u16,
        /// The body of the refusal.
        text: CompactString,
    },
}
