//! The command line.

use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::short;

/// The command line as given.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    /// The settings file.
    pub(crate) settings: PathBuf,
    /// Only check the settings.
    pub(crate) check: bool,
}

/// The command line's parser.
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
