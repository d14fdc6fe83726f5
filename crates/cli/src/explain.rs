//! `jacinthdeal explain`.

use std::fs::File;
use std::io;
use std::io::BufReader;
use std::process::ExitCode;
use std::time::Duration;

use jd_explain::Breakdown;
use jd_explain::LateThresholds;
use jd_explain::Log;
use jd_explain::request_history;
use snafu::ResultExt;

use crate::args::ExplainArgs;
use crate::cli_error::CliError;
use crate::cli_error::LateSnafu;
use crate::cli_error::ReadSnafu;

/// The file name that stands for standard input.
const STDIN: &str = "-";

/// Explains the outcomes of requests from log lines.
pub(crate) fn explain(args: &ExplainArgs) -> Result<ExitCode, CliError> {
    let late = late_after(&args.late)?;
    let mut log = Log::default();
    match args.files.is_empty() {
        true => read(&mut log, STDIN)?,
        false => args.files.iter().try_for_each(|f| read(&mut log, f))?,
    }
    let (reported, count) = log.malformed();
    for bad in reported {
        eprintln!("jacinthdeal: {bad}");
    }
    if count > reported.len() {
        eprintln!("jacinthdeal: {count} lines in all were not log lines");
    }
    let lines = log.lines();
    match &args.request {
        None => print!("{}", Breakdown::of(lines, &late)),
        Some(id) => print!("{}", non_empty(request_history(lines, id), id)?),
    }
    Ok(ExitCode::SUCCESS)
}

fn non_empty(text: String, id: &str) -> Result<String, CliError> {
    match text.is_empty() {
        true => Err(CliError::NoRequest { id: id.into() }),
        false => Ok(text),
    }
}

fn read(log: &mut Log, file: &str) -> Result<(), CliError> {
    let result = match file {
        STDIN => log.read(STDIN, io::stdin().lock()),
        _ => File::open(file).and_then(|f| log.read(file, BufReader::new(f))),
    };
    result.context(ReadSnafu { file })
}

/// Parses the values of `--late`: `ROUTE=MS`, or `MS` for all other routes.
fn late_after(given: &[String]) -> Result<LateThresholds, CliError> {
    let mut late = LateThresholds::default();
    for value in given {
        let (route, ms) = value.rsplit_once('=').unwrap_or(("", value));
        let ms: u64 = ms.parse().ok().ok_or_else(|| LateSnafu { value }.build())?;
        let after = Duration::from_millis(ms);
        match route {
            "" => late.other = Some(after),
            _ => {
                late.routes.insert(route.into(), after);
            }
        }
    }
    Ok(late)
}
