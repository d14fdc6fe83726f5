//! Runs a demo.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as MapEntry;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use compact_str::ToCompactString;
use jd_net::lock;
use jd_policy::CostTotals;
use jd_types::Incarnation;

use crate::DemoError;
use crate::DemoOptions;
use crate::Fault;
use crate::Report;
use crate::bites::bites;
use crate::callers::Callers;
use crate::checks;
use crate::injector::Injector;
use crate::operators;
use crate::report::AttainedRow;
use crate::report::CostRow;
use crate::report::CountRow;
use crate::report::Latency;
use crate::tally::Attained;
use crate::tally::Tally;
use crate::world::ENTRIES;
use crate::world::World;

/// How long calls may take to end, and deferred work to be done, once callers
/// have stopped.
const SETTLE_WITHIN: Duration = Duration::from_secs(15);
/// How often that is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How often progress is printed.
const PROGRESS_EVERY: Duration = Duration::from_secs(1);
/// How long limits may take to spread over the instances before calls begin.
const SPREAD: Duration = Duration::from_secs(3);

/// Runs a demo to its end.
///
/// # Errors
///
/// If the system could not be started or set up. Broken promises are not an
/// error but stand in the report.
pub async fn run(options: DemoOptions) -> Result<Report, DemoError> {
    let world = Arc::new(World::start(options.deployment, ENTRIES)?);
    world.ready().await?;
    operators::set_up(&world).await?;
    Timer::after(SPREAD).await;
    let tally = Arc::new(Tally::new().ok_or(DemoError::NotReady)?);
    let began = world.clock.now();
    let until = began + options.time;
    let callers = Arc::new(Callers::new(&world, &tally));
    let race = options.faults.contains(&Fault::OperatorRace);
    let s = || (Arc::clone(&world), Arc::clone(&tally));
    let (w, t) = s();
    let changing = world
        .workers
        .spawn(operators::keep_changing(w, t, until, race));
    let (w, t) = s();
    let sampling = world
        .workers
        .spawn(operators::sample_revisions(w, t, until));
    let (w, t) = s();
    let following = world.workers.spawn(checks::follow_changes(w, t, until));
    let injecting: Vec<_> = options
        .faults
        .iter()
        .map(|fault| {
            let injector = Injector {
                world: Arc::clone(&world),
                callers: Arc::clone(&callers),
                tally: Arc::clone(&tally),
                after: options.time / 5,
                lasts: options.time * 2 / 5,
            };
            (*fault, world.workers.spawn(injector.carry_out(*fault)))
        })
        .collect();
    let (w, t) = s();
    let progress = world.workers.spawn(report_progress(w, t, options.progress));
    Arc::clone(&callers)
        .call_until(until, options.rate, options.seed)
        .await;
    let mut own = Vec::new();
    for (fault, injection) in injecting {
        own.push((fault, injection.await));
    }
    changing.await;
    sampling.await;
    let late = following.await;
    settle(&world, &tally).await;
    progress.cancel().await;
    Ok(report(&world, &tally, &options, &own, late))
}

async fn report_progress(world: Arc<World>, tally: Arc<Tally>, print: bool) {
    if !print {
        return;
    }
    loop {
        Timer::after(PROGRESS_EVERY).await;
        let c = tally.counts();
        let running = world.nodes().iter().filter(|n| n.is_running()).count();
        eprintln!(
            "{} calls, {} answered, {} accepted, {} refused, {} in progress, {running} instances",
            c.issued,
            c.answered,
            c.accepted,
            c.refused,
            c.issued - c.ended
        );
    }
}

async fn settle(world: &World, tally: &Tally) {
    let until = world.clock.now() + SETTLE_WITHIN;
    while world.clock.now() < until {
        let c = tally.counts();
        if c.issued == c.ended && checks::lost(world, tally) == 0 {
            return;
        }
        Timer::after(LOOK_EVERY).await;
    }
}

