//! The configuration laid out for the path of a request.

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

/// A stage with its pool looked up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompiledStage {
    /// What the stage does.
    pub kind: StageKind,
    /// The pool that carries it out.
    pub pool: PoolKey,
    /// False if it must not run twice.
    pub idempotent: bool,
    /// True if the pool's upstreams can tell whether a key has run.
    pub lookup: bool,
}

/// A pipeline with its pools looked up.
#[derive(Debug, Clone)]
pub struct CompiledPipeline {
    /// Its name.
    pub name: Name,
    /// The longest a request may take.
    pub deadline: Duration,
    /// Its stages in order.
    pub stages: Vec<CompiledStage>,
    /// True if the answer may wait.
    pub deferrable: bool,
    /// True if a request needs an idempotency key.
    pub needs_key: bool,
}

/// A customer as admission needs it.
#[derive(Debug, Clone)]
pub struct CompiledCustomer {
    /// Its name.
    pub name: Name,
    /// Requests in flight over all instances.
    pub limit: u32,
    /// Part of a contended pool.
    pub weight: u32,
    /// The most urgent priority allowed.
    pub priority: Priority,
}

/// A pool as routing needs it.
#[derive(Debug, Clone)]
pub struct CompiledPool {
    /// Its name.
    pub name: Name,
    /// Requests at a time for one upstream.
    pub slots: u32,
}

/// The configuration laid out for the path of a request: arenas with small
/// keys, made once for each revision and then only read.
#[derive(Debug, Clone, Default)]
pub struct CompiledConfig {
    /// The revision that this was made from.
    pub revision: Revision,
    /// Pipelines, by [`PipelineKey`].
    pub pipelines: Vec<CompiledPipeline>,
    /// Customers, by [`CustomerKey`].
    pub customers: Vec<CompiledCustomer>,
    /// Pools, by [`PoolKey`].
    pub pools: Vec<CompiledPool>,
    pipeline_keys: HashMap<Name, PipelineKey>,
    pool_keys: HashMap<Name, PoolKey>,
    customer_keys: HashMap<Name, CustomerKey>,
    credentials: HashMap<CredentialDigest, CustomerKey>,
}

impl CompiledConfig {
    /// The pipeline called `name`.
    pub fn pipeline(&self, name: &str) -> Option<PipelineKey> {
        let name = Name::try_from(name).ok()?;
        self.pipeline_keys.get(&name).copied()
    }

    /// The pool called `name`.
    pub fn pool(&self, name: &Name) -> Option<PoolKey> {
        self.pool_keys.get(name).copied()
    }

    /// The customer called `name`.
    pub fn customer(&self, name: &Name) -> Option<CustomerKey> {
        self.customer_keys.get(name).copied()
    }

    /// The customer whose credential this is.
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
