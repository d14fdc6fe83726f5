//! Why the daemon could not run.

use jd_gateway::StartError;
use jd_settings::SettingsError;
use snafu::Snafu;

/// Why the daemon could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DaemonError {
    /// The settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// Logs cannot be written.
    #[snafu(display("logs cannot be written ({source}); check standard output"))]
    Logs {
        /// What the logger says.
        source: flexi_logger::FlexiLoggerError,
    },
    /// An address could not be had.
    #[snafu(display("{source}"))]
    Start {
        /// Which.
        source: StartError,
    },
    /// Threads or signals could not be had.
    #[snafu(display("{what} could not be had ({source}); raise the limits of the process"))]
    System {
        /// What.
        what: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
}
