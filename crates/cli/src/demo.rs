//! `jacinthdeal demo`.

use std::process::ExitCode;
use std::time::Duration;

use compact_str::CompactString;
use jd_demo::DemoOptions;
use jd_demo::Fault;
use jd_standins::Deployment;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::ensure;

use crate::args::DemoArgs;
use crate::cli_error::BoundsSnafu;
use crate::cli_error::CliError;
use crate::cli_error::DemoSnafu;
use crate::cli_error::UnknownSnafu;

/// Runs the demo. Fails if a guarantee was violated or a fault had no effect.
pub(crate) fn demo(args: DemoArgs) -> Result<ExitCode, CliError> {
    let json = args.json;
    let options = DemoOptions::try_from(args)?;
    let report = async_io::block_on(jd_demo::run(options)).context(DemoSnafu)?;
    match json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        ),
        false => print!("{}", report.to_text()),
    }
    let passed = report.violations() == 0 && report.faults_bit();
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

impl TryFrom<DemoArgs> for DemoOptions {
    type Error = CliError;

    fn try_from(args: DemoArgs) -> Result<DemoOptions, CliError> {
        let faults: Result<Vec<Fault>, CliError> = args.fault.iter().map(|f| fault(f)).collect();
        Ok(DemoOptions {
            deployment: deployment(&args.deployment)?,
            time: Duration::from_secs(bounded("--seconds", args.seconds, 1, 3_600)?),
            rate: bounded("--rate", args.rate.into(), 1, 5_000)? as u32,
            seed: args.seed,
            faults: faults?,
            progress: !args.json,
        })
    }
}

/// Finds a deployment by its name.
pub(crate) fn deployment(name: &str) -> Result<Deployment, CliError> {
    let value = CompactString::from(name);
    let allowed = "karrabin, hearthgate";
    Deployment::from_name(name).context(UnknownSnafu {
        argument: "--deployment",
        value,
        allowed,
    })
}

/// Checks that an argument's value is within bounds.
pub(crate) fn bounded(
    argument: &'static str,
    value: u64,
    low: u64,
    high: u64,
) -> Result<u64, CliError> {
    ensure!(
        (low..=high).contains(&value),
        BoundsSnafu {
            argument,
            value,
            low,
            high
        }
    );
    Ok(value)
}

fn fault(name: &str) -> Result<Fault, CliError> {
    let value = CompactString::from(name);
    let allowed = Fault::ALL.map(Fault::as_str).join(", ");
    Fault::from_name(name).context(UnknownSnafu {
        argument: "--fault",
        value,
        allowed,
    })
}
