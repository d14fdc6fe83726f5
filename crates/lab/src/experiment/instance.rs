//! One instance's real decisions.

use std::sync::Arc;
use std::time::Duration;

use jd_coord::LoanBook;
use jd_policy::AdmissionQueue;
use jd_policy::LatencyEstimate;
use jd_policy::PipelineRun;
use jd_policy::PoolTable;
use jd_policy::RetryBudget;
use jd_policy::StageTiming;
use jd_policy::Upstream;
use jd_standins::Deployment;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Ppm;

use crate::experiment::Variant;
use crate::experiment::world::INSTANCES;

/// Tickets that may wait for one pool.
const MAX_QUEUE: usize = 512;
/// Retries that may be made at once after a quiet time.
const RETRY_BURST: u32 = 20;
/// Slots of a gate that is not to hold anything back.
const UNBOUNDED: u32 = u32::MAX / 2;

/// One pool as one instance sees it.
#[derive(Debug)]
pub(super) struct PoolView {
    pub(super) gate: AdmissionQueue,
    pub(super) table: PoolTable,
    pub(super) estimate: LatencyEstimate,
    pub(super) budget: RetryBudget,
    pub(super) limit: String,
}

/// One instance.
#[derive(Debug)]
pub(super) struct Instance {
    pub(super) me: Incarnation,
    pub(super) hall: Name,
    pub(super) pools: Vec<PoolView>,
    pub(super) loans: LoanBook,
}

impl Instance {
    pub(super) fn new(
        deployment: &Deployment,
        number: usize,
        variant: Variant,
    ) -> Option<Instance> {
        let hall = Name::try_from(deployment.halls[number % deployment.halls.len()]).ok()?;
        let mut loans = LoanBook::default();
        let mut pools = Vec::new();
        let mut first = 0;
        for pool in deployment.pools {
            let limit = format!("pool/{}", pool.name);
            let upstreams: Option<Vec<Arc<Upstream>>> = (0..pool.count)
                .map(|i| upstream(deployment, first + i, i))
                .collect();
            first += pool.count;
            let table = PoolTable::new(upstreams?, pool.slots, &hall);
            loans.set_limit(&limit, table.max_in_flight());
            pools.push(PoolView {
                gate: AdmissionQueue::new(variant.gate(), 0, MAX_QUEUE),
                table,
                estimate: LatencyEstimate::with_initial(Duration::from_millis(20)),
                budget: RetryBudget::new(variant.retry_percent(), RETRY_BURST),
                limit,
            });
        }
        let me = Incarnation::new(number as u64 + 1);
        let mut instance = Instance {
            me,
            hall,
            pools,
            loans,
        };
        instance.set_capacities(MonoTime::ZERO, variant);
        Some(instance)
    }

    /// This instance's own part of every limit.
    pub(super) fn base() -> Ppm {
        Ppm::new(Ppm::WHOLE.get() / INSTANCES as u32)
    }

    /// Sets the gates to what this instance may use now.
    pub(super) fn set_capacities(&mut self, now: MonoTime, variant: Variant) {
        /// The longest deadline, and a step of time.
        const HORIZON: Duration = Duration::from_millis(3_200);
        for pool in &mut self.pools {
            let in_use = pool.gate.in_use();
            self.loans.set_in_use(&pool.limit, in_use);
            self.loans
                .set_queued(&pool.limit, pool.gate.queue_len() as u32);
            let usable = self
                .loans
                .usable(now, Instance::base(), &pool.limit, now + HORIZON);
            pool.gate.set_capacity(if variant.has_gates() {
                usable
            } else {
                UNBOUNDED
            });
        }
    }

    pub(super) fn timing(&self, pool: usize) -> StageTiming {
        let estimate = &self.pools[pool].estimate;
        StageTiming {
            mean: estimate.mean(),
            timeout: estimate.mean_plus_deviations(PipelineRun::TIMEOUT_DEVIATIONS),
        }
    }
}

/// Upstream `number` of all, the `i`th of its pool. Its port is its number, so
/// that a choice leads back to its server.
fn upstream(deployment: &Deployment, number: usize, i: usize) -> Option<Arc<Upstream>> {
    let hall = Name::try_from(deployment.halls[i % deployment.halls.len()]).ok()?;
    let port = u16::try_from(number + 1).ok()?;
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    Some(Arc::new(Upstream::new(address, hall, MonoTime::ZERO)))
}
