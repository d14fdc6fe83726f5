//! The event loop.

use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use fastrand::Rng;
use jd_policy::AdmissionCheck;
use jd_policy::PipelineRun;
use jd_policy::QueueEntry;
use jd_policy::QueueEntryId;
use jd_policy::RunEnd;
use jd_policy::RunStep;
use jd_policy::SlotDecision;
use jd_policy::check_deadline;
use jd_standins::Deployment;
use jd_types::AttemptId;
use jd_types::AttemptOutcome;
use jd_types::CustomerKey;
use jd_types::MonoTime;
use jd_types::Priority;
use jd_types::RefusalKind;
use jd_types::RequestId;

use crate::experiment::Disturbance;
use crate::experiment::Outcome;
use crate::experiment::Variant;
use crate::experiment::arrivals::Arrival;
use crate::experiment::arrivals::START;
use crate::experiment::arrivals::arrivals;
use crate::experiment::arrivals::window;
use crate::experiment::event::Event;
use crate::experiment::event::Timed;
use crate::experiment::instance::Instance;
use crate::experiment::request::Request;
use crate::experiment::request::UnderWay;
use crate::experiment::server::Job;
use crate::experiment::server::Server;
use crate::experiment::workload::rate;
use crate::experiment::workload::stages;

/// Entry instances.
pub(super) const INSTANCES: usize = 9;
/// Time between two looks at the limits. Heartbeats are exchanged at every one
/// while anything waits, as the daemon does.
pub(super) const BEAT: Duration = Duration::from_millis(100);
/// Steps between two heartbeats when nothing is urgent.
pub(super) const CALM_STEPS: u64 = 10;
/// Steps that an unknown prefix costs.
pub(super) const PREFILL: f64 = 4.0;
/// Calls that may still end after the last one arrived.
const TAIL: Duration = Duration::from_secs(10);

/// One cell of the table.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cell {
    pub(super) variant: Variant,
    pub(super) load: f64,
    pub(super) disturbance: Disturbance,
    pub(super) seed: u64,
    pub(super) seconds: u64,
}

pub(super) struct World<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) cell: Cell,
    pub(super) now: MonoTime,
    pub(super) heap: BinaryHeap<Timed>,
    pub(super) order: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) servers: Vec<Server>,
    pub(super) requests: Vec<Request>,
    pub(super) tickets: HashMap<(usize, usize, QueueEntryId), usize>,
    pub(super) rng: Rng,
    pub(super) beats: u64,
    pub(super) prompts: u64,
    pub(super) hits: u64,
    pub(super) refused: u64,
    pub(super) attained: Vec<(usize, Duration)>,
    pub(super) used: Duration,
    pub(super) all: Duration,
}

/// Runs one cell.
pub(super) fn run(deployment: &Deployment, cell: Cell) -> Outcome {
    let calls = arrivals(deployment, cell, rate(deployment, cell.load));
    let instances = (0..INSTANCES).filter_map(|i| Instance::new(deployment, i, cell.variant));
    let servers = deployment.pools.iter().flat_map(|p| {
        let slots = p.slots as usize;
        (0..p.count).map(move |_| Server::new(slots))
    });
    let mut world = World {
        deployment,
        cell,
        now: START,
        heap: BinaryHeap::new(),
        order: 0,
        instances: instances.collect(),
        servers: servers.collect(),
        requests: Vec::new(),
        tickets: HashMap::new(),
        rng: Rng::with_seed(cell.seed ^ 0x5eed),
        beats: 0,
        prompts: 0,
        hits: 0,
        refused: 0,
        attained: Vec::new(),
        used: Duration::ZERO,
        all: Duration::ZERO,
    };
    world.go(&calls);
    world.outcome(&calls)
}

