//! Sending in the event loop: choosing an upstream and giving it work.

use std::time::Duration;

use jd_policy::PickRequest;
use jd_types::AttemptId;
use jd_types::RefusalKind;
use jd_types::StageKind;

use crate::experiment::Disturbance;
use crate::experiment::event::Event;
use crate::experiment::request::Sent;
use crate::experiment::request::UnderWay;
use crate::experiment::server::Job;
use crate::experiment::workload::PARTS;
use crate::experiment::world::PREFILL;
use crate::experiment::world::World;

impl World<'_> {
    /// Sends a request that has its slot.
    pub(super) fn send(&mut self, r: usize) {
        let Some(way) = self.requests[r].now_at.clone() else {
            return;
        };
        let call = self.requests[r].call;
        let kind = self.requests[r].run.stage().map(|s| s.kind);
        let prefix = (kind == Some(StageKind::Generate))
            .then_some((call.pipeline * 1_000 + call.customer) as u64);
        let instance = &self.instances[call.instance];
        let req = PickRequest {
            zone: &instance.hall,
            affinity: prefix,
            exclude: self.requests[r].run.tried(),
        };
        let table = &instance.pools[way.pool].table;
        let pick = table.pick(self.cell.variant.routing(), self.now, &req, &mut self.rng);
        let Some(pick) = pick else {
            self.release(call.instance, way.pool);
            self.not_sent(r, RefusalKind::NoUpstream, Duration::ZERO);
            return;
        };
        pick.upstream.attempt_started();
        let server = usize::from(pick.upstream.address.port()) - 1;
        self.requests[r].run.attempt_sent(pick.key);
        let sent = Sent {
            key: pick.key,
            upstream: pick.upstream,
            at: self.now,
        };
        let (attempt, pool) = (way.attempt, way.pool);
        let left = self.requests[r].deadline.since(self.now);
        let patience = way.patience.min(left);
        self.requests[r].now_at = Some(UnderWay {
            sent: Some(sent),
            ..way
        });
        let job = self.job(r, attempt, pool, server, prefix);
        let (number, starts) = self.servers[server].submit(job);
        if starts {
            self.start_job(server, number);
        }
        self.push(
            self.now + patience,
            Event::GiveUp {
                request: r,
                attempt,
            },
        );
    }

    fn job(
        &mut self,
        r: usize,
        attempt: AttemptId,
        pool: usize,
        server: usize,
        prefix: Option<u64>,
    ) -> Job {
        let step = self.deployment.pools[pool].step.as_secs_f64();
        let mut parts = 1.0;
        if let Some(prefix) = prefix {
            parts = PARTS / 2.0 + self.rng.f64() * PARTS;
            let known = self.servers[server].touch(prefix);
            self.prompts += 1;
            self.hits += u64::from(known);
            parts += if known { 0.0 } else { PREFILL };
        }
        let first = self.is_first_of_pool(pool, server);
        let slow = first && self.disturbed(Disturbance::Slow);
        let noise = 0.75 + self.rng.f64() * 0.5;
        let seconds = step * parts * noise * if slow { 10.0 } else { 1.0 };
        Job {
            request: r,
            attempt,
            service: Duration::from_secs_f64(seconds),
            fails: first && self.disturbed(Disturbance::Failing) && self.rng.bool(),
            silent: first && self.disturbed(Disturbance::Silent) && self.rng.u32(..3) == 0,
        }
    }

    fn is_first_of_pool(&self, pool: usize, server: usize) -> bool {
        self.deployment.pools[..pool]
            .iter()
            .map(|p| p.count)
            .sum::<usize>()
            == server
    }

    pub(super) fn start_job(&mut self, server: usize, job: usize) {
        let service = self.servers[server].jobs[job].service;
        self.push(self.now + service, Event::Done { server, job });
    }
}
