//! The configuration in a form that requests look up quickly.

use std::collections::HashMap;
use std::time::Duration;

use crate::Config;
use crate::CredentialDigest;
use crate::CustomerKey;
use crate::Name;
use crate::PipelineKey;
use crate::PoolKey;
use crate::Priority;
use crate::Revision;
use crate::StageKind;

/// A stage with its pool name resolved to a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompiledStage {
    /// The kind of work that the stage does.
    pub kind: StageKind,
    /// The pool whose upstreams run the stage.
    pub pool: PoolKey,
    /// False if the stage must not run twice for a request.
    pub idempotent: bool,
    /// True if the pool's upstreams can report whether a request with a given
    /// idempotency key has run.
    pub lookup: bool,
}

/// A pipeline with its pool names resolved to keys.
#[derive(Debug, Clone)]
pub struct CompiledPipeline {
    /// The pipeline's name.
    pub name: Name,
    /// The longest time that a request may take.
    pub deadline: Duration,
    /// The stages in order of execution.
    pub stages: Vec<CompiledStage>,
    /// True if the work may be acknowledged first and run later.
    pub deferrable: bool,
    /// True if a request needs an idempotency key.
    pub needs_key: bool,
}

/// The parts of a customer's configuration that admission uses.
#[derive(Debug, Clone)]
pub struct CompiledCustomer {
    /// The customer's name.
    pub name: Name,
    /// The maximum number of requests in flight over all instances together.
    pub limit: u32,
    /// The customer's share of a contended pool, relative to other customers' weights.
    pub weight: u32,
    /// The most urgent priority that the customer may use.
    pub priority: Priority,
}

/// The parts of a pool's configuration that routing uses.
#[derive(Debug, Clone)]
pub struct CompiledPool {
    /// The pool's name.
    pub name: Name,
    /// The number of requests that one upstream works on at a time.
    pub slots: u32,
}

/// The configuration in a form that requests look up quickly: arenas indexed by
/// small keys, built once for each revision and read-only afterwards.
#[derive(Debug, Clone, Default)]
pub struct CompiledConfig {
    /// The revision of the configuration that this was built from.
    pub revision: Revision,
    /// Pipelines, indexed by [`PipelineKey`].
    pub pipelines: Vec<CompiledPipeline>,
    /// Customers, indexed by [`CustomerKey`].
    pub customers: Vec<CompiledCustomer>,
    /// Pools, indexed by [`PoolKey`].
    pub pools: Vec<CompiledPool>,
    pipeline_keys: HashMap<Name, PipelineKey>,
    pool_keys: HashMap<Name, PoolKey>,
    customer_keys: HashMap<Name, CustomerKey>,
    credentials: HashMap<CredentialDigest, CustomerKey>,
}

impl CompiledConfig {
    /// The key of the pipeline called `name`.
    pub fn pipeline(&self, name: &str) -> Option<PipelineKey> {
        let name = Name::try_from(name).ok()?;
        self.pipeline_keys.get(&name).copied()
    }

    /// The key of the pool called `name`.
    pub fn pool(&self, name: &Name) -> Option<PoolKey> {
        self.pool_keys.get(name).copied()
    }

    /// The key of the customer called `name`.
    pub fn customer(&self, name: &Name) -> Option<CustomerKey> {
        self.customer_keys.get(name).copied()
    }

    /// The key of the customer that `credential` belongs to.
    pub fn authenticate(&self, credential: &str) -> Option<CustomerKey> {
        self.credentials
            .get(&CredentialDigest::of(credential))
            .copied()
    }

    fn stages_of(&self, cfg: &Config, pipeline: &crate::Pipeline) -> Vec<CompiledStage> {
        let compile = |stage: &crate::Stage| {
            let pool = self.pool_keys.get(&stage.pool).copied()?;
            let lookup = cfg.pools.get(&stage.pool).is_some_and(|p| p.lookup);
            Some(CompiledStage {
                kind: stage.kind,
                pool,
                idempotent: stage.idempotent,
                lookup,
            })
        };
        pipeline.stages.iter().filter_map(compile).collect()
    }
}

impl From<&Config> for CompiledConfig {
    fn from(cfg: &Config) -> CompiledConfig {
        let mut out = CompiledConfig {
            revision: cfg.revision,
            ..CompiledConfig::default()
        };
        for (i, (name, pool)) in (0..).zip(&cfg.pools) {
            out.pool_keys.insert(name.clone(), PoolKey::from_index(i));
            out.pools.push(CompiledPool {
                name: name.clone(),
                slots: pool.slots,
            });
        }
        for (i, (name, c)) in (0..).zip(&cfg.customers) {
            let key = CustomerKey::from_index(i);
            out.customer_keys.insert(name.clone(), key);
            out.credentials.insert(c.credential.clone(), key);
            out.customers.push(CompiledCustomer {
                name: name.clone(),
                limit: c.limit,
                weight: c.weight,
                priority: c.priority,
            });
        }
        for (i, (name, p)) in (0..).zip(&cfg.pipelines) {
            out.pipeline_keys
                .insert(name.clone(), PipelineKey::from_index(i));
            let stages = out.stages_of(cfg, p);
            out.pipelines.push(CompiledPipeline {
                name: name.clone(),
                deadline: p.deadline(),
                stages,
                deferrable: p.deferrable,
                needs_key: p.needs_key(),
            });
        }
        out
    }
}
