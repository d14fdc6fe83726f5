//! Which address a caller should use.

use std::net::SocketAddr;
use std::time::Duration;

use jd_types::MonoTime;
use jd_types::Name;

use crate::Binding;
use crate::Member;
use crate::Members;

/// One address in an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateEntry {
    /// Where to connect.
    pub address: SocketAddr,
    /// The instance's hall.
    pub hall: Name,
    /// What an idempotency key for this address starts with.
    pub binding: Binding,
}

/// The answer to "which address do I use". The first entry is to be used, the
/// others when it cannot be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateAnswer {
    /// Addresses in order of preference; empty if nobody serves.
    pub entries: Vec<LocateEntry>,
    /// How long the answer may be kept.
    pub lifetime: Duration,
}

/// How locate answers are made.
///
/// Callers keep an answer, so each one moves a caller for a whole lifetime. It
/// is drawn at random, weighted against load: always naming the least loaded
/// instance would send it every caller that asks within one heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct LocatePolicy {
    /// How long an answer may be kept.
    pub lifetime: Duration,
    /// The most addresses in one answer.
    pub addresses: usize,
    /// How much more likely an instance of the caller's own hall is.
    pub near_weight: f64,
}

impl LocatePolicy {
    /// The defaults with another lifetime.
    pub fn with_lifetime(lifetime: Duration) -> LocatePolicy {
        LocatePolicy {
            lifetime,
            addresses: 3,
            near_weight: 4.0,
        }
    }

    /// Answers a caller in `hall`; `None` if it did not say.
    pub fn answer(
        &self,
        now: MonoTime,
        members: &Members,
        hall: Option<&Name>,
        rng: &mut fastrand::Rng,
    ) -> LocateAnswer {
        let mut rest: Vec<&Member> = members.nameable(now).collect();
        let mean = mean_load(&rest);
        let mut entries = Vec::new();
        while entries.len() < self.addresses && !rest.is_empty() {
            let weights = rest
                .iter()
                .map(|m| self.weight(m, mean, hall))
                .collect::<Vec<f64>>();
            let member = rest.swap_remove(draw(&weights, rng));
            entries.push(entry(member));
        }
        LocateAnswer {
            entries,
            lifetime: self.lifetime,
        }
    }

    /// Halls are preferred only while they are not busier than the others:
    /// the preference shrinks with the square of the load.
    fn weight(&self, member: &Member, mean: f64, hall: Option<&Name>) -> f64 {
        let near = if hall == Some(&member.hall) {
            self.near_weight
        } else {
            1.0
        };
        let load = (f64::from(member.in_flight) + 1.0) / (mean + 1.0);
        near / (load * load)
    }
}

fn mean_load(members: &[&Member]) -> f64 {
    let sum: f64 = members.iter().map(|m| f64::from(m.in_flight)).sum();
    sum / members.len().max(1) as f64
}

fn draw(weights: &[f64], rng: &mut fastrand::Rng) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = rng.f64() * total;
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left <= 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

fn entry(member: &Member) -> LocateEntry {
    LocateEntry {
        address: member.callers,
        hall: member.hall.clone(),
        binding: Binding {
            incarnation: member.incarnation,
            epoch: member.epoch,
        },
    }
}
