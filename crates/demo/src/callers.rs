//! Callers with a deployment's mix of work.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use compact_str::format_compact;
use fastrand::Rng;
use jd_client::Call;
use jd_client::CallReport;
use jd_client::Client;
use jd_client::ClientConfig;
use jd_client::Outcome;
use jd_net::lock;
use jd_standins::Deployment;
use jd_standins::DeploymentPipeline;
use jd_standins::expected_output;
use jd_types::MonoTime;

use crate::tally::Deferred;
use crate::tally::KeyedEnd;
use crate::tally::Tally;
use crate::world::World;

/// Clients of each customer.
const CLIENTS: usize = 4;

/// Callers of every customer.
#[derive(Debug)]
pub(crate) struct Callers {
    world: Arc<World>,
    tally: Arc<Tally>,
    clients: Vec<Vec<Arc<Client>>>,
    /// How many times as much the first customer calls.
    pub(crate) burst: AtomicU32,
}

/// One call, decided by the seed alone.
struct Planned {
    customer: usize,
    client: usize,
    pipeline: DeploymentPipeline,
    body: String,
}

impl Callers {
    pub(crate) fn new(world: &Arc<World>, tally: &Arc<Tally>) -> Callers {
        let seeds = world.caller_addresses();
        let client = |customer: &str, i: usize| {
            let hall = world.deployment.halls[i % world.deployment.halls.len()];
            let config = ClientConfig {
                credential: Deployment::credential(customer),
                hall: Some(hall.to_owned()),
                seeds: seeds.clone(),
            };
            Arc::new(Client::new(&world.workers, world.clock, config))
        };
        let clients = world
            .deployment
            .customers
            .iter()
            .map(|(name, ..)| (0..CLIENTS).map(|i| client(name, i)).collect())
            .collect();
        let (world, tally) = (Arc::clone(world), Arc::clone(tally));
        Callers {
            world,
            tally,
            clients,
            burst: AtomicU32::new(1),
        }
    }

    /// Calls until `until`, at `rate` a second in the mean.
    pub(crate) async fn call_until(self: Arc<Self>, until: MonoTime, rate: u32, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let mut next = self.world.clock.now();
        let mut number = 0;
        while next < until {
            let wait = next.since(self.world.clock.now());
            Timer::after(wait).await;
            let planned = self.plan(&mut rng, number);
            number += 1;
            let repeat = if planned.customer == 0 {
                self.burst.load(Ordering::Relaxed)
            } else {
                1
            };
            for i in 1..repeat {
                let extra = Planned {
                    body: format!("{}-{i}", planned.body),
                    ..planned
                };
                self.start(extra);
            }
            self.start(planned);
            // Arrivals that do not wait for each other: gaps are exponential.
            let gap = -(1.0 - rng.f64()).ln() / f64::from(rate.max(1));
            next = next + Duration::from_secs_f64(gap);
        }
    }

    fn plan(&self, rng: &mut Rng, number: u64) -> Planned {
        let d = &self.world.deployment;
        let customer = draw(rng, &d.customers.map(|(.., percent)| percent));
        let parts: Vec<u32> = d.pipelines.iter().map(|p| p.percent).collect();
        let pipeline = d.pipelines[draw(rng, &parts)];
        let body = format!("{} {number} {:x}", pipeline.name, rng.u64(..));
        Planned {
            customer,
            client: rng.usize(..CLIENTS),
            pipeline,
            body,
        }
    }

    fn start(self: &Arc<Self>, planned: Planned) {
        self.tally.count(|c| c.issued += 1);
        let callers = Arc::clone(self);
        let calling = async move { callers.call(planned).await };
        self.world.workers.spawn(calling).detach();
    }

    async fn call(&self, planned: Planned) {
        let client = &self.clients[planned.customer][planned.client];
        let deadline = planned.pipeline.deadline();
        let call = Call::new(planned.pipeline.name, &planned.body)
            .keyed(planned.pipeline.keyed)
            .stream(planned.pipeline.streamed)
            .deadline(deadline);
        let report = client.call(&call).await;
        self.note(&planned, deadline, &report);
    }

    fn note(&self, planned: &Planned, deadline: Duration, report: &CallReport) {
        let customer = self.world.deployment.customers[planned.customer].0;
        let expected = expected_output(planned.pipeline.kinds, &planned.body);
        let whole =
            matches!(&report.outcome, Outcome::Answered { output, .. } if *output == expected);
        let accepted =
            matches!(&report.outcome, Outcome::Accepted { .. }) && planned.pipeline.deferrable;
        let in_time = (whole || accepted) && report.took <= deadline;
        self.tally
            .attained(planned.pipeline.name, customer, in_time, report.took);
        self.note_keys(customer, report);
        self.tally.count(|c| {
            c.ended += 1;
            c.broken += u64::from(report.broken);
            c.resent += u64::from(report.sends.saturating_sub(1));
            match &report.outcome {
                Outcome::Answered { .. } if whole => c.answered += 1,
                Outcome::Answered { .. } => c.wrong += 1,
                Outcome::Accepted { .. } => c.accepted += 1,
                Outcome::Refused(_) => c.refused += 1,
                Outcome::Unknown => c.unknown += 1,
                Outcome::Unreached => c.unreached += 1,
            }
        });
        match &report.outcome {
            Outcome::Refused(p) => {
                let kind = p.refusal_kind().map_or("other", |k| k.as_str());
                let label = format_compact!("{kind}, {}", p.run);
                *lock(&self.tally.refusals).entry(label).or_insert(0) += 1;
            }
            Outcome::Accepted { request } => {
                let last_stage = u8::try_from(planned.pipeline.kinds.len() - 1).unwrap_or(u8::MAX);
                let deferred = Deferred {
                    request: request.clone(),
                    last_stage,
                };
                lock(&self.tally.deferred).push(deferred);
            }
            _ => {}
        }
    }

    fn note_keys(&self, customer: &str, report: &CallReport) {
        let answered = matches!(report.outcome, Outcome::Answered { .. });
        let count = report.keys.len();
        let ends = report
            .keys
            .iter()
            .enumerate()
            .map(|(i, (key, not_run))| KeyedEnd {
                key: upstream_key(customer, key),
                said_not_run: *not_run,
                answered: answered && i + 1 == count,
            });
        lock(&self.tally.keyed).extend(ends);
    }
}

/// How upstreams get a customer's key.
fn upstream_key(customer: &str, key: &str) -> CompactString {
    format_compact!("{customer}.{key}")
}

fn draw(rng: &mut Rng, parts: &[u32]) -> usize {
    let total: u32 = parts.iter().sum();
    let mut left = rng.u32(..total.max(1));
    for (i, part) in parts.iter().enumerate() {
        match left.checked_sub(*part) {
            Some(rest) => left = rest,
            None => return i,
        }
    }
    0
}
