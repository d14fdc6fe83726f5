//! `jacinthdeal experiment`.

use std::process::ExitCode;

use jd_lab::experiment::plot;
use jd_lab::experiment::run;
use jd_lab::experiment::table;
use jd_lab::stages;

use crate::args::ExperimentArgs;
use crate::cli_error::CliError;
use crate::demo::bounded;
use crate::demo::deployment;

/// Compares policies in virtual time.
pub(crate) fn experiment(args: &ExperimentArgs) -> Result<ExitCode, CliError> {
    if args.stages {
        print!("{}", stages::table());
        return Ok(ExitCode::SUCCESS);
    }
    let deployment = deployment(&args.deployment)?;
    let seconds = bounded("--seconds", args.seconds, 5, 600)?;
    let outcomes = run(&deployment, args.seed, seconds);
    match (args.json, args.svg) {
        (true, _) => println!("{}", serde_json::to_string(&outcomes).unwrap_or_default()),
        (false, true) => println!("{}", plot(&outcomes).unwrap_or_default()),
        (false, false) => print!("{}", table(&outcomes)),
    }
    Ok(ExitCode::SUCCESS)
}
