//! The two first users' deployments, as far as they have been described.
//!
//! Pool names and sizes come from the users. The three pools of encoders,
//! retrievers and rerankers, how the work divides into pipelines, and the
//! times are assumptions, to be replaced when the users say more.

use std::time::Duration;

use jd_types::Name;
use jd_types::StageKind;

use crate::UpstreamSpec;

/// A pool of stand-in upstreams.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentPool {
    /// Its name.
    pub name: &'static str,
    /// How many upstreams.
    pub count: usize,
    /// Requests that one works on at full speed.
    pub slots: u32,
    /// How long one part of an answer takes.
    pub step: Duration,
    /// True if these are model engines.
    pub engines: bool,
    /// More properties, in the operators' language.
    pub properties: &'static str,
}

/// A pipeline and its part of the traffic.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentPipeline {
    /// Its name.
    pub name: &'static str,
    /// The kinds of its stages in order.
    pub kinds: &'static [StageKind],
    /// Its definition, in the operators' language.
    pub definition: &'static str,
    /// Its part of the requests, in hundredths.
    pub percent: u32,
    /// True if its requests need a key.
    pub keyed: bool,
    /// True if it is deferred.
    pub deferrable: bool,
    /// True if callers ask for a streamed answer.
    pub streamed: bool,
}

