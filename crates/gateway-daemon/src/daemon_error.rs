//! Errors that keep the daemon from running.

use jd_gateway::StartError;
use jd_settings::SettingsError;
use snafu::Snafu;

/// An error that keeps the daemon from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DaemonError {
    /// The settings are not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// The fault.
        source: SettingsError,
    },
    /// The logger could not be started.
    #[snafu(display("logs cannot be written ({source}); check standard output"))]
    Logs {
        /// The error of the logger.
        source: flexi_logger::FlexiLoggerError,
    },
    /// The gateway could not be started, such as when an address cannot be listened on.
    #[snafu(display("{source}"))]
    Start {
        /// The error of the gateway.
        source: StartError,
    },
    /// Worker threads or signal handlers could not be set up.
    #[snafu(display("{resource} could not be set up ({source}); raise the limits of the process"))]
    System {
        /// The kind of resource, for the message.
        resource: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
}
