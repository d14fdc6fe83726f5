//! Starts the gateway and shuts it down gracefully.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use async_channel::Sender;
use async_executor::Executor;
use async_executor::Task;
use async_signal::Signal;
use async_signal::Signals;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use futures_lite::future;
use jd_adapter::StoreClient;
use jd_adapter::WireDialect;
use jd_gateway::Gateway;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::RedirectingConnector;
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

/// Turns of tasks after which the end of a stop is looked for.
const TURNS: usize = 8;

/// Runs the gateway until a signal stops it.
pub(crate) fn serve(args: &Args) -> Result<(), DaemonError> {
    let settings = GatewaySettings::read(&args.settings).context(SettingsSnafu)?;
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return Ok(());
    }
    // Handlers are installed before anything else is started: until then the default action
    // of each of these signals, SIGHUP included, ends the process at once.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let signals = signals.context(SystemSnafu {
        resource: "signals",
    })?;
    let logs = logging::start(settings.log_level).context(LogsSnafu)?;
    let workers = match settings.threads {
        // With a single thread the executor runs on the main thread: on one core, a second
        // thread would only add context switches.
        0 | 1 => None,
        n => Some(Workers::start(n - 1).context(SystemSnafu {
            resource: "threads",
        })?),
    };
    let executor = match &workers {
        Some(workers) => workers.executor(),
        None => Arc::new(Executor::new()),
    };
    let clock = Clock::start();
    let connector = Arc::new(RedirectingConnector {
        redirects: settings.redirects.clone(),
    });
    let pool = HttpPool::with_connector(Arc::clone(&executor), clock, connector);
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
    let (serving, stopping) = async_channel::bounded(1);
    let running = run_until_stopped(gateway, signals, args.settings.clone(), serving);
    let running = executor.spawn(running);
    // Returns an error once the stop has begun.
    let _ = async_io::block_on(executor.run(stopping.recv()));
    async_io::block_on(run_to_end(&executor, running));
    logs.shutdown();
    Ok(())
}

/// Runs all tasks until `stopping` has ended. [`Executor::run`] would notice its end only after up
/// to 200 turns of other tasks, which is too late for the end of the grace period.
async fn run_to_end(executor: &Executor<'static>, stopping: Task<()>) {
    let ticking = async {
        loop {
            for _ in 0..TURNS {
                executor.tick().await;
            }
            future::yield_now().await;
        }
    };
    stopping.or(ticking).await;
}

/// Waits for SIGTERM or SIGINT, drops `serving`, and then stops `gateway`.
async fn run_until_stopped(
    gateway: Gateway,
    mut signals: Signals,
    settings: PathBuf,
    serving: Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => check_settings(&settings),
            _ => break,
        }
    }
    drop(serving);
    // Signals during the shutdown are received and ignored.
    let ignore_signals = async {
        while signals.next().await.is_some() {}
        future::pending().await
    };
    gateway.stop().or(ignore_signals).await;
}

/// Checks the settings file without applying it. Addresses and bounds cannot change while the
/// process runs, but an invalid file is reported here rather than at the next start.
fn check_settings(settings: &Path) {
    match GatewaySettings::read(settings) {
        Ok(_) => log::info!("settings file is valid; changes take effect at the next start"),
        Err(e) => log::error!(error:% = e; "settings file is not valid; current settings kept"),
    }
}
