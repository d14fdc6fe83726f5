//! Logs as JSON lines on standard error.

use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::json_format;
use log::LevelFilter;

/// Starts logging. The handle ends it when dropped.
pub(crate) fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    // The libraries' own chatter is of use only when everything is asked for.
    let others = level.min(LevelFilter::Warn);
    let mut spec = LogSpecification::builder();
    spec.default(if level == LevelFilter::Trace {
        level
    } else {
        others
    });
    for module in [
        "jd_entry",
        "jd_net",
        "jd_coord",
        "jd_policy",
        "jacinthdeald",
    ] {
        spec.module(module, level);
    }
    Logger::with(spec.build())
        .log_to_stderr()
        .format(json_format)
        .start()
}
