//! Answers to what operators ask.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_coord::Member;
use jd_lang::Explain;
use jd_lang::Show;
use jd_net::lock;
use jd_types::ChangeRecord;
use jd_types::Config;
use jd_types::RequestId;
use jd_types::Revision;

use crate::proposals::describe;
use crate::query_reply::QueryReply;
use crate::shared::Shared;

/// Rows of what has no end.
const NEWEST: usize = 50;

/// Answers `show`.
pub(crate) fn show(shared: &Arc<Shared>, what: Show) -> QueryReply {
    let config = || lock(&shared.replica).config().clone();
    match what {
        Show::Pipelines => pipelines(&config()),
        Show::Customers => customers(&config()),
        Show::Pools => pools(&config()),
        Show::Models => models(&config()),
        Show::Upstreams => upstreams(shared),
        Show::Instances => instances(shared),
        Show::Limits => limits(shared),
        Show::Shares => shares(shared),
        Show::Leases => leases(shared),
        Show::Requests => requests(shared),
        Show::Changes => changes(shared),
        Show::Decisions => decisions(shared),
        Show::Costs => costs(shared),
    }
}

/// Answers `explain`.
pub(crate) async fn explain(shared: &Arc<Shared>, what: Explain) -> QueryReply {
    match what {
        Explain::Request(request) => explain_request(shared, request),
        Explain::Change(revision) => explain_change(shared, revision).await,
    }
}

fn explain_request(shared: &Shared, request: RequestId) -> QueryReply {
    if request.entry != shared.me {
        let known = lock(&shared.members).get(request.entry).map(|m| m.callers);
        let message = match known {
            Some(address) => format!("ask the instance at {address}, which took the request"),
            None => {
                "the instance that took the request is gone; its logs have the decisions".into()
            }
        };
        return QueryReply::say(false, message);
    }
    let mut reply = QueryReply::table(&["at", "decision", "why"]);
    for d in lock(&shared.decisions).of(request) {
        reply.row([d.at.to_compact_string(), d.what.into(), d.why.clone()]);
    }
    if reply.rows.is_empty() {
        let message = "no decisions are kept on that request; its log lines have them";
        return QueryReply::say(false, message);
    }
    reply
}

async fn explain_change(shared: &Shared, revision: Revision) -> QueryReply {
    let kept = lock(&shared.replica)
        .records()
        .find(|r| r.revision == revision)
        .cloned();
    let record = match kept {
        Some(record) => Ok(Some(record)),
        None => read_change(shared, revision).await,
    };
    match record {
        Ok(Some(record)) => change_table(&record),
        Ok(None) => QueryReply::say(false, format!("there is no change {revision}")),
        Err(why) => QueryReply::say(false, why),
    }
}

async fn read_change(shared: &Shared, revision: Revision) -> Result<Option<ChangeRecord>, String> {
    match shared
        .call(KvRequest::Get {
            key: KvKey::log(revision),
        })
        .await
    {
        Ok(KvReply::Found { entry: Some(e) }) => match serde_json::from_str(&e.value) {
            Ok(record) => Ok(Some(record)),
            Err(_) => Err(format!("{} is not a change record; repair it", e.key)),
        },
        Ok(_) => Ok(None),
        Err(e) => Err(format!(
            "the change is older than what is kept here, and: {e}"
        )),
    }
}

fn change_table(r: &ChangeRecord) -> QueryReply {
    let mut reply = QueryReply::table(&["what", "value"]);
    let object = r.change.object();
    let pairs = [
        ("change", r.revision.to_compact_string()),
        ("id", r.id.to_compact_string()),
        ("who", r.who.clone()),
        ("when", r.when.to_compact_string()),
        ("why", r.why.clone()),
        ("object", object.to_compact_string()),
        ("from", r.from.clone()),
        ("to", r.to.clone()),
    ];
    for (what, value) in pairs {
        reply.row([what.into(), value]);
    }
    reply
}

fn pipelines(config: &Config) -> QueryReply {
    let mut reply = QueryReply::table(&["pipeline", "definition"]);
    for (name, p) in &config.pipelines {
        reply.row([name.to_compact_string(), p.to_compact_string()]);
    }
    reply
}

fn customers(config: &Config) -> QueryReply {
    let mut reply = QueryReply::table(&["customer", "limit", "weight", "priority"]);
    for (name, c) in &config.customers {
        reply.row([
            name.to_compact_string(),
            c.limit.to_compact_string(),
            c.weight.to_compact_string(),
            c.priority.to_compact_string(),
        ]);
    }
    reply
}

fn pools(config: &Config) -> QueryReply {
    let mut reply = QueryReply::table(&["pool", "properties"]);
    for (name, p) in &config.pools {
        reply.row([name.to_compact_string(), p.to_compact_string()]);
    }
    reply
}

fn models(config: &Config) -> QueryReply {
    let mut reply = QueryReply::table(&["model", "version"]);
    for (name, m) in &config.models {
        reply.row([name.to_compact_string(), m.version.to_compact_string()]);
    }
    reply
}

