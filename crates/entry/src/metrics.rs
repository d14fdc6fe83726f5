//! What the instance counts.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use jd_types::AttemptOutcome;
use jd_types::RefusalKind;
use jd_types::Revision;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Every metric: its name as exported, and what it means.
pub const METRICS: [(&str, &str); 10] = [
    (
        "jd_requests_total",
        "Requests ended, by pipeline and whether they were answered",
    ),
    ("jd_refusals_total", "Requests refused, by kind"),
    (
        "jd_attempts_total",
        "Attempts at stages ended, by pool and outcome",
    ),
    (
        "jd_request_seconds",
        "Time from arrival to end of answered requests, by pipeline",
    ),
    ("jd_in_flight", "Requests in progress"),
    ("jd_members", "Other instances that are known and not gone"),
    ("jd_revision", "Revision of the configuration in force"),
    ("jd_own_part_ppm", "Own part of every limit, in millionths"),
    (
        "jd_backing_calls_total",
        "Calls to the platform's key-value service, by result",
    ),
    (
        "jd_peer_bytes_total",
        "Bytes of heartbeats sent and received, without framing",
    ),
];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    pipeline: String,
    answered: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    pool: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PipelineLabel {
    pipeline: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

type Histograms = Family<PipelineLabel, Histogram, fn() -> Histogram>;

/// The metrics of one instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<KindLabel, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    seconds: Histograms,
    in_flight: Gauge,
    members: Gauge,
    revision: Gauge<u64, AtomicU64>,
    own_part: Gauge,
    platform_calls: Family<ResultLabel, Counter>,
    peer_bytes: Counter,
}

impl Metrics {
    /// Metrics at zero.
    pub(crate) fn new() -> Metrics {
        let buckets: fn() -> Histogram = || Histogram::new(exponential_buckets(0.005, 2.0, 12));
        let mut m = Metrics {
            registry: Registry::default(),
            requests: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            seconds: Family::new_with_constructor(buckets),
            in_flight: Gauge::default(),
            members: Gauge::default(),
            revision: Gauge::default(),
            own_part: Gauge::default(),
            platform_calls: Family::default(),
            peer_bytes: Counter::default(),
        };
        let help = |i: usize| METRICS[i].1;
        // The library adds `_total` to counters by itself.
        let r = &mut m.registry;
        r.register("jd_requests", help(0), m.requests.clone());
        r.register("jd_refusals", help(1), m.refusals.clone());
        r.register("jd_attempts", help(2), m.attempts.clone());
        r.register("jd_request_seconds", help(3), m.seconds.clone());
        r.register("jd_in_flight", help(4), m.in_flight.clone());
        r.register("jd_members", help(5), m.members.clone());
        r.register("jd_revision", help(6), m.revision.clone());
        r.register("jd_own_part_ppm", help(7), m.own_part.clone());
        r.register("jd_backing_calls", help(8), m.platform_calls.clone());
        r.register("jd_peer_bytes", help(9), m.peer_bytes.clone());
        m
    }

    /// A request was answered.
    pub(crate) fn answered(&self, pipeline: &str, took: Duration) {
        let label = PipelineLabel {
            pipeline: pipeline.to_owned(),
        };
        self.seconds
            .get_or_create(&label)
            .observe(took.as_secs_f64());
        self.ended(pipeline, "yes");
    }

    /// A request was refused.
    pub(crate) fn refused(&self, pipeline: &str, kind: RefusalKind) {
        self.refusals
            .get_or_create(&KindLabel {
                kind: kind.as_str(),
            })
            .inc();
        self.ended(pipeline, "no");
    }

    /// An attempt ended.
    pub(crate) fn attempt(&self, pool: &str, outcome: AttemptOutcome) {
        let labels = AttemptLabels {
            pool: pool.to_owned(),
            outcome: outcome.as_str(),
        };
        self.attempts.get_or_create(&labels).inc();
    }

    /// A call to the platform's service ended.
    pub(crate) fn kv_call(&self, ok: bool) {
        let result = if ok { "ok" } else { "failed" };
        self.platform_calls
            .get_or_create(&ResultLabel { result })
            .inc();
    }

    /// Heartbeats of that many bytes went out and came in.
    pub(crate) fn add_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.inc_by(bytes as u64);
    }

    /// Bytes of heartbeats so far.
    pub(crate) fn peer_bytes(&self) -> u64 {
        self.peer_bytes.get()
    }

    /// The present state of the instance.
    pub(crate) fn set_state(&self, in_flight: u32, members: usize, own_part: u32) {
        self.in_flight.set(i64::from(in_flight));
        self.members.set(i64::try_from(members).unwrap_or(i64::MAX));
        self.own_part.set(i64::from(own_part));
    }

    /// The revision in force.
    pub(crate) fn set_revision(&self, revision: Revision) {
        self.revision.set(revision.get());
    }

    /// All metrics as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn ended(&self, pipeline: &str, answered: &str) {
        let (pipeline, answered) = (pipeline.to_owned(), answered.to_owned());
        self.requests
            .get_or_create(&RequestLabels { pipeline, answered })
            .inc();
    }
}
