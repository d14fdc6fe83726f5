//! The command line.

use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::short;

/// The parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    /// The path of the settings file.
    pub(crate) settings: PathBuf,
    /// Check the settings and exit.
    pub(crate) check: bool,
}

/// Builds the parser of the command line.
pub(crate) fn args() -> OptionParser<Args> {
    let settings = short('s')
        .long("settings")
        .help("The settings file, in INI")
        .argument::<PathBuf>("FILE");
    let check = long("check").help("Check the settings and exit").switch();
    construct!(Args { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Runs a gateway instance of jacinthdeal on the users' platform")
        .footer("SIGTERM or SIGINT stops it with grace; SIGHUP reads the settings again")
}
