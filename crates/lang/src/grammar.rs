//! The grammar.

use compact_str::CompactString;
use compact_str::format_compact;
use jd_types::Change;
use jd_types::CredentialDigest;
use jd_types::Customer;
use jd_types::Pipeline;
use jd_types::Pool;
use jd_types::Priority;
use jd_types::Revision;
use jd_types::Stage;
use jd_types::StageKind;
use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::error::ContextError;
use winnow::error::StrContext;
use winnow::token::rest;
use winnow::token::take_till;

use crate::Command;
use crate::Explain;
use crate::ParseError;
use crate::Show;
use crate::words::Input;
use crate::words::expected;
use crate::words::flag;
use crate::words::keyword;
use crate::words::millis;
use crate::words::name;
use crate::words::number;
use crate::words::peek;
use crate::words::priority;
use crate::words::request;
use crate::words::word;

/// The longest line, in bytes.
const MAX_LINE: usize = 4_096;
/// A customer's weight if none is given.
const DEFAULT_WEIGHT: u32 = 1;

/// Parses one line.
pub fn parse(line: &str) -> Result<Command, ParseError> {
    if line.len() > MAX_LINE {
        let expected = format_compact!("a line of at most {MAX_LINE} bytes");
        return Err(ParseError {
            column: MAX_LINE + 1,
            expected,
        });
    }
    command.parse(line).map_err(|e| {
        let before = line.get(..e.offset()).unwrap_or(line);
        ParseError {
            column: before.chars().count() + 1,
            expected: wanted(e.inner()),
        }
    })
}

fn wanted(e: &ContextError) -> CompactString {
    let found = e.context().find_map(|c| match c {
        StrContext::Expected(what) => Some(format_compact!("{what}")),
        _ => None,
    });
    found.unwrap_or_else(|| CompactString::const_new("the end of the line"))
}

fn command(input: &mut Input<'_>) -> ModalResult<Command> {
    let command = match peek(input)? {
        "show" => show(input)?,
        "explain" => explain(input)?,
        "create" | "set" | "drop" => change(input)?,
        "help" => {
            keyword(input, "help")?;
            Command::Help
        }
        _ => return expected("show, explain, create, set, drop or help"),
    };
    multispace0.parse_next(input)?;
    match input.is_empty() {
        true => Ok(command),
        false => expected("the end of the line"),
    }
}

fn show(input: &mut Input<'_>) -> ModalResult<Command> {
    keyword(input, "show")?;
    let what = "pipelines, customers, pools, models, upstreams, instances, limits, shares, \
                leases, requests, changes, decisions or costs";
    let read = |w: &str| Show::ALL.into_iter().find(|s| s.as_str() == w);
    word(input, what, read).map(Command::Show)
}

fn explain(input: &mut Input<'_>) -> ModalResult<Command> {
    keyword(input, "explain")?;
    match peek(input)? {
        "request" => {
            keyword(input, "request")?;
            Ok(Command::Explain(Explain::Request(request(input)?)))
        }
        "change" => {
            keyword(input, "change")?;
            let revision = word(input, "a change's number", |w| w.parse().ok())?;
            Ok(Command::Explain(Explain::Change(Revision::new(revision))))
        }
        _ => expected("request or change"),
    }
}

fn change(input: &mut Input<'_>) -> ModalResult<Command> {
    let change = match peek(input)? {
        "create" => create(input)?,
        "set" => set(input)?,
        _ => drop_object(input)?,
    };
    let why = match flag(input, "because")? {
        true => reason(input)?,
        false => CompactString::default(),
    };
    Ok(Command::Change { change, why })
}

fn create(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, "create")?;
    match peek(input)? {
        "pipeline" => create_pipeline(input),
        "customer" => create_customer(input),
        "pool" => create_pool(input),
        _ => expected("pipeline, customer or pool"),
    }
}

fn create_pipeline(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, "pipeline")?;
    let name = name(input, "a name for the pipeline")?;
    keyword(input, "deadline")?;
    let deadline_ms = millis(input)?;
    keyword(input, "stages")?;
    let mut stages = vec![stage(input)?];
    while comma(input)? {
        stages.push(stage(input)?);
    }
    let deferrable = flag(input, "deferrable")?;
    Ok(Change::CreatePipeline {
        name,
        spec: Pipeline {
            deadline_ms,
            stages,
            deferrable,
        },
    })
}

