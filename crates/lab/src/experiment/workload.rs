//! What the mix of a deployment asks of its pools.

use jd_standins::Deployment;
use jd_standins::DeploymentPipeline;
use jd_types::CompiledStage;
use jd_types::PoolKey;
use jd_types::StageKind;

/// Parts of a generated answer, in the mean.
pub(super) const PARTS: f64 = 10.0;

/// Calls a second at which the busiest pool is loaded to that part.
pub(super) fn rate(deployment: &Deployment, load: f64) -> f64 {
    let total: u32 = deployment.pipelines.iter().map(|p| p.percent).sum();
    let pool_rate = |i: usize| {
        let pool = &deployment.pools[i];
        let work: f64 = deployment
            .pipelines
            .iter()
            .map(|p| pool_seconds(deployment, p, i))
            .sum();
        f64::from(pool.slots) * pool.count as f64 / (work / f64::from(total))
    };
    let rates = (0..deployment.pools.len())
        .map(pool_rate)
        .filter(|r| r.is_finite());
    rates.fold(f64::MAX, f64::min) * load
}

/// Seconds of a pool that a hundred of the mix spend on one pipeline.
fn pool_seconds(deployment: &Deployment, p: &DeploymentPipeline, pool: usize) -> f64 {
    let stages = stages(deployment, p);
    let here = stages.iter().filter(|s| s.pool.index() == pool);
    let step = deployment.pools[pool].step.as_secs_f64();
    let parts = |s: &CompiledStage| {
        if s.kind == StageKind::Generate {
            PARTS
        } else {
            1.0
        }
    };
    here.map(|s| parts(s) * step).sum::<f64>() * f64::from(p.percent)
}

/// A pipeline's stages, read from its definition.
pub(super) fn stages(deployment: &Deployment, p: &DeploymentPipeline) -> Vec<CompiledStage> {
    let after = p.definition.split_once("stages ").map_or("", |(_, s)| s);
    let parse = |text: &str| {
        let mut words = text.split_whitespace();
        let (kind, pool) = words.next()?.split_once('@')?;
        let index = deployment.pools.iter().position(|x| x.name == pool)?;
        let lookup = deployment.pools[index].properties.contains("lookup");
        let idempotent = !words.any(|w| w == "once");
        let pool = PoolKey::from_index(index as u32);
        Some(CompiledStage {
            kind: StageKind::from_name(kind)?,
            pool,
            idempotent,
            lookup,
        })
    };
    after.split(',').filter_map(parse).collect()
}
