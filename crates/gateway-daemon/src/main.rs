//! The daemon of a gateway instance. It handles settings, logging and signals; requests are
//! served by the libraries that it starts.

mod args;
mod daemon_error;
mod logging;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = args::args().run();
    match serve::serve(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("jacinthdeal-gateway: {e}");
            ExitCode::FAILURE
        }
    }
}
