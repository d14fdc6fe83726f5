//! The metrics of the gateway.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreOutcome {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Notice {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Step {
    step: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Framing {
    framing: &'static str,
}

/// The metrics of the gateway, with their encoding as text.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<Outcome, Counter>,
    attempts: Family<Outcome, Counter>,
    parallel_attempts: Family<Outcome, Counter>,
    stages: Family<Outcome, Counter>,
    first_sends: Counter,
    retries: Family<Outcome, Counter>,
    retry_instances: Gauge,
    retry_slack: Gauge<f64, AtomicU64>,
    store_calls: Family<StoreOutcome, Counter>,
    broken_runs: Family<Outcome, Counter>,
    quarantine_changes: Family<Outcome, Counter>,
    limited_upstreams: Gauge,
    permits: Family<Outcome, Counter>,
    trials: Family<Outcome, Counter>,
    notices: Family<Notice, Counter>,
    placements: Family<Outcome, Counter>,
    forwards: Family<Outcome, Counter>,
    runs: Family<Outcome, Counter>,
    stop_refusals: Family<Step, Counter>,
    stream_ends: Family<Framing, Counter>,
    events_out_of_order: Family<Outcome, Counter>,
    stream_origins: Family<Outcome, Counter>,
    caller_connections: Gauge,
    closed_connections: Family<Outcome, Counter>,
    body_bytes: Gauge,
    bodies_without_memory: Family<Outcome, Counter>,
    answer_bytes: Gauge,
    answers_without_memory: Family<Outcome, Counter>,
    path_lost: Gauge,
    path_checks: Family<Outcome, Counter>,
    pace_reports: Family<Outcome, Counter>,
    handover_results: Family<Outcome, Counter>,
    handover_updates: Family<Outcome, Counter>,
    seconds: Histogram,
    stage_seconds: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut registry = Registry::default();
        // Buckets from 1 ms to half a minute, each double the one before.
        let histogram = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let metrics = Metrics {
            requests: Family::default(),
            attempts: Family::default(),
            parallel_attempts: Family::default(),
            stages: Family::default(),
            first_sends: Counter::default(),
            retries: Family::default(),
            retry_instances: Gauge::default(),
            retry_slack: Gauge::default(),
            store_calls: Family::default(),
            broken_runs: Family::default(),
            quarantine_changes: Family::default(),
            limited_upstreams: Gauge::default(),
            permits: Family::default(),
            trials: Family::default(),
            notices: Family::default(),
            placements: Family::default(),
            forwards: Family::default(),
            runs: Family::default(),
            stop_refusals: Family::default(),
            stream_ends: Family::default(),
            events_out_of_order: Family::default(),
            stream_origins: Family::default(),
            caller_connections: Gauge::default(),
            closed_connections: Family::default(),
            body_bytes: Gauge::default(),
            bodies_without_memory: Family::default(),
            answer_bytes: Gauge::default(),
            answers_without_memory: Family::default(),
            path_lost: Gauge::default(),
            path_checks: Family::default(),
            pace_reports: Family::default(),
            handover_results: Family::default(),
            handover_updates: Family::default(),
            seconds: histogram(),
            stage_seconds: histogram(),
            registry: Registry::default(),
        };
        let r = &mut registry;
        r.register(
            "jd_gateway_requests",
            "Requests ended",
            metrics.requests.clone(),
        );
        r.register(
            "jd_gateway_attempts",
            "Sends to upstreams ended",
            metrics.attempts.clone(),
        );
        r.register(
            "jd_gateway_parallel_attempts",
            "Attempts made beside a pending one, by the evidence against that one, and which of them answered",
            metrics.parallel_attempts.clone(),
        );
        r.register(
            "jd_gateway_stages",
            "Stages of requests ended",
            metrics.stages.clone(),
        );
        r.register(
            "jd_gateway_first_sends",
            "Requests that add to the budget for repeats",
            metrics.first_sends.clone(),
        );
        r.register(
            "jd_gateway_repeats",
            "Repeats asked for",
            metrics.retries.clone(),
        );
        r.register(
            "jd_gateway_repeat_instances",
            "Instances that the slack of repeats is divided by",
            metrics.retry_instances.clone(),
        );
        r.register(
            "jd_gateway_repeat_slack",
            "Repeats that this instance may send in a window beyond the ratio",
            metrics.retry_slack.clone(),
        );
        r.register(
            "jd_gateway_store_calls",
            "Calls to the store",
            metrics.store_calls.clone(),
        );
        r.register(
            "jd_gateway_broken_runs",
            "Runs that broke, by what became of their upstream",
            metrics.broken_runs.clone(),
        );
        r.register(
            "jd_gateway_quarantine_changes",
            "Changes of the quarantine that this instance decided",
            metrics.quarantine_changes.clone(),
        );
        r.register(
            "jd_gateway_limited_upstreams",
            "Upstreams that name a limit",
            metrics.limited_upstreams.clone(),
        );
        r.register(
            "jd_gateway_trials",
            "Runs of suspected requests: begun, and those that waited for another one",
            metrics.trials.clone(),
        );
        r.register(
            "jd_gateway_permits",
            "Permits for upstreams that name a limit: given out and turned away here, asked in vain",
            metrics.permits.clone(),
        );
        r.register(
            "jd_gateway_upstream_notices",
            "What upstreams said in answers of what may be sent to them next",
            metrics.notices.clone(),
        );
        r.register(
            "jd_gateway_forwards",
            "Requests forwarded to another instance, and run for another, by outcome",
            metrics.forwards.clone(),
        );
        r.register(
            "jd_gateway_runs",
            "Runs of requests that were counted before they were sent, taken back because it is \
             proved that no upstream ran them, or refused because the route allows no more",
            metrics.runs.clone(),
        );
        r.register(
            "jd_gateway_stop_refusals",
            "Requests refused while this instance stops since they could not end before, by the step \
             that was to begin",
            metrics.stop_refusals.clone(),
        );
        r.register(
            "jd_gateway_stream_ends",
            "Streams that ended whole, by how the end of the response was marked",
            metrics.stream_ends.clone(),
        );
        r.register(
            "jd_gateway_events_out_of_order",
            "Responses that were dropped since they resumed a stream elsewhere than after the event \
             that was asked for, by the number that came instead",
            metrics.events_out_of_order.clone(),
        );
        r.register(
            "jd_gateway_stream_origins",
            "Origins of streams sent to other instances, and looked up for callers that resume",
            metrics.stream_origins.clone(),
        );
        r.register(
            "jd_gateway_caller_connections",
            "Open connections of callers",
            metrics.caller_connections.clone(),
        );
        r.register(
            "jd_gateway_closed_connections",
            "Connections of callers closed for want of room, by what they waited for",
            metrics.closed_connections.clone(),
        );
        r.register(
            "jd_gateway_body_bytes",
            "Memory taken by bodies of requests, in bytes",
            metrics.body_bytes.clone(),
        );
        r.register(
            "jd_gateway_bodies_without_memory",
            "Bodies that got no memory, or lost it because they stalled",
            metrics.bodies_without_memory.clone(),
        );
        r.register(
            "jd_gateway_answer_bytes",
            "Memory taken by answers and by events that have not ended, in bytes",
            metrics.answer_bytes.clone(),
        );
        r.register(
            "jd_gateway_answers_without_memory",
            "Answers that were ended for want of memory",
            metrics.answers_without_memory.clone(),
        );
        r.register(
            "jd_gateway_path_lost",
            "1 while no upstream can be connected to",
            metrics.path_lost.clone(),
        );
        r.register(
            "jd_gateway_path_checks",
            "Checks whether upstreams can be connected to, by outcome",
            metrics.path_checks.clone(),
        );
        r.register(
            "jd_gateway_placements",
            "Prompts placed here by reason, and what became of placements that owners sent",
            metrics.placements.clone(),
        );
        r.register(
            "jd_gateway_pace_reports",
            "Reports of instances on the pace of one upstream, by what became of them here",
            metrics.pace_reports.clone(),
        );
        r.register(
            "jd_gateway_handover_results",
            "Stored results of stages that were replicated to a successor, and what it did with them",
            metrics.handover_results.clone(),
        );
        r.register(
            "jd_gateway_handover_updates",
            "Updates of stored results sent to a successor, by its reply",
            metrics.handover_updates.clone(),
        );
        r.register(
            "jd_gateway_request_seconds",
            "From arrival to the head of the answer",
            metrics.seconds.clone(),
        );
        r.register(
            "jd_gateway_stage_seconds",
            "From the first piece to the last result",
            metrics.stage_seconds.clone(),
        );
        Metrics {
            registry,
            ..metrics
        }
    }

    pub(crate) fn request(&self, outcome: &'static str, took: Duration) {
        self.requests.get_or_create(&Outcome { outcome }).inc();
        self.seconds.observe(took.as_secs_f64());
    }

    /// Counts a request that could not end before this instance, by the step that was to begin.
    pub(crate) fn stop_refusal(&self, step: &'static str) {
        self.stop_refusals.get_or_create(&Step { step }).inc();
    }

    pub(crate) fn attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn stages(&self, outcome: &'static str, took: Duration) {
        self.stages.get_or_create(&Outcome { outcome }).inc();
        self.stage_seconds.observe(took.as_secs_f64());
    }

    pub(crate) fn first_send(&self) {
        self.first_sends.inc();
    }

    /// Records that a retry was asked for, and the share of the slack that it was decided by.
    pub(crate) fn retry(&self, allowed: bool, instances: usize, slack: f64) {
        self.retry_instances
            .set(i64::try_from(instances).unwrap_or(i64::MAX));
        self.retry_slack.set(slack);
        let outcome = if allowed { "allowed" } else { "over-budget" };
        self.retries.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a retry that was allowed and of which nothing was sent.
    pub(crate) fn retry_given_back(&self) {
        let outcome = "given-back";
        self.retries.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn store_call(&self, call: &'static str, outcome: &'static str) {
        let labels = StoreOutcome { call, outcome };
        self.store_calls.get_or_create(&labels).inc();
    }

    pub(crate) fn broken_runs(&self, outcome: &'static str, runs: usize) {
        let labels = Outcome { outcome };
        self.broken_runs.get_or_create(&labels).inc_by(runs as u64);
    }

    pub(crate) fn quarantine(&self, outcome: &'static str) {
        self.quarantine_changes
            .get_or_create(&Outcome { outcome })
            .inc();
    }

    pub(crate) fn permit(&self, outcome: &'static str) {
        self.permits.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn trial(&self, outcome: &'static str) {
        self.trials.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn notice(&self, kind: &'static str) {
        self.notices.get_or_create(&Notice { kind }).inc();
    }

    pub(crate) fn placement(&self, outcome: &'static str) {
        self.placements.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn forward(&self, outcome: &'static str) {
        self.forwards.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts an attempt beside a pending one, or which of the two answered.
    pub(crate) fn parallel_attempt(&self, outcome: &'static str) {
        self.parallel_attempts
            .get_or_create(&Outcome { outcome })
            .inc();
    }

    pub(crate) fn run(&self, outcome: &'static str) {
        self.runs.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn stream_end(&self, framing: &'static str) {
        self.stream_ends.get_or_create(&Framing { framing }).inc();
    }

    pub(crate) fn event_out_of_order(&self, outcome: &'static str) {
        self.events_out_of_order
            .get_or_create(&Outcome { outcome })
            .inc();
    }

    pub(crate) fn stream_origin(&self, outcome: &'static str) {
        self.stream_origins
            .get_or_create(&Outcome { outcome })
            .inc();
    }

    pub(crate) fn caller_connections(&self, open: usize) {
        self.caller_connections.set(open as i64);
    }

    pub(crate) fn closed_connections(&self, phase: &'static str, count: u64) {
        let outcome = Outcome { outcome: phase };
        self.closed_connections
            .get_or_create(&outcome)
            .inc_by(count);
    }

    pub(crate) fn body_bytes(&self, used: usize) {
        self.body_bytes.set(used as i64);
    }

    pub(crate) fn bodies_without_memory(&self, outcome: &'static str, count: u64) {
        let outcome = Outcome { outcome };
        self.bodies_without_memory
            .get_or_create(&outcome)
            .inc_by(count);
    }

    pub(crate) fn answer_bytes(&self, used: usize) {
        self.answer_bytes.set(used as i64);
    }

    pub(crate) fn answers_without_memory(&self, outcome: &'static str, count: u64) {
        let outcome = Outcome { outcome };
        self.answers_without_memory
            .get_or_create(&outcome)
            .inc_by(count);
    }

    pub(crate) fn path_lost(&self, lost: bool) {
        self.path_lost.set(i64::from(lost));
    }

    pub(crate) fn path_check(&self, outcome: &'static str) {
        self.path_checks.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn pace_report(&self, outcome: &'static str) {
        self.pace_reports.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn handover_results(&self, outcome: &'static str, results: usize) {
        let labels = Outcome { outcome };
        let counter = self.handover_results.get_or_create(&labels);
        counter.inc_by(results as u64);
    }

    pub(crate) fn handover_update(&self, outcome: &'static str) {
        self.handover_updates
            .get_or_create(&Outcome { outcome })
            .inc();
    }

    pub(crate) fn limited_upstreams(&self, count: usize) {
        self.limited_upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Encodes the metrics in the text format that collectors read.
    pub(crate) fn text(&self) -> String {
        let mut buf = String::new();
        if let Err(e) = encode(&mut buf, &self.registry) {
            log::error!(error:% = e; "metrics cannot be written");
        }
        buf
    }
}
