//! What instances cost while nobody calls.

use std::time::Duration;

use async_io::Timer;
use cpu_time::ProcessTime;
use jd_standins::Deployment;
use serde::Serialize;

use crate::DemoError;
use crate::operators;
use crate::world::World;

/// How long the instances may take to come to rest.
const REST: Duration = Duration::from_secs(8);

/// What one instance costs while nobody calls: control alone. The stand-ins'
/// own processor time is in it, so it is an upper bound.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct IdleCost {
    /// Instances.
    pub instances: usize,
    /// Processor time of one instance, in hundredths of a core.
    pub core_percent: f64,
    /// Bytes of heartbeats of one instance a second, sent and received.
    pub peer_bytes: f64,
    /// Calls to the key-value service a second, of all instances.
    pub kv_calls: f64,
    /// Writes to the key-value service a second, of all instances.
    pub kv_writes: f64,
}

/// Measures `instances` entry instances in three halls for `time`.
///
/// # Errors
///
/// If they could not be started or set up.
pub async fn idle_cost(instances: usize, time: Duration) -> Result<IdleCost, DemoError> {
    let world = World::start(Deployment::KARRABIN, instances)?;
    world.ready().await?;
    operators::set_up(&world).await?;
    Timer::after(REST).await;
    let bytes = |w: &World| w.nodes().iter().map(|n| n.entry.peer_bytes()).sum::<u64>();
    let (bytes_before, calls, writes) = (
        bytes(&world),
        world.platform.with_kv(|x| x.calls()),
        world.platform.with_kv(|x| x.writes()),
    );
    let (cpu, began) = (ProcessTime::now(), world.clock.now());
    Timer::after(time).await;
    let seconds = world.clock.now().since(began).as_secs_f64();
    let cpu = cpu.elapsed().as_secs_f64();
    let each = |total: f64| total / seconds / instances.max(1) as f64;
    let cost = IdleCost {
        instances,
        core_percent: each(cpu) * 100.0,
        peer_bytes: each((bytes(&world) - bytes_before) as f64),
        kv_calls: (world.platform.with_kv(|x| x.calls()) - calls) as f64 / seconds,
        kv_writes: (world.platform.with_kv(|x| x.writes()) - writes) as f64 / seconds,
    };
    for node in world.nodes() {
        node.kill().await;
    }
    Ok(cost)
}
