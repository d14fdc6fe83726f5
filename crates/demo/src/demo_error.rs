//! Why a demo could not run.

use compact_str::CompactString;
use snafu::Snafu;

/// Why a demo could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// A socket or thread could not be had.
    #[snafu(display("{what} could not be started ({source}); free ports, files or threads"))]
    Start {
        /// What.
        what: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
    /// An operator's command was refused.
    #[snafu(display("`{line}` was refused: {message}"))]
    Command {
        /// The command.
        line: CompactString,
        /// What the system said.
        message: CompactString,
    },
    /// The system did not come up.
    #[snafu(display("the system was not ready in time; run it on a less busy machine"))]
    NotReady,
}