impl World<'_> {
    fn go(&mut self, calls: &[Arrival]) {
        let mut next = 0;
        self.push(START, Event::Beat);
        if let Some(first) = calls.first() {
            self.push(first.at, Event::Arrival);
        }
        let end = START + Duration::from_secs(self.cell.seconds) + TAIL;
        while let Some(timed) = self.heap.pop().filter(|t| t.at < end) {
            self.now = timed.at;
            match timed.event {
                Event::Arrival => {
                    self.arrive(calls[next]);
                    next += 1;
                    if let Some(call) = calls.get(next) {
                        self.push(call.at, Event::Arrival);
                    }
                }
                Event::Done { server, job } => self.done(server, job),
                Event::GiveUp { request, attempt } => {
                    self.ended(request, attempt, AttemptOutcome::Silent);
                }
                Event::Expire {
                    instance,
                    pool,
                    ticket,
                } => self.expire(instance, pool, ticket),
                Event::Beat => self.beat(),
            }
        }
    }

    pub(super) fn push(&mut self, at: MonoTime, event: Event) {
        self.order += 1;
        self.heap.push(Timed {
            at,
            order: self.order,
            event,
        });
    }

    pub(super) fn disturbed(&self, what: Disturbance) -> bool {
        let (from, to) = window(self.cell.seconds);
        self.cell.disturbance == what && self.now >= from && self.now < to
    }

    fn arrive(&mut self, call: Arrival) {
        let pipeline = &self.deployment.pipelines[call.pipeline];
        let stages = stages(self.deployment, pipeline);
        let instance = &self.instances[call.instance];
        let timings: Vec<_> = stages
            .iter()
            .map(|s| instance.timing(s.pool.index()))
            .collect();
        let deadline = self.now + pipeline.deadline();
        let number = self.requests.len();
        let id = RequestId {
            entry: instance.me,
            number: number as u64,
        };
        let expected: Duration = stages
            .iter()
            .map(|s| {
                let pool = &instance.pools[s.pool.index()];
                let free = pool.gate.in_use() < pool.gate.capacity() && pool.gate.queue_len() == 0;
                let wait = if free {
                    Duration::ZERO
                } else {
                    pool.gate
                        .expected_wait(Priority::Normal, pool.estimate.mean())
                };
                pool.estimate.mean() + wait
            })
            .sum();
        let fits = matches!(
            check_deadline(self.now, deadline, expected),
            AdmissionCheck::Fits { .. }
        );
        let run = PipelineRun::new(id, deadline, stages, timings);
        let request = Request {
            call,
            deadline,
            run,
            now_at: None,
            ended: false,
            spent: Duration::ZERO,
        };
        self.requests.push(request);
        if self.cell.variant.refuses_early() && !fits {
            self.requests[number].ended = true;
            self.refused += 1;
            return;
        }
        let step = self.requests[number].run.start(self.now);
        self.carry_out(number, step);
    }

    fn carry_out(&mut self, r: usize, step: RunStep) {
        match step {
            RunStep::Dispatch {
                attempt,
                latest_start,
                timeout,
            } => {
                self.dispatch(r, attempt, latest_start, timeout);
            }
            // The model's upstreams cannot be asked.
            RunStep::LookUp { .. } => {
                let step = self.requests[r].run.lookup_finished(self.now, None);
                self.carry_out(r, step);
            }
            RunStep::End(end) => self.end(r, &end),
        }
    }

    fn end(&mut self, r: usize, end: &RunEnd) {
        let request = &mut self.requests[r];
        request.ended = true;
        request.now_at = None;
        let took = self.deployment.pipelines[request.call.pipeline]
            .deadline()
            .saturating_sub(request.deadline.since(self.now));
        match end {
            RunEnd::Answered if self.now <= request.deadline => {
                self.attained.push((request.call.customer, took));
                self.used += request.spent;
            }
            RunEnd::Answered => {}
            RunEnd::Refused(_) => self.refused += 1,
        }
    }

    fn dispatch(&mut self, r: usize, attempt: AttemptId, latest: MonoTime, patience: Duration) {
        let request = &mut self.requests[r];
        let Some(stage) = request.run.stage() else {
            return;
        };
        let (i, pool) = (request.call.instance, stage.pool.index());
        request.now_at = Some(UnderWay {
            attempt,
            pool,
            patience,
            sent: None,
        });
        let customer = request.call.customer;
        let view = &mut self.instances[i].pools[pool];
        if attempt.attempt == 1 {
            view.budget.deposit();
        }
        self.order += 1;
        let id = QueueEntryId(self.order);
        let (.., weight, _) = self.deployment.customers[customer];
        let customer = CustomerKey::from_index(customer as u32);
        let ticket = QueueEntry {
            id,
            customer,
            weight,
            priority: Priority::Normal,
            latest_start: latest,
        };
        match view
            .gate
            .request_slot(self.now, ticket, view.estimate.mean())
        {
            SlotDecision::Start => self.send(r),
            SlotDecision::Queued => {
                self.tickets.insert((i, pool, id), r);
                self.push(
                    latest,
                    Event::Expire {
                        instance: i,
                        pool,
                        ticket: id,
                    },
                );
            }
            SlotDecision::WouldMiss(after) => self.not_sent(r, RefusalKind::WouldMiss, after),
            SlotDecision::Full => self.not_sent(r, RefusalKind::Overloaded, patience),
        }
    }

    pub(super) fn not_sent(&mut self, r: usize, kind: RefusalKind, after: Duration) {
        let step = self.requests[r].run.attempt_not_sent(kind, "", Some(after));
        self.carry_out(r, step);
    }

    fn expire(&mut self, i: usize, pool: usize, ticket: QueueEntryId) {
        if let Some(r) = self.tickets.remove(&(i, pool, ticket)) {
            self.instances[i].pools[pool].gate.cancel(ticket);
            self.not_sent(r, RefusalKind::WouldMiss, Duration::ZERO);
        }
    }

    fn done(&mut self, server: usize, job: usize) {
        let done = self.servers[server].jobs[job];
        self.all += done.service;
        self.requests[done.request].spent += done.service;
        if let Some(next) = self.servers[server].done() {
            self.start_job(server, next);
        }
        let outcome = match done {
            Job { silent: true, .. } => return,
            Job { fails: true, .. } => AttemptOutcome::Failed,
            _ => AttemptOutcome::Answered,
        };
        self.ended(done.request, done.attempt, outcome);
    }

    fn ended(&mut self, r: usize, attempt: AttemptId, outcome: AttemptOutcome) {
        let way = self.requests[r].now_at.clone();
        let Some(way) = way.filter(|w| w.attempt == attempt && !self.requests[r].ended) else {
            return;
        };
        let Some(sent) = &way.sent else { return };
        let i = self.requests[r].call.instance;
        let took = self.now.since(sent.at);
        sent.upstream.attempt_finished(self.now, took, outcome);
        debug_assert!(self.requests[r].run.tried().contains(&sent.key));
        if outcome == AttemptOutcome::Answered {
            self.instances[i].pools[way.pool].estimate.record(took);
        }
        self.requests[r].now_at = None;
        let budget = &self.instances[i].pools[way.pool].budget;
        let step = self.requests[r]
            .run
            .attempt_ended(self.now, attempt, outcome, budget);
        self.release(i, way.pool);
        if let Some(step) = step {
            self.carry_out(r, step);
        }
    }

    pub(super) fn release(&mut self, i: usize, pool: usize) {
        self.instances[i].pools[pool].gate.release_slot();
        self.start_ready(i, pool);
    }

    pub(super) fn start_ready(&mut self, i: usize, pool: usize) {
        while let Some(ticket) = self.instances[i].pools[pool].gate.pop_ready() {
            match self.tickets.remove(&(i, pool, ticket)) {
                Some(r) => self.send(r),
                None => self.instances[i].pools[pool].gate.release_slot(),
            }
        }
    }
}