fn stage(input: &mut Input<'_>) -> ModalResult<Stage> {
    let what = "a stage such as encode@pool; kinds are encode, retrieve, rerank, generate and call";
    let (kind, pool) = word(input, what, |w| {
        let (kind, pool) = w.split_once('@')?;
        let pool = jd_types::Name::try_from(pool).ok()?;
        Some((StageKind::from_name(kind)?, pool))
    })?;
    let once = flag(input, "once")?;
    Ok(Stage {
        kind,
        pool,
        idempotent: !once,
    })
}

fn create_customer(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, "customer")?;
    let name = name(input, "a name for the customer")?;
    keyword(input, "credential")?;
    let credential = word(input, "a credential of at least 8 characters", |w| {
        (w.len() >= 8).then(|| CredentialDigest::of(w))
    })?;
    keyword(input, "limit")?;
    let limit = number(input, "a number of requests in flight")?;
    let weight = match flag(input, "weight")? {
        true => number(input, "a weight")?,
        false => DEFAULT_WEIGHT,
    };
    let priority = match flag(input, "priority")? {
        true => priority(input)?,
        false => Priority::Normal,
    };
    Ok(Change::CreateCustomer {
        name,
        spec: Customer {
            credential,
            limit,
            weight,
            priority,
        },
    })
}

fn create_pool(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, "pool")?;
    let pool = name(input, "a name for the pool")?;
    keyword(input, "slots")?;
    let slots = number(input, "a number of slots of one upstream")?;
    let model = match flag(input, "model")? {
        true => Some(name(input, "a model's name")?),
        false => None,
    };
    let checks_fencing = flag(input, "fenced")?;
    let lookup = flag(input, "lookup")?;
    Ok(Change::CreatePool {
        name: pool,
        spec: Pool {
            slots,
            model,
            checks_fencing,
            lookup,
        },
    })
}

fn set(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, "set")?;
    match peek(input)? {
        "pipeline" => {
            keyword(input, "pipeline")?;
            let name = name(input, "a pipeline's name")?;
            keyword(input, "deadline")?;
            Ok(Change::SetDeadline {
                name,
                deadline_ms: millis(input)?,
            })
        }
        "customer" => set_customer(input),
        "pool" => {
            keyword(input, "pool")?;
            let name = name(input, "a pool's name")?;
            keyword(input, "slots")?;
            Ok(Change::SetSlots {
                name,
                slots: number(input, "a number of slots")?,
            })
        }
        "model" => {
            keyword(input, "model")?;
            let name = name(input, "a model's name")?;
            keyword(input, "version")?;
            Ok(Change::SetVersion {
                name,
                version: number(input, "a version's number")?,
            })
        }
        _ => expected("pipeline, customer, pool or model"),
    }
}

fn set_customer(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, "customer")?;
    let name = name(input, "a customer's name")?;
    match peek(input)? {
        "limit" => {
            keyword(input, "limit")?;
            Ok(Change::SetLimit {
                name,
                limit: number(input, "a number of requests in flight")?,
            })
        }
        "weight" => {
            keyword(input, "weight")?;
            Ok(Change::SetWeight {
                name,
                weight: number(input, "a weight")?,
            })
        }
        "priority" => {
            keyword(input, "priority")?;
            Ok(Change::SetPriority {
                name,
                priority: priority(input)?,
            })
        }
        _ => expected("limit, weight or priority"),
    }
}

fn drop_object(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, "drop")?;
    match peek(input)? {
        "pipeline" => {
            keyword(input, "pipeline")?;
            Ok(Change::DropPipeline {
                name: name(input, "a pipeline's name")?,
            })
        }
        "customer" => {
            keyword(input, "customer")?;
            Ok(Change::DropCustomer {
                name: name(input, "a customer's name")?,
            })
        }
        "pool" => {
            keyword(input, "pool")?;
            Ok(Change::DropPool {
                name: name(input, "a pool's name")?,
            })
        }
        _ => expected("pipeline, customer or pool"),
    }
}

fn comma(input: &mut Input<'_>) -> ModalResult<bool> {
    multispace0.parse_next(input)?;
    let there = input.starts_with(',');
    if there {
        *input = input.trim_start_matches(',');
    }
    Ok(there)
}

fn reason(input: &mut Input<'_>) -> ModalResult<CompactString> {
    multispace0.parse_next(input)?;
    let quoted = input.strip_prefix('"');
    match quoted {
        Some(after) => {
            *input = after;
            let text = take_till(0.., '"').parse_next(input)?;
            match input.strip_prefix('"') {
                Some(after) => *input = after,
                None => return expected("a closing quotation mark"),
            }
            Ok(CompactString::from(text))
        }
        None if input.is_empty() => expected("a reason"),
        None => rest
            .map(|t: &str| CompactString::from(t.trim_end()))
            .parse_next(input),
    }
}
