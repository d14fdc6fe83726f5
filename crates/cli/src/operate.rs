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

/// How long a command may take, its way into force included.
const PATIENCE: Duration = Duration::from_secs(15);
/// The largest reply, in bytes.
const MAX_REPLY: usize = 16 << 20;

/// Sends one command, or every line of standard input.
pub(crate) fn operate(args: OperateArgs) -> Result<ExitCode, CliError> {
    let workers = Workers::start(1).context(SystemSnafu { what: "threads" })?;
    let pool = HttpPool::new(workers.executor(), Clock::start());
    let good = match args.line.is_empty() {
        false => one(&pool, &args, &args.line.join(" "))?,
        true => every_line(&pool, &args)?,
    };
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn every_line(pool: &HttpPool, args: &OperateArgs) -> Result<bool, CliError> {
    let stdin = std::io::stdin();
    let prompts = stdin.is_terminal();
    let mut good = true;
    let mut line = String::new();
    loop {
        if prompts {
            print!("jacinthdeal> ");
            std::io::stdout().flush().context(SystemSnafu {
                what: "standard output",
            })?;
        }
        line.clear();
        let read = stdin.lock().read_line(&mut line);
        match read.context(SystemSnafu {
            what: "standard input",
        })? {
            0 => return Ok(good),
            _ if line.trim().is_empty() => {}
            _ if matches!(line.trim(), "quit" | "exit") => return Ok(good),
            _ => good &= one(pool, args, line.trim())?,
        }
    }
}

fn one(pool: &HttpPool, args: &OperateArgs, line: &str) -> Result<bool, CliError> {
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
        .send(at, req, PATIENCE, false)
        .await
        .and_then(Result::ok);
    let res = res.context(NoAnswerSnafu {
        address: address.clone(),
    })?;
    let status = res.status;
    let body = res.read_all(MAX_REPLY).await.ok();
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
