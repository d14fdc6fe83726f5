//! Heartbeats in the event loop: loans and load reports.

use jd_policy::PeerLoadReport;

use crate::experiment::event::Event;
use crate::experiment::instance::Instance;
use crate::experiment::world::BEAT;
use crate::experiment::world::CALM_STEPS;
use crate::experiment::world::INSTANCES;
use crate::experiment::world::World;

impl World<'_> {
    /// One heartbeat of everybody with everybody: loans and load reports.
    pub(super) fn beat(&mut self) {
        self.beats += 1;
        self.push(self.now + BEAT, Event::Beat);
        let waiting = |i: &Instance| i.pools.iter().any(|p| p.gate.queue_len() > 0);
        let exchanges = self.beats % CALM_STEPS == 1 || self.instances.iter().any(waiting);
        if exchanges {
            self.exchange();
            self.report_loads();
        }
        for i in 0..INSTANCES {
            self.instances[i].set_capacities(self.now, self.cell.variant);
            for pool in 0..self.deployment.pools.len() {
                self.start_ready(i, pool);
            }
        }
    }

    fn exchange(&mut self) {
        for i in 0..INSTANCES {
            for j in (0..INSTANCES).filter(|j| *j != i && self.cell.variant.lends()) {
                let (me, peer) = (self.instances[i].me, self.instances[j].me);
                let (now, base) = (self.now, Instance::base());
                let asks = self.instances[i]
                    .loans
                    .asks(now, base, peer, INSTANCES as u32 - 1);
                let grants = self.instances[j]
                    .loans
                    .serve(now, base, me, self.beats, &asks);
                self.instances[i].loans.granted(now, peer, &grants);
            }
        }
    }

    fn report_loads(&mut self) {
        for pool in 0..self.deployment.pools.len() {
            for u in 0..self.deployment.pools[pool].count {
                let load = |i: &Instance| i.pools[pool].table.upstreams()[u].in_flight();
                let sum: u32 = self.instances.iter().map(load).sum();
                for i in &self.instances {
                    let in_flight = sum - load(i);
                    let report = PeerLoadReport {
                        in_flight,
                        received: self.now,
                    };
                    i.pools[pool].table.upstreams()[u].set_peer_load(report);
                }
            }
        }
    }
}