/// A deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its halls.
    pub halls: [&'static str; 3],
    /// Its pools.
    pub pools: &'static [DeploymentPool],
    /// Its pipelines.
    pub pipelines: &'static [DeploymentPipeline],
    /// Its customers: name, limit, weight, and part of the traffic in hundredths.
    pub customers: [(&'static str, u32, u32, u32); 5],
}

const HALLS: [&str; 3] = ["a", "b", "c"];

const fn pool(name: &'static str, count: usize, slots: u32, step_ms: u64) -> DeploymentPool {
    let step = Duration::from_millis(step_ms);
    DeploymentPool {
        name,
        count,
        slots,
        step,
        engines: false,
        properties: "",
    }
}

const fn engines(name: &'static str, count: usize, properties: &'static str) -> DeploymentPool {
    let step = Duration::from_millis(5);
    DeploymentPool {
        name,
        count,
        slots: 8,
        step,
        engines: true,
        properties,
    }
}

const fn lookup(pool: DeploymentPool) -> DeploymentPool {
    DeploymentPool {
        properties: "lookup",
        ..pool
    }
}

const fn pipeline(
    name: &'static str,
    percent: u32,
    kinds: &'static [StageKind],
    definition: &'static str,
) -> DeploymentPipeline {
    DeploymentPipeline {
        name,
        kinds,
        definition,
        percent,
        keyed: false,
        deferrable: false,
        streamed: false,
    }
}

const fn keyed(p: DeploymentPipeline) -> DeploymentPipeline {
    DeploymentPipeline { keyed: true, ..p }
}

const fn deferrable(p: DeploymentPipeline) -> DeploymentPipeline {
    DeploymentPipeline {
        deferrable: true,
        ..p
    }
}

const fn streamed(p: DeploymentPipeline) -> DeploymentPipeline {
    DeploymentPipeline {
        streamed: true,
        ..p
    }
}

const E: StageKind = StageKind::Encode;
const T: StageKind = StageKind::Retrieve;
const R: StageKind = StageKind::Rerank;
const G: StageKind = StageKind::Generate;
const C: StageKind = StageKind::Call;

const KARRABIN_POOLS: &[DeploymentPool] = &[
    engines("jd-model", 18, "model jd-large fenced"),
    lookup(pool("permit-api", 3, 16, 6)),
    pool("lodge-web", 5, 16, 5),
    pool("fee-ledger", 5, 16, 5),
    pool("ranger-roster", 5, 16, 5),
    pool("encoders", 4, 16, 8),
    pool("retrievers", 4, 16, 10),
    pool("rerankers", 4, 16, 12),
];

const KARRABIN_PIPELINES: &[DeploymentPipeline] = &[
    streamed(pipeline(
        "risk-review",
        20,
        &[E, T, R, G],
        "deadline 3s stages encode@encoders, retrieve@retrievers, rerank@rerankers, generate@jd-model",
    )),
    pipeline(
        "operator-answer",
        25,
        &[E, T, G],
        "deadline 3s stages encode@encoders, retrieve@retrievers, generate@jd-model",
    ),
    keyed(pipeline(
        "lodgement",
        15,
        &[E, C, C],
        "deadline 2s stages encode@encoders, call@lodge-web, call@permit-api once",
    )),
    pipeline(
        "booking-lookup",
        30,
        &[C, C, C],
        "deadline 1500ms stages call@lodge-web, call@ranger-roster, call@fee-ledger",
    ),
    deferrable(pipeline(
        "lodgement-tags",
        10,
        &[E, R, G],
        "deadline 3s stages encode@encoders, rerank@rerankers, generate@jd-model deferrable",
    )),
];

const HEARTHGATE_POOLS: &[DeploymentPool] = &[
    engines("jacinthdeal-pool", 9, "model jd-large"),
    pool("agent-desk", 3, 16, 6),
    lookup(pool("listing-feed", 3, 16, 6)),
    pool("portal-search", 5, 16, 5),
    pool("ledger-sync", 5, 16, 5),
    pool("encoders", 4, 16, 8),
    pool("retrievers", 4, 16, 10),
    pool("rerankers", 4, 16, 12),
];

const HEARTHGATE_PIPELINES: &[DeploymentPipeline] = &[
    streamed(pipeline(
        "valuation",
        20,
        &[E, T, R, G],
        "deadline 3s stages encode@encoders, retrieve@retrievers, rerank@rerankers, generate@jacinthdeal-pool",
    )),
    keyed(pipeline(
        "listing-description",
        20,
        &[E, T, G, C],
        "deadline 3s stages encode@encoders, retrieve@retrievers, generate@jacinthdeal-pool, call@listing-feed once",
    )),
    keyed(pipeline(
        "viewing-booking",
        20,
        &[T, C, C],
        "deadline 2s stages retrieve@retrievers, call@portal-search, call@agent-desk once",
    )),
    deferrable(pipeline(
        "tag-suggestions",
        15,
        &[E, R, G],
        "deadline 3s stages encode@encoders, rerank@rerankers, generate@jacinthdeal-pool deferrable",
    )),
    deferrable(pipeline(
        "enquiry-receipt",
        25,
        &[E, C, C],
        "deadline 2s stages encode@encoders, call@portal-search, call@ledger-sync deferrable",
    )),
];

impl DeploymentPipeline {
    /// The deadline in its definition.
    pub fn deadline(&self) -> Duration {
        let word = self.definition.split(' ').nth(1).unwrap_or_default();
        match (word.strip_suffix("ms"), word.strip_suffix('s')) {
            (Some(ms), _) => Duration::from_millis(ms.parse().unwrap_or(0)),
            (None, Some(s)) => Duration::from_secs(s.parse().unwrap_or(0)),
            (None, None) => Duration::ZERO,
        }
    }
}

impl Deployment {
    /// Karrabin Permits Division, perth-west.
    pub const KARRABIN: Deployment = Deployment {
        name: "karrabin",
        halls: HALLS,
        pools: KARRABIN_POOLS,
        pipelines: KARRABIN_PIPELINES,
        customers: [
            ("ranges", 400, 4, 40),
            ("gorges", 300, 3, 30),
            ("tour-operators", 150, 2, 15),
            ("rangers", 100, 2, 10),
            ("walkers", 60, 1, 5),
        ],
    };

    /// Hearthgate Listings Consortium, north-shire.
    pub const HEARTHGATE: Deployment = Deployment {
        name: "hearthgate",
        halls: HALLS,
        pools: HEARTHGATE_POOLS,
        pipelines: HEARTHGATE_PIPELINES,
        customers: [
            ("north-agencies", 400, 4, 40),
            ("south-agencies", 300, 3, 30),
            ("portal", 150, 2, 15),
            ("landlords", 100, 2, 10),
            ("buyers", 60, 1, 5),
        ],
    };

    /// The deployment called `name`.
    pub fn from_name(name: &str) -> Option<Deployment> {
        [Deployment::KARRABIN, Deployment::HEARTHGATE]
            .into_iter()
            .find(|d| d.name == name)
    }

    /// What its stand-in upstreams are, one for each.
    pub fn upstreams(&self) -> Vec<UpstreamSpec> {
        let all = self
            .pools
            .iter()
            .flat_map(|p| (0..p.count).map(move |i| (p, i)));
        all.filter_map(|(p, i)| self.upstream(p, i)).collect()
    }

    fn upstream(&self, pool: &DeploymentPool, number: usize) -> Option<UpstreamSpec> {
        let model = Name::try_from("jd-large").ok();
        Some(UpstreamSpec {
            pool: Name::try_from(pool.name).ok()?,
            hall: Name::try_from(self.halls[number % self.halls.len()]).ok()?,
            slots: pool.slots,
            step: pool.step,
            model: model.filter(|_| pool.engines),
            checks_token: pool.properties.contains("fenced"),
        })
    }

    /// The credential of a customer.
    pub fn credential(customer: &str) -> String {
        format!("secret-of-{customer}")
    }

    /// The commands that bring the deployment into force, one a line.
    pub fn commands(&self) -> Vec<String> {
        let pools = self.pools.iter().map(|p| {
            let text = format!("create pool {} slots {} {}", p.name, p.slots, p.properties);
            text.trim_end().to_owned()
        });
        let pipelines = self
            .pipelines
            .iter()
            .map(|p| format!("create pipeline {} {}", p.name, p.definition));
        let customers = self.customers.iter().map(|(name, limit, weight, _)| {
            let credential = Deployment::credential(name);
            format!(
                "create customer {name} credential {credential} limit {limit} weight {weight} priority high"
            )
        });
        let model = std::iter::once("set model jd-large version 1".to_owned());
        model
            .chain(pools)
            .chain(pipelines)
            .chain(customers)
            .collect()
    }
}
