//! Operators in a demo.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use http::Method;
use http::Request;
use jd_entry::QueryReply;
use jd_net::lock;
use jd_net::with_timeout;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Revision;

use crate::DemoError;
use crate::tally::Tally;
use crate::world::OPERATORS;
use crate::world::World;

/// How long a command may take, its way into force included.
const COMMAND_WITHIN: Duration = Duration::from_secs(12);
/// The largest reply, in bytes.
const MAX_REPLY: usize = 4 << 20;
/// Pause between two changes of an operator.
const CHANGE_EVERY: Duration = Duration::from_millis(700);
/// How often revisions are sampled.
const SAMPLE_EVERY: Duration = Duration::from_millis(100);

/// Sends one line to one instance; none if no answer came.
pub(crate) async fn operate(
    world: &World,
    address: SocketAddr,
    credential: &str,
    line: &str,
) -> Option<QueryReply> {
    let req = Request::builder()
        .method(Method::POST)
        .uri("/v1/operate")
        .header("host", "jacinthdeal")
        .header("authorization", format!("Bearer {credential}"))
        .body(jd_net::full(line.to_owned()))
        .ok()?;
    let asking = async {
        let res = world
            .http
            .send(address, req, COMMAND_WITHIN, false)
            .await?
            .ok()?;
        let bytes = res.read_all(MAX_REPLY).await.ok()?;
        serde_json::from_slice(&bytes).ok()
    };
    with_timeout(COMMAND_WITHIN, asking).await.flatten()
}

/// Brings the deployment into force.
pub(crate) async fn set_up(world: &World) -> Result<(), DemoError> {
    let nodes = world.nodes();
    let (_, credential) = OPERATORS[0];
    for (i, line) in world.deployment.commands().iter().enumerate() {
        let address = nodes[i % nodes.len()].entry.operators();
        let reply = operate(world, address, credential, line).await;
        match reply {
            Some(reply) if reply.ok => {}
            other => {
                let said = other.map(|r| CompactString::from(r.message));
                let message = said.unwrap_or_else(|| CompactString::const_new("no answer"));
                let line = CompactString::from(line.as_str());
                return Err(DemoError::Command { line, message });
            }
        }
    }
    Ok(())
}

/// A change that an operator was told is in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Accepted {
    pub(crate) revision: Revision,
    pub(crate) at: MonoTime,
}

/// Changes one customer's weight again and again. With `race`, both operators
/// change the same one at the same time, through different instances.
pub(crate) async fn keep_changing(
    world: Arc<World>,
    tally: Arc<Tally>,
    until: MonoTime,
    race: bool,
) {
    let customer = world.deployment.customers[4].0;
    let mut weight = 1;
    while world.clock.now() < until {
        weight = weight % 9 + 1;
        let line = format!("set customer {customer} weight {weight} because \"demo\"");
        let other = format!(
            "set customer {customer} weight {} because \"race\"",
            weight + 20
        );
        let first = change(&world, &tally, 0, &line);
        if race {
            let second = change(&world, &tally, 1, &other);
            futures_lite::future::zip(first, second).await;
        } else {
            first.await;
        }
        Timer::after(CHANGE_EVERY).await;
    }
}

async fn change(world: &World, tally: &Tally, operator: usize, line: &str) {
    let nodes = world.nodes();
    let Some(node) = nodes.get((operator * 4 + 1) % nodes.len().max(1)) else {
        return;
    };
    let (_, credential) = OPERATORS[operator];
    let reply = operate(world, node.entry.operators(), credential, line).await;
    let at = world.clock.now();
    match reply {
        Some(r) if r.ok => match accepted_revision(&r.message) {
            Some(revision) => lock(&tally.accepted).push(Accepted { revision, at }),
            None => lock(&tally.strange).push(r.message),
        },
        Some(r) if r.message.contains("came first") => tally.count(|c| c.changes_lost += 1),
        Some(r) if r.message.starts_with("not known") => tally.count(|c| c.changes_unknown += 1),
        Some(_) => tally.count(|c| c.changes_refused += 1),
        None => tally.count(|c| c.changes_unanswered += 1),
    }
}

fn accepted_revision(message: &str) -> Option<Revision> {
    let number = message.strip_prefix("change ")?.split(' ').next()?;
    number.parse().ok().map(Revision::new)
}

/// Samples every instance's revision: it must never fall.
pub(crate) async fn sample_revisions(world: Arc<World>, tally: Arc<Tally>, until: MonoTime) {
    let mut highest: std::collections::HashMap<Incarnation, Revision> = Default::default();
    while world.clock.now() < until {
        for node in world.nodes() {
            let now = node.entry.revision();
            let before = highest.entry(node.entry.incarnation()).or_insert(now);
            if now < *before {
                tally.count(|c| c.reverted += 1);
            }
            *before = now.max(*before);
        }
        Timer::after(SAMPLE_EVERY).await;
    }
}
