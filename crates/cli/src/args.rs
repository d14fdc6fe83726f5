//! The arguments of the command line. Each subcommand validates its own values.

use std::net::SocketAddr;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use bpaf::short;

/// The selected subcommand with its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Args {
    Demo(DemoArgs),
    Operate(OperateArgs),
    Load(LoadArgs),
    StandIn(StandInArgs),
    Experiment(ExperimentArgs),
    Explain(ExplainArgs),
}

/// Arguments of `explain`.
#[derive(Debug, Clone)]
pub(crate) struct ExplainArgs {
    pub(crate) request: Option<String>,
    pub(crate) late: Vec<String>,
    pub(crate) files: Vec<String>,
}

/// Arguments of `experiment`.
#[derive(Debug, Clone)]
pub(crate) struct ExperimentArgs {
    pub(crate) deployment: String,
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    pub(crate) json: bool,
    pub(crate) svg: bool,
    pub(crate) stages: bool,
}

/// Arguments of `demo`.
#[derive(Debug, Clone)]
pub(crate) struct DemoArgs {
    pub(crate) deployment: String,
    pub(crate) seconds: u64,
    pub(crate) rate: u32,
    pub(crate) seed: u64,
    pub(crate) fault: Vec<String>,
    pub(crate) json: bool,
}

/// Arguments of `operate`.
#[derive(Debug, Clone)]
pub(crate) struct OperateArgs {
    pub(crate) at: SocketAddr,
    pub(crate) credential: String,
    pub(crate) json: bool,
    pub(crate) line: Vec<String>,
}

/// Arguments of `load`.
#[derive(Debug, Clone)]
pub(crate) struct LoadArgs {
    pub(crate) at: Vec<SocketAddr>,
    pub(crate) credential: String,
    pub(crate) pipeline: String,
    pub(crate) body: String,
    pub(crate) rate: u32,
    pub(crate) seconds: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) keyed: bool,
    pub(crate) stream: bool,
    pub(crate) json: bool,
}

/// Arguments of `stand-in`.
#[derive(Debug, Clone)]
pub(crate) struct StandInArgs {
    pub(crate) at: SocketAddr,
    pub(crate) deployment: String,
    pub(crate) entry: Vec<String>,
}

/// Returns the parser of the command line.
pub(crate) fn args() -> OptionParser<Args> {
    let demo = demo().map(Args::Demo).to_options();
    let demo = demo.descr("Runs the whole system in one process and checks its promises");
    let demo = demo.command("demo");
    let operate = operate().map(Args::Operate).to_options();
    let operate = operate.descr("Speaks the operators' language with an instance");
    let operate = operate.command("operate");
    let load = load().map(Args::Load).to_options();
    let load = load
        .descr("Calls a pipeline at a steady rate and reports")
        .command("load");
    let standin = standin().map(Args::StandIn).to_options();
    let standin = standin.descr("Runs stand-ins for the platform and a deployment's upstreams");
    let standin = standin.command("stand-in");
    let experiment = experiment().map(Args::Experiment).to_options();
    let experiment = experiment
        .descr("Compares policies in virtual time")
        .command("experiment");
    let explain = explain().map(Args::Explain).to_options();
    let explain = explain
        .descr("Tells from instances' log lines why requests were refused, cut or late")
        .command("explain");
    construct!([demo, operate, load, standin, experiment, explain])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("jacinthdeal: serving of multi-stage model pipelines")
}

fn explain() -> impl Parser<ExplainArgs> {
    let request = long("request")
        .help("Print every line of this request instead of the table")
        .argument::<String>("ID")
        .optional();
    let late = long("late")
        .help("After how long an answer of a route is late, or of all others; may be given again")
        .argument::<String>("ROUTE=MS|MS")
        .many();
    let files = positional::<String>("FILE")
        .help("Files of JSON lines; `-` or none for standard input")
        .many();
    construct!(ExplainArgs {
        request,
        late,
        files
    })
}

