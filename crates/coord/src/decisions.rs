//! What was decided lately, and why.

use std::collections::VecDeque;

use compact_str::CompactString;
use jd_types::RequestId;
use jd_types::WallTime;

/// One decision on a request, with the inputs that decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// When, by the wall clock.
    pub at: WallTime,
    /// The request.
    pub request: RequestId,
    /// What was decided, such as `dispatch`, `retry` or `refuse`.
    pub what: &'static str,
    /// The inputs.
    pub why: CompactString,
}

/// A bounded ring of decisions, the oldest dropped first.
#[derive(Debug)]
pub struct DecisionLog {
    ring: VecDeque<Decision>,
    capacity: usize,
}

impl DecisionLog {
    /// A ring for `capacity` decisions.
    pub fn new(capacity: usize) -> DecisionLog {
        DecisionLog {
            ring: VecDeque::with_capacity(capacity),
            capacity,
        }
    }

    /// Notes a decision.
    pub fn note(&mut self, decision: Decision) {
        if self.ring.len() == self.capacity {
            self.ring.pop_front();
        }
        self.ring.push_back(decision);
    }

    /// The decisions on one request, oldest first.
    pub fn of(&self, request: RequestId) -> impl Iterator<Item = &Decision> {
        self.ring.iter().filter(move |d| d.request == request)
    }

    /// The newest decisions, newest first.
    pub fn newest(&self) -> impl Iterator<Item = &Decision> {
        self.ring.iter().rev()
    }
}
