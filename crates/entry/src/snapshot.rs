//! What the path of a request reads, all at one revision.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jd_coord::ListEntry;
use jd_policy::PoolTable;
use jd_policy::Upstream;
use jd_types::CompiledConfig;
use jd_types::Config;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::PoolKey;

use crate::pool_runtime::PoolRuntime;

/// The longest deadline that limits are lent for.
const LONGEST: Duration = Duration::from_secs(4);

/// What the path of a request reads: made anew when configuration or upstreams
/// change, swapped in whole, and never changed after that.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// The configuration.
    pub(crate) compiled: CompiledConfig,
    /// What lives on from snapshot to snapshot, by [`PoolKey`].
    pub(crate) pools: Vec<Arc<PoolRuntime>>,
    /// The upstreams, by [`PoolKey`].
    pub(crate) tables: Vec<PoolTable>,
    /// Upstreams by address.
    pub(crate) by_address: HashMap<SocketAddr, Arc<Upstream>>,
    /// The longest deadline of any pipeline, within what limits are lent for.
    pub(crate) longest: Duration,
}

impl Snapshot {
    /// The pool's runtime; none only for a key of another snapshot.
    pub(crate) fn pool(&self, key: PoolKey) -> Option<&Arc<PoolRuntime>> {
        self.pools.get(key.index())
    }

    /// The pool's upstreams; none only for a key of another snapshot.
    pub(crate) fn table(&self, key: PoolKey) -> Option<&PoolTable> {
        self.tables.get(key.index())
    }
}

/// Makes snapshots, and keeps what must outlive them.
#[derive(Debug, Default)]
pub(crate) struct SnapshotMaker {
    pools: BTreeMap<Name, Arc<PoolRuntime>>,
    upstreams: HashMap<SocketAddr, KnownUpstream>,
}

#[derive(Debug)]
struct KnownUpstream {
    since: MonoTime,
    upstream: Arc<Upstream>,
}

impl SnapshotMaker {
    /// A snapshot of the configuration and the upstreams as they are now.
    pub(crate) fn make(
        &mut self,
        config: &Config,
        list: &[ListEntry],
        hall: &Name,
        new_pool: impl Fn(&Name) -> PoolRuntime,
    ) -> Snapshot {
        let compiled = CompiledConfig::from(config);
        self.pools.retain(|name, _| config.pools.contains_key(name));
        self.upstreams
            .retain(|address, _| list.iter().any(|l| l.address == *address));
        let mut pools = Vec::new();
        let mut tables = Vec::new();
        let mut by_address = HashMap::new();
        for pool in &compiled.pools {
            let fresh = || Arc::new(new_pool(&pool.name));
            pools.push(Arc::clone(
                self.pools.entry(pool.name.clone()).or_insert_with(fresh),
            ));
            let members: Vec<Arc<Upstream>> = list
                .iter()
                .filter(|l| l.pool == pool.name)
                .map(|l| self.upstream(l))
                .collect();
            by_address.extend(members.iter().map(|u| (u.address, Arc::clone(u))));
            tables.push(PoolTable::new(members, pool.slots, hall));
        }
        let deadlines = compiled.pipelines.iter().map(|p| p.deadline);
        let longest = deadlines.max().unwrap_or(LONGEST).min(LONGEST);
        Snapshot {
            compiled,
            pools,
            tables,
            by_address,
            longest,
        }
    }

    /// The upstream's entry of this life, kept from earlier or new.
    fn upstream(&mut self, listed: &ListEntry) -> Arc<Upstream> {
        let known = self
            .upstreams
            .get(&listed.address)
            .filter(|k| k.since == listed.since);
        let upstream = match known {
            Some(k) if !k.upstream.is_leaving() || listed.leaving => Arc::clone(&k.upstream),
            _ => Arc::new(Upstream::new(
                listed.address,
                listed.hall.clone(),
                listed.since,
            )),
        };
        if listed.leaving {
            upstream.mark_leaving();
        }
        let known = KnownUpstream {
            since: listed.since,
            upstream: Arc::clone(&upstream),
        };
        self.upstreams.insert(listed.address, known);
        upstream
    }
}
