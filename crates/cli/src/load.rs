//! `jacinthdeal load`.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use jd_client::Call;
use jd_client::CallReport;
use jd_client::Client;
use jd_client::ClientConfig;
use jd_client::Outcome;
use jd_net::Clock;
use jd_net::Workers;
use jd_net::lock;
use snafu::ResultExt;

use crate::args::LoadArgs;
use crate::cli_error::CliError;
use crate::cli_error::SystemSnafu;
use crate::demo::bounded;

/// Worker threads of the load tool.
const THREADS: usize = 2;

/// The results of all calls.
#[derive(Debug, Default)]
struct Results {
    latencies: Vec<Duration>,
    successes: u64,
    outcomes: BTreeMap<String, u64>,
}

/// Calls a pipeline at a steady rate and prints a report. Fails if no call was answered or
/// accepted.
pub(crate) fn load(args: LoadArgs) -> Result<ExitCode, CliError> {
    let rate = bounded("--rate", args.rate.into(), 1, 10_000)?;
    let seconds = bounded("--seconds", args.seconds, 1, 86_400)?;
    let deadline = Duration::from_millis(bounded("--deadline-ms", args.deadline_ms, 1, 60_000)?);
    let workers = Workers::start(THREADS).context(SystemSnafu {
        resource: "threads",
    })?;
    let config = ClientConfig {
        credential: args.credential.clone(),
        hall: None,
        seeds: args.at.clone(),
    };
    let client = Arc::new(Client::new(&workers, Clock::start(), config));
    let call = Call::new(&args.pipeline, &args.body)
        .keyed(args.keyed)
        .stream(args.stream)
        .deadline(deadline);
    let results = Arc::new(Mutex::new(Results::default()));
    async_io::block_on(call_steadily(
        &workers,
        &client,
        &call,
        &results,
        rate,
        rate * seconds,
    ));
    Ok(report(&lock(&results), args.json))
}

async fn call_steadily(
    workers: &Workers,
    client: &Arc<Client>,
    call: &Call,
    results: &Arc<Mutex<Results>>,
    rate: u64,
    count: u64,
) {
    let interval = Duration::from_secs_f64(1.0 / rate as f64);
    let mut calls = Vec::new();
    for _ in 0..count {
        let (client, call, results) = (Arc::clone(client), call.clone(), Arc::clone(results));
        calls.push(workers.spawn(async move {
            let report = client.call(&call).await;
            record(&mut lock(&results), &report);
        }));
        Timer::after(interval).await;
    }
    for call in calls {
        call.await;
    }
}

fn record(results: &mut Results, report: &CallReport) {
    let outcome = match &report.outcome {
        Outcome::Answered { .. } => "answered".to_owned(),
        Outcome::Accepted { .. } => "accepted".to_owned(),
        Outcome::Refused(p) => format!("refused: {}, {}", p.title, p.run),
        Outcome::Unknown => "no answer".to_owned(),
        Outcome::Unreached => "no instance reached".to_owned(),
    };
    let succeeded = matches!(
        report.outcome,
        Outcome::Answered { .. } | Outcome::Accepted { .. }
    );
    results.successes += u64::from(succeeded);
    results.latencies.push(report.took);
    *results.outcomes.entry(outcome).or_insert(0) += 1;
}

fn report(results: &Results, json: bool) -> ExitCode {
    let mut latencies = results.latencies.clone();
    latencies.sort();
    let percentile = |quantile: f64| {
        let last = latencies.len().saturating_sub(1);
        let i = (last as f64 * quantile).round() as usize;
        latencies.get(i).map_or(0.0, |d| d.as_secs_f64() * 1_000.0)
    };
    let attainment = results.successes as f64 * 100.0 / latencies.len().max(1) as f64;
    match json {
        true => {
            let value = serde_json::json!({
                "calls": latencies.len(), "attainment": attainment,
                "p50_ms": percentile(0.5), "p95_ms": percentile(0.95),
                "p99_ms": percentile(0.99), "ends": results.outcomes,
            });
            println!("{value}");
        }
        false => {
            println!("{} calls, attainment {attainment:.2}%", latencies.len());
            println!(
                "p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
                percentile(0.5),
                percentile(0.95),
                percentile(0.99)
            );
            for (outcome, count) in &results.outcomes {
                println!("  {outcome}: {count}");
            }
        }
    }
    if results.successes > 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
