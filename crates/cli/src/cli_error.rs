//! Why a subcommand could not run.

use compact_str::CompactString;
use snafu::Snafu;

/// Why a subcommand could not run.
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
        /// What is allowed.
        allowed: String,
    },
    /// An argument's value is out of bounds.
    #[snafu(display("{argument} is {value}; use {low} to {high}"))]
    Bounds {
        /// The argument.
        argument: &'static str,
        /// The value.
        value: u64,
        /// The least.
        low: u64,
        /// The most.
        high: u64,
    },
    /// The demo could not run.
    #[snafu(display("{source}"))]
    Demo {
        /// Why.
        source: jd_demo::DemoError,
    },
    /// The system refused threads, addresses or input.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What.
        what: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
    /// A log could not be read.
    #[snafu(display("{file} cannot be read ({source}); name a file of log lines, or `-`"))]
    Read {
        /// The file.
        file: CompactString,
        /// What the system says.
        source: std::io::Error,
    },
    /// A time after which answers are late is none.
    #[snafu(display("--late `{value}` is no time; write ROUTE=MS, or MS for all other routes"))]
    Late {
        /// What was given.
        value: CompactString,
    },
    /// No line is about the request.
    #[snafu(display(
        "no line is about request `{id}`; give the logs of all instances of that time"
    ))]
    NoRequest {
        /// The request.
        id: CompactString,
    },
    /// No answer.
    #[snafu(display("no answer from {address}; is an instance listening there?"))]
    NoAnswer {
        /// The address asked.
        address: CompactString,
    },
    /// The instance refused the credential or the request.
    #[snafu(display("{address} refused with status {status}: {text}"))]
    Refused {
        /// The address asked.
        address: CompactString,
        /// The status.
        status: u16,
        /// What it said.
        text: CompactString,
    },
}
