//! Why the daemon could not run.

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
    #[snafu(display("logs cannot be written ({source}); check standard error"))]
    Logs {
        /// What the logger says.
        source: flexi_logger::FlexiLoggerError,
    },
    /// Threads, addresses or signals could not be had.
    #[snafu(display("{what} could not be had ({source}); free it, or change the settings"))]
    Start {
        /// What.
        what: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
}
