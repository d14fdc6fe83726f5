//! `jacinthdeal stand-in`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use compact_str::CompactString;
use jd_backing::Listed;
use jd_backing::ListedState;
use jd_net::Clock;
use jd_net::Workers;
use jd_standins::Deployment;
use jd_standins::FakeList;
use jd_standins::PlatformServer;
use jd_standins::UpstreamServer;
use jd_standins::Witness;
use jd_types::Name;
use snafu::OptionExt;
use snafu::ResultExt;

use crate::args::StandInArgs;
use crate::cli_error::CliError;
use crate::cli_error::SystemSnafu;
use crate::cli_error::UnknownSnafu;
use crate::demo::deployment;

/// Worker threads of the stand-ins.
const THREADS: usize = 2;

/// Runs the stand-ins until the process is terminated.
pub(crate) fn standin(args: StandInArgs) -> Result<ExitCode, CliError> {
    let deployment = deployment(&args.deployment)?;
    let entries: Result<Vec<Listed>, CliError> = args.entry.iter().map(|e| entry(e)).collect();
    let workers = Workers::start(THREADS).context(SystemSnafu {
        resource: "threads",
    })?;
    let clock = Clock::start();
    let witness = Arc::new(Witness::default());
    let upstreams = upstreams(&workers, clock, &deployment, &witness)?;
    let mut list: Vec<Listed> = upstreams.iter().map(UpstreamServer::listed).collect();
    list.extend(entries?);
    let platform = PlatformServer::start(&workers, clock, args.at, FakeList::new(list));
    let platform = platform.context(SystemSnafu {
        resource: "the platform's address",
    })?;
    println!("platform's services at {}", platform.address());
    println!("{} upstreams of {}", upstreams.len(), deployment.name);
    println!("bring it into force with these commands:");
    for line in deployment.commands() {
        println!("{line}");
    }
    loop {
        // `park` may wake up spuriously, so it is repeated.
        std::thread::park();
    }
}

fn upstreams(
    workers: &Workers,
    clock: Clock,
    deployment: &Deployment,
    witness: &Arc<Witness>,
) -> Result<Vec<UpstreamServer>, CliError> {
    let at = SocketAddr::from(([127, 0, 0, 1], 0));
    let start = |spec| UpstreamServer::start(workers, clock, at, spec, Arc::clone(witness));
    let started: std::io::Result<Vec<UpstreamServer>> =
        deployment.upstreams().into_iter().map(start).collect();
    started.context(SystemSnafu {
        resource: "an upstream's address",
    })
}

fn entry(text: &str) -> Result<Listed, CliError> {
    let parsed = text.split_once('=').and_then(|(hall, address)| {
        let hall = Name::try_from(hall).ok()?;
        let address = address.parse().ok()?;
        Some(Listed {
            address,
            pool: None,
            hall,
            state: ListedState::Live,
        })
    });
    let value = CompactString::from(text);
    parsed.context(UnknownSnafu {
        argument: "--entry",
        value,
        allowed: "HALL=IP:PORT",
    })
}
