//! Which engine is to load which version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jd_types::MonoTime;
use jd_types::Name;

use crate::FencingToken;

/// How long an order may take before it is given again.
const ORDER_PATIENCE: Duration = Duration::from_secs(10);
/// At least three of four engines of a model go on serving.
const SERVING_PARTS: usize = 4;

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The engine.
    pub address: SocketAddr,
    /// The model that it serves.
    pub model: Name,
    /// The version that it serves.
    pub version: u32,
    /// The version that it is loading, if it is.
    pub loading: Option<u32>,
}

/// An order to an engine. It names the state that is wanted and not a step
/// towards it, so that giving it twice does no harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub address: SocketAddr,
    /// The model.
    pub model: Name,
    /// The version that it is to serve.
    pub version: u32,
    /// The token of the duty under which the order is given.
    pub token: FencingToken,
}

/// Plans orders from what is wanted and what engines report.
///
/// Guards against the order of a holder that was paused between its check and
/// its write. Engines that check the token refuse it. Engines that do not will
/// carry it out; their report then differs from what is wanted, and whoever
/// holds the duty now orders again until it does not. Loads are paced: so many
/// at once as the store of weights bears, and never so many that less than
/// three quarters of a model's engines serve.
#[derive(Debug)]
pub struct OrderDesk {
    at_once: usize,
    given: BTreeMap<SocketAddr, Given>,
}

#[derive(Debug, Clone, Copy)]
struct Given {
    version: u32,
    when: MonoTime,
}

impl OrderDesk {
    /// A desk that has `at_once` engines load at the same time.
    pub fn new(at_once: usize) -> OrderDesk {
        OrderDesk {
            at_once,
            given: BTreeMap::new(),
        }
    }

    /// The orders to give now.
    pub fn plan(
        &mut self,
        now: MonoTime,
        token: FencingToken,
        wanted: &BTreeMap<Name, u32>,
        reports: &[EngineReport],
    ) -> Vec<Order> {
        self.settle(reports, wanted);
        let mut orders = Vec::new();
        let mut loading = reports.iter().filter(|r| r.loading.is_some()).count();
        for report in reports {
            let version = match wanted.get(&report.model) {
                Some(v) if report.version != *v || wrong_load(report, *v) => *v,
                _ => continue,
            };
            let waits = self.is_waiting(now, report.address, version);
            let redirect = wrong_load(report, version);
            let room = loading < self.at_once && has_reserve(&report.model, reports, &orders);
            if waits || report.loading == Some(version) || !(redirect || room) {
                continue;
            }
            loading += usize::from(!redirect);
            self.given
                .insert(report.address, Given { version, when: now });
            orders.push(Order {
                address: report.address,
                model: report.model.clone(),
                version,
                token,
            });
        }
        orders
    }

    fn settle(&mut self, reports: &[EngineReport], wanted: &BTreeMap<Name, u32>) {
        for r in reports {
            let settled = wanted.get(&r.model) == Some(&r.version) && r.loading.is_none();
            if settled {
                self.given.remove(&r.address);
            }
        }
    }

    fn is_waiting(&self, now: MonoTime, engine: SocketAddr, version: u32) -> bool {
        let given = self.given.get(&engine);
        given.is_some_and(|g| g.version == version && now.since(g.when) < ORDER_PATIENCE)
    }
}

fn wrong_load(report: &EngineReport, wanted: u32) -> bool {
    report.loading.is_some_and(|v| v != wanted)
}

/// True if one more engine of `model` may stop serving.
fn has_reserve(model: &Name, reports: &[EngineReport], orders: &[Order]) -> bool {
    let of_model = reports.iter().filter(|r| r.model == *model);
    let total = of_model.clone().count();
    let away = of_model.filter(|r| r.loading.is_some()).count()
        + orders.iter().filter(|o| o.model == *model).count();
    let allowed = (total / SERVING_PARTS).max(1);
    away < allowed
}
