//! The `jacinthdeal` command: a demo, a load tool, an operators' client, experiments, log
//! analysis and fakes of the platform. Each subcommand only checks its arguments and calls a
//! library.

mod args;
mod cli_error;
mod demo;
mod experiment;
mod explain;
mod load;
mod operate;
mod standin;

use std::process::ExitCode;

use args::Args;

fn main() -> ExitCode {
    let result = match args::args().run() {
        Args::Demo(args) => demo::demo(args),
        Args::Operate(args) => operate::operate(args),
        Args::Load(args) => load::load(args),
        Args::StandIn(args) => standin::standin(args),
        Args::Experiment(args) => experiment::experiment(&args),
        Args::Explain(args) => explain::explain(&args),
    };
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("jacinthdeal: {e}");
            ExitCode::from(2)
        }
    }
}