fn upstreams(shared: &Shared) -> QueryReply {
    let columns = ["pool", "upstream", "hall", "state", "in-flight", "mean-ms"];
    let mut reply = QueryReply::table(&columns);
    let now = shared.now();
    let snapshot = shared.snapshot.load();
    for (pool, table) in snapshot.pools.iter().zip(&snapshot.tables) {
        for u in table.upstreams() {
            let state = match (u.is_leaving(), u.is_ejected(now)) {
                (true, _) => "leaving",
                (false, true) => "ejected",
                (false, false) => "live",
            };
            reply.row([
                pool.name.to_compact_string(),
                u.address.to_compact_string(),
                u.zone.to_compact_string(),
                state.into(),
                u.in_flight().to_compact_string(),
                format_compact!("{:.1}", u.latency().as_secs_f64() * 1_000.0),
            ]);
        }
    }
    reply
}

fn instances(shared: &Shared) -> QueryReply {
    let columns = [
        "instance",
        "hall",
        "callers",
        "state",
        "revision",
        "in-flight",
        "silent-ms",
    ];
    let mut reply = QueryReply::table(&columns);
    let now = shared.now();
    let members = lock(&shared.members);
    let mut add = |m: &Member, silent: CompactString| {
        reply.row([
            m.incarnation.to_compact_string(),
            m.hall.to_compact_string(),
            m.callers.to_compact_string(),
            m.state.to_compact_string(),
            m.revision.to_compact_string(),
            m.in_flight.to_compact_string(),
            silent,
        ]);
    };
    add(members.me(), "-".into());
    for m in members.others() {
        let silent = members.silence(now, m.incarnation).unwrap_or_default();
        add(m, silent.as_millis().to_compact_string());
    }
    reply
}

fn limits(shared: &Shared) -> QueryReply {
    let columns = [
        "limit",
        "total",
        "usable-here",
        "in-use-here",
        "waiting-here",
        "lent",
        "borrowed",
    ];
    let mut reply = QueryReply::table(&columns);
    let uses = lock(&shared.loans).uses(shared.now(), shared.base());
    for u in uses {
        reply.row([
            u.name,
            u.limit.to_compact_string(),
            u.usable.to_compact_string(),
            u.in_use.to_compact_string(),
            u.queued.to_compact_string(),
            u.lent.to_compact_string(),
            u.borrowed.to_compact_string(),
        ]);
    }
    reply
}

fn shares(shared: &Shared) -> QueryReply {
    let mut reply = QueryReply::table(&["instance", "part", "suspected"]);
    if let Some(map) = lock(&shared.shares).map() {
        for (who, e) in map.owners() {
            let suspected = if e.suspected { "yes" } else { "no" };
            reply.row([
                who.to_compact_string(),
                e.part.to_compact_string(),
                suspected.into(),
            ]);
        }
    }
    reply
}

fn leases(shared: &Shared) -> QueryReply {
    let mut reply = QueryReply::table(&["duty", "held-here", "token"]);
    let now = shared.now();
    for duty in lock(&shared.duties).iter() {
        let (held, token) = match duty.may_act(now) {
            Some(t) => ("yes", t.0.to_compact_string()),
            None => ("no", "-".into()),
        };
        reply.row([duty.name().into(), held.into(), token]);
    }
    reply
}

fn requests(shared: &Shared) -> QueryReply {
    let mut reply = QueryReply::table(&["pool", "slots-here", "in-use", "waiting"]);
    let snapshot = shared.snapshot.load();
    for pool in &snapshot.pools {
        let (in_use, waiting) = pool.demand();
        reply.row([
            pool.name.to_compact_string(),
            pool.capacity().to_compact_string(),
            in_use.to_compact_string(),
            waiting.to_compact_string(),
        ]);
    }
    let in_flight = shared.in_flight.load(Ordering::Relaxed);
    reply.message = format!("{in_flight} requests in progress here");
    reply
}

fn changes(shared: &Shared) -> QueryReply {
    let mut reply = QueryReply::table(&["change", "description"]);
    for r in lock(&shared.replica).records().rev().take(NEWEST) {
        reply.row([r.revision.to_compact_string(), describe(r)]);
    }
    reply
}

fn decisions(shared: &Shared) -> QueryReply {
    let mut reply = QueryReply::table(&["at", "request", "decision", "why"]);
    for d in lock(&shared.decisions).newest().take(NEWEST) {
        let request = d.request.to_compact_string();
        reply.row([
            d.at.to_compact_string(),
            request,
            d.what.into(),
            d.why.clone(),
        ]);
    }
    reply
}

fn costs(shared: &Shared) -> QueryReply {
    let columns = [
        "customer",
        "pipeline",
        "stage",
        "attempts",
        "units",
        "wasted-units",
        "ms",
        "wasted-ms",
    ];
    let mut reply = QueryReply::table(&columns);
    let ledger = lock(&shared.ledger);
    for (key, cell) in ledger.totals_by_key() {
        reply.row([
            key.customer.to_compact_string(),
            key.pipeline.to_compact_string(),
            (key.stage + 1).to_compact_string(),
            cell.attempts.to_compact_string(),
            cell.used_units.to_compact_string(),
            cell.wasted_units.to_compact_string(),
            (cell.used_us / 1_000).to_compact_string(),
            (cell.wasted_us / 1_000).to_compact_string(),
        ]);
    }
    let total = ledger.grand_total();
    reply.message = format!(
        "in all {} attempts, {} units used, {} units wasted",
        total.attempts, total.used_units, total.wasted_units
    );
    reply
}
