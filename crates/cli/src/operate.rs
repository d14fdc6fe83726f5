//! `jacinthdeal operate`.

use std::io::BufRead;
use std::io::IsTerminal;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;
use http::Method;
use http::Request;
use http::StatusCode;
use jd_entry::QueryReply;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::Workers;
use snafu::OptionExt;
use snafu::ResultExt;

use crate::args::OperateArgs;
use crate::cli_error::CliError;
use crate::cli_error::NoAnswerSnafu;
use crate::cli_error::RefusedSnafu;
use crate::cli_error::SystemSnafu;

/// The time-out of a command, including the time until it takes effect.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum size of a reply in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Sends the command of the arguments, or each line of standard input as a command.
pub(crate) fn operate(args: OperateArgs) -> Result<ExitCode, CliError> {
    let workers = Workers::start(1).context(SystemSnafu {
        resource: "threads",
    })?;
    let pool = HttpPool::new(workers.executor(), Clock::start());
    let succeeded = match args.line.is_empty() {
        false => run_command(&pool, &args, &args.line.join(" "))?,
        true => run_lines(&pool, &args)?,
    };
    Ok(if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn run_lines(pool: &HttpPool, args: &OperateArgs) -> Result<bool, CliError> {
    let stdin = std::io::stdin();
    let prompts = stdin.is_terminal();
    let mut succeeded = true;
    let mut line = String::new();
    loop {
        if prompts {
            print!("jacinthdeal> ");
            std::io::stdout().flush().context(SystemSnafu {
                resource: "standard output",
            })?;
        }
        line.clear();
        let read = stdin.lock().read_line(&mut line);
        match read.context(SystemSnafu {
            resource: "standard input",
        })? {
            0 => return Ok(succeeded),
            _ if line.trim().is_empty() => {}
            _ if matches!(line.trim(), "quit" | "exit") => return Ok(succeeded),
            _ => succeeded &= run_command(pool, args, line.trim())?,
        }
    }
}

fn run_command(pool: &HttpPool, args: &OperateArgs, line: &str) -> Result<bool, CliError> {
    let reply = async_io::block_on(send(pool, args.at, &args.credential, line))?;
    match args.json {
        true => println!("{}", serde_json::to_string(&reply).unwrap_or_default()),
        false => print!("{}", reply.to_text()),
    }
    Ok(reply.ok)
}

async fn send(
    pool: &HttpPool,
    at: SocketAddr,
    credential: &str,
    line: &str,
) -> Result<QueryReply, CliError> {
    let address = at.to_compact_string();
    let builder = Request::builder().method(Method::POST).uri("/v1/operate");
    let builder = builder.header("host", "jacinthdeal");
    let builder = builder.header("authorization", format!("Bearer {credential}"));
    let req = builder.body(jd_net::full(line.to_owned())).ok();
    let req = req.context(NoAnswerSnafu {
        address: address.clone(),
    })?;
    let res = pool
        .send(at, req, COMMAND_TIMEOUT, false)
        .await
        .and_then(Result::ok);
    let res = res.context(NoAnswerSnafu {
        address: address.clone(),
    })?;
    let status = res.status;
    let body = res.read_all(MAX_REPLY_BYTES).await.ok();
    let body = body.context(NoAnswerSnafu {
        address: address.clone(),
    })?;
    match serde_json::from_slice(&body) {
        Ok(reply) if status == StatusCode::OK => Ok(reply),
        _ => {
            let text = CompactString::from(String::from_utf8_lossy(&body));
            RefusedSnafu {
                address,
                status: status.as_u16(),
                text,
            }
            .fail()
        }
    }
}
