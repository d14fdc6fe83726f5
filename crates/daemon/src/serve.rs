//! Starts the instance and stops it with grace.

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use jd_entry::Entry;
use jd_entry::Platform;
use jd_net::Clock;
use jd_net::Workers;
use jd_settings::RawSettings;
use jd_settings::Settings;
use snafu::ResultExt;

use crate::args::Args;
use crate::daemon_error::DaemonError;
use crate::daemon_error::LogsSnafu;
use crate::daemon_error::SettingsSnafu;
use crate::daemon_error::StartSnafu;
use crate::logging;

/// Runs until a signal has stopped the instance.
pub(crate) fn serve(args: &Args) -> Result<(), DaemonError> {
    let raw = RawSettings::read(&args.settings).context(SettingsSnafu)?;
    let settings = Settings::try_from(&raw).context(SettingsSnafu)?;
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return Ok(());
    }
    let _logs = logging::start(settings.log.level).context(LogsSnafu)?;
    let workers = Workers::start(settings.instance.threads);
    let workers = workers.context(StartSnafu { what: "threads" })?;
    let clock = Clock::start();
    let platform = Platform::over_http(&settings, &workers, clock);
    let entry = Entry::start(settings, workers, clock, platform);
    let entry = entry.context(StartSnafu { what: "an address" })?;
    log::info!(
        instance:% = entry.incarnation(),
        callers:% = entry.callers(),
        peers:% = entry.peers(),
        operators:% = entry.operators();
        "started"
    );
    async_io::block_on(until_stopped(&entry))
}

async fn until_stopped(entry: &Entry) -> Result<(), DaemonError> {
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let mut signals = signals.context(StartSnafu { what: "signals" })?;
    signals.next().await;
    entry.begin_stop();
    let hurrying = async {
        while signals.next().await.is_some() {
            entry.begin_stop();
        }
        futures_lite::future::pending().await
    };
    entry.stop().or(hurrying).await;
    Ok(())
}