fn deployment() -> impl Parser<String> {
    long("deployment")
        .help("karrabin or hearthgate")
        .argument::<String>("NAME")
        .fallback("karrabin".to_owned())
        .display_fallback()
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

fn demo() -> impl Parser<DemoArgs> {
    let deployment = deployment();
    let seconds = long("seconds")
        .help("How long callers call")
        .argument::<u64>("N");
    let seconds = seconds.fallback(20).display_fallback();
    let rate = long("rate").help("Calls a second").argument::<u32>("N");
    let rate = rate.fallback(150).display_fallback();
    let seed = long("seed")
        .help("Seed of arrivals and bodies")
        .argument::<u64>("N");
    let seed = seed.fallback(1).display_fallback();
    let fault = long("fault")
        .help("What goes wrong; may be given again")
        .argument::<String>("NAME");
    let fault = fault.many();
    let json = json();
    construct!(DemoArgs {
        deployment,
        seconds,
        rate,
        seed,
        fault,
        json
    })
}

fn operate() -> impl Parser<OperateArgs> {
    let at = long("at")
        .help("An instance's operators' address")
        .argument::<SocketAddr>("IP:PORT");
    let credential = long("credential")
        .env("JACINTHDEAL_CREDENTIAL")
        .help("The operator's credential")
        .argument::<String>("TEXT");
    let json = json();
    let line = positional::<String>("WORD")
        .help("The command; without one, lines are read from standard input")
        .many();
    construct!(OperateArgs {
        at,
        credential,
        json,
        line
    })
}

fn load() -> impl Parser<LoadArgs> {
    let at = long("at").help("An instance's callers' address; may be given again");
    let at = at
        .argument::<SocketAddr>("IP:PORT")
        .some("give at least one --at");
    let credential = long("credential")
        .env("JACINTHDEAL_CREDENTIAL")
        .help("The customer's credential")
        .argument::<String>("TEXT");
    let pipeline = long("pipeline")
        .help("The pipeline to call")
        .argument::<String>("NAME");
    let body = long("body")
        .help("The request's body")
        .argument::<String>("TEXT");
    let body = body.fallback("hello".to_owned()).display_fallback();
    let rate = short('r')
        .long("rate")
        .help("Calls a second")
        .argument::<u32>("N");
    let rate = rate.fallback(10).display_fallback();
    let seconds = short('t')
        .long("seconds")
        .help("How long")
        .argument::<u64>("N");
    let seconds = seconds.fallback(10).display_fallback();
    let deadline_ms = long("deadline-ms")
        .help("Each call's deadline")
        .argument::<u64>("N");
    let deadline_ms = deadline_ms.fallback(3_000).display_fallback();
    let keyed = long("keyed").help("Send idempotency keys").switch();
    let stream = long("stream").help("Ask for streamed answers").switch();
    let json = json();
    construct!(LoadArgs {
        at,
        credential,
        pipeline,
        body,
        rate,
        seconds,
        deadline_ms,
        keyed,
        stream,
        json
    })
}

fn experiment() -> impl Parser<ExperimentArgs> {
    let deployment = deployment();
    let seed = long("seed")
        .help("Seed of calls and faults")
        .argument::<u64>("N");
    let seed = seed.fallback(1).display_fallback();
    let seconds = long("seconds")
        .help("Virtual seconds of calls")
        .argument::<u64>("N");
    let seconds = seconds.fallback(30).display_fallback();
    let json = json();
    let svg = long("svg")
        .help("Print a plot of attainment in SVG")
        .switch();
    let stages = long("stages")
        .help("Instead, put bursts before the desk that fills calls for stages")
        .switch();
    construct!(ExperimentArgs {
        deployment,
        seed,
        seconds,
        json,
        svg,
        stages
    })
}

fn standin() -> impl Parser<StandInArgs> {
    let at = long("at")
        .help("Where the platform's services answer")
        .argument::<SocketAddr>("IP:PORT");
    let deployment = deployment();
    let entry = long("entry")
        .help(
            "An entry instance to list, as HALL=IP:PORT of its peers' address; may be given again",
        )
        .argument::<String>("HALL=IP:PORT")
        .many();
    construct!(StandInArgs {
        at,
        deployment,
        entry
    })
}
