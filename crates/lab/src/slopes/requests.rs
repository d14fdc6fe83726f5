//! Admission and remembered keys.

use std::time::Duration;

use bytes::Bytes;
use jd_coord::Answer;
use jd_coord::IdempotencyKey;
use jd_coord::RunAnswer;
use jd_coord::Runs;
use jd_policy::AdmissionQueue;
use jd_policy::QueueEntry;
use jd_policy::QueueEntryId;
use jd_policy::QueuePolicy;
use jd_types::CustomerKey;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Priority;
use jd_types::RequestId;

use crate::slopes::Meter;
use crate::slopes::Slope;

/// Waiting requests.
const WAITING: [usize; 3] = [1, 100, 1_000];
/// Remembered keys: two epochs at a few and at many requests a second.
const KEYS: [usize; 3] = [100, 2_000, 16_000];

pub(super) fn measure(meter: &Meter<'_>) -> Vec<Slope> {
    vec![
        meter.time(
            "admission: offer, start, release",
            "waiting",
            &WAITING,
            gate,
            |g, n| {
                g.release_slot();
                let started = g.pop_ready();
                let offer = g.request_slot(
                    MonoTime::ZERO,
                    ticket(n + 1_000_000),
                    Duration::from_micros(1),
                );
                (started, offer)
            },
        ),
        meter.memory("admission: gate", "waiting", &WAITING, gate),
        meter.time(
            "keys: decide and end",
            "keys remembered",
            &KEYS,
            runs,
            |r, n| run_one(r, n + 1_000_000),
        ),
        meter.memory("keys: table", "keys remembered", &KEYS, runs),
    ]
}

fn gate(waiting: usize) -> AdmissionQueue {
    let mut gate = AdmissionQueue::new(QueuePolicy::WeightedFair, 1, 100_000);
    for n in 0..=waiting as u64 {
        gate.request_slot(MonoTime::ZERO, ticket(n), Duration::from_micros(1));
    }
    gate
}

fn ticket(n: u64) -> QueueEntry {
    QueueEntry {
        id: QueueEntryId(n),
        customer: CustomerKey::from_index((n % 50) as u32),
        weight: 1 + (n % 3) as u32,
        priority: Priority::Normal,
        latest_start: MonoTime::from_millis(1_000_000 + n),
    }
}

fn runs(keys: usize) -> Runs {
    let mut runs = Runs::new(Incarnation::new(1));
    for n in 0..keys as u64 {
        run_one(&mut runs, n);
    }
    runs
}

fn run_one(runs: &mut Runs, n: u64) {
    let now = MonoTime::from_millis(1_000);
    let request = RequestId {
        entry: Incarnation::new(1),
        number: n,
    };
    let key = IdempotencyKey::bound(runs.binding(now), n);
    let Ok(customer) = Name::try_from("ranges") else {
        return;
    };
    runs.decide(now, &customer, &key, request);
    let answer = RunAnswer::Whole(Answer {
        request,
        output: Bytes::from_static(b"call-0123456789abcdef"),
    });
    runs.ended(now, &customer, &key, request, &answer);
}