fn report(
    world: &World,
    tally: &Tally,
    options: &DemoOptions,
    own: &[(Fault, u64)],
    late_changes: u64,
) -> Report {
    let counts = tally.counts();
    let pipelines = rows(&lock(&tally.by_pipeline));
    let in_time: u64 = lock(&tally.by_pipeline).values().map(|a| a.in_time).sum();
    let faults = own.iter().map(|(fault, count)| CountRow {
        name: CompactString::const_new(fault.as_str()),
        count: bites(world, tally, *fault, *count),
    });
    let refusals = lock(&tally.refusals);
    let refusals = refusals.iter().map(|(name, count)| CountRow {
        name: name.clone(),
        count: *count,
    });
    Report {
        deployment: CompactString::const_new(world.deployment.name),
        seed: options.seed,
        calls: counts.issued,
        attainment: percent(in_time, counts.issued),
        pipelines,
        customers: rows(&lock(&tally.by_customer)),
        costs: costs(world),
        refusals: refusals.collect(),
        events: events(world, tally),
        latency: latency(tally),
        faults: faults.collect(),
        checks: checks::all(world, tally, &options.faults, late_changes),
    }
}

fn rows(map: &BTreeMap<&'static str, Attained>) -> Vec<AttainedRow> {
    let row = |(name, a): (&&'static str, &Attained)| AttainedRow {
        name: CompactString::const_new(name),
        calls: a.calls,
        percent: percent(a.in_time, a.calls),
    };
    map.iter().map(row).collect()
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

fn latency(tally: &Tally) -> Latency {
    let h = lock(&tally.latency);
    let ms = |us: u64| us as f64 / 1_000.0;
    Latency {
        p50: ms(h.value_at_quantile(0.50)),
        p95: ms(h.value_at_quantile(0.95)),
        p99: ms(h.value_at_quantile(0.99)),
        max: ms(h.max()),
    }
}

/// Cost of every pipeline's stages, from the ledgers of the instances.
fn costs(world: &World) -> Vec<CostRow> {
    let mut sums: BTreeMap<(CompactString, u8), CostTotals> = BTreeMap::new();
    let mut seen: Vec<Incarnation> = Vec::new();
    for node in world.nodes() {
        if seen.contains(&node.entry.incarnation()) {
            continue;
        }
        seen.push(node.entry.incarnation());
        for (key, cell) in node.entry.costs() {
            match sums.entry((key.pipeline.to_compact_string(), key.stage)) {
                MapEntry::Vacant(slot) => {
                    slot.insert(cell);
                }
                MapEntry::Occupied(mut slot) => slot.get_mut().merge(cell),
            }
        }
    }
    let row = |((pipeline, stage), c): ((CompactString, u8), CostTotals)| CostRow {
        pipeline,
        stage: stage + 1,
        attempts: c.attempts,
        used_units: c.used_units,
        wasted_units: c.wasted_units,
        used_ms: c.used_us / 1_000,
        wasted_ms: c.wasted_us / 1_000,
    };
    sums.into_iter().map(row).collect()
}

fn events(world: &World, tally: &Tally) -> Vec<CountRow> {
    let c = tally.counts();
    let (kv_calls, kv_writes) = world.platform.with_kv(|kv| (kv.calls(), kv.writes()));
    let pairs = [
        ("answered", c.answered),
        ("accepted for later", c.accepted),
        ("refused", c.refused),
        ("without an answer", c.unknown),
        ("unreached", c.unreached),
        ("sent again by callers", c.resent),
        ("connections of callers broken", c.broken),
        ("changes in force", lock(&tally.accepted).len() as u64),
        ("changes lost to another operator", c.changes_lost),
        ("changes of unknown fate", c.changes_unknown),
        ("changes refused", c.changes_refused),
        ("changes without an answer", c.changes_unanswered),
        ("calls to the key-value service", kv_calls),
        ("writes to the key-value service", kv_writes),
        ("attempts at upstreams", world.witness.report().attempts),
    ];
    pairs
        .map(|(name, count)| CountRow {
            name: CompactString::const_new(name),
            count,
        })
        .into()
}
