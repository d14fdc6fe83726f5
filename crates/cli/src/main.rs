//! The `jacinthdeal` command: a demo, a load tool, the operators' language and
//! the stand-ins. Thin: each subcommand checks its arguments and calls a library.

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
        Args::Demo(raw) => demo::demo(raw),
        Args::Operate(raw) => operate::operate(raw),
        Args::Load(raw) => load::load(raw),
        Args::StandIn(raw) => standin::standin(raw),
        Args::Experiment(raw) => experiment::experiment(&raw),
        Args::Explain(raw) => explain::explain(&raw),
    };
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("jacinthdeal: {e}");
            ExitCode::from(2)
        }
    }
}
