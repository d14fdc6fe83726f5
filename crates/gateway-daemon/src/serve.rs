//! Starts the instance and stops it with grace.

use std::path::Path;
use std::sync::Arc;

use async_executor::Executor;
use async_signal::Signal;
use async_signal::Signals;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use jd_adapter::StoreClient;
use jd_adapter::WireDialect;
use jd_gateway::Gateway;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::Workers;
use jd_settings::GatewaySettings;
use snafu::ResultExt;

use crate::args::Args;
use crate::daemon_error::DaemonError;
use crate::daemon_error::LogsSnafu;
use crate::daemon_error::SettingsSnafu;
use crate::daemon_error::StartSnafu;
use crate::daemon_error::SystemSnafu;
use crate::logging;

/// Runs until a signal has stopped the instance.
pub(crate) fn serve(args: &Args) -> Result<(), DaemonError> {
    let settings = GatewaySettings::read(&args.settings).context(SettingsSnafu)?;
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return Ok(());
    }
    // Before anything else is started: a signal that comes first would end the
    // process at once, one to read the settings again as well as one to stop.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let signals = signals.context(SystemSnafu { what: "signals" })?;
    let logs = logging::start(settings.log_level).context(LogsSnafu)?;
    let workers = match settings.threads {
        // One core: a second thread would only cost switches between them.
        0 | 1 => None,
        n => Some(Workers::start(n - 1).context(SystemSnafu { what: "threads" })?),
    };
    let executor = match &workers {
        Some(workers) => workers.executor(),
        None => Arc::new(Executor::new()),
    };
    let clock = Clock::start();
    let pool = HttpPool::new(Arc::clone(&executor), clock);
    let store = StoreClient::new(pool.clone(), settings.store);
    let gateway = Gateway::start(
        settings,
        clock,
        &executor,
        pool,
        Arc::new(WireDialect),
        Arc::new(store),
    );
    let gateway = gateway.context(StartSnafu)?;
    let running = until_stopped(&gateway, signals, &args.settings);
    async_io::block_on(executor.run(running));
    logs.shutdown();
    Ok(())
}

async fn until_stopped(gateway: &Gateway, mut signals: Signals, settings: &Path) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => check_again(settings),
            _ => break,
        }
    }
    // Further signals change nothing: the stop is under way.
    let ignoring = async {
        while signals.next().await.is_some() {}
        futures_lite::future::pending().await
    };
    gateway.stop().or(ignoring).await;
}

/// Addresses and bounds cannot change while the process runs; a file that has
/// become wrong is better found now than at the next start.
fn check_again(settings: &Path) {
    match GatewaySettings::read(settings) {
        Ok(_) => log::info!("settings read again; they take effect at the next start"),
        Err(e) => log::error!(error:% = e; "settings are wrong; the old ones stay in force"),
    }
}
