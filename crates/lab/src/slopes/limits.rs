//! Limits and their parts.

use std::time::Duration;

use jd_coord::LoanBook;
use jd_coord::ShareMap;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Ppm;

use crate::slopes::Meter;
use crate::slopes::Slope;

/// Numbers of limits: customers and pools together.
const LIMITS: [usize; 4] = [13, 100, 400, 1_250];
/// The own part in these measurements.
const BASE: Ppm = Ppm::new(27_000);

pub(super) fn measure(meter: &Meter<'_>) -> Vec<Slope> {
    let peer = Incarnation::new(7);
    vec![
        meter.time(
            "limits: take and give back",
            "limits",
            &LIMITS,
            book,
            |b, n| {
                let now = MonoTime::from_millis(n / 1_000);
                let taken = b.take(now, BASE, "customer/7", now + Duration::from_secs(3));
                if taken {
                    b.give_back("customer/7");
                }
                taken
            },
        ),
        meter.time(
            "limits: what to ask one peer",
            "limits",
            &LIMITS,
            book,
            move |b, n| b.asks(MonoTime::from_millis(n), BASE, peer, 8),
        ),
        meter.time("limits: the idle part", "limits", &LIMITS, book, |b, n| {
            b.idle(MonoTime::from_millis(n), BASE)
        }),
        meter.memory("limits: book", "limits", &LIMITS, book),
        meter.message(
            "limits: record of parts",
            "owners",
            &[9, 37, 300, 1_100],
            |n| serde_json::to_string(&map(n)).map_or(0, |s| s.len()),
        ),
    ]
}

fn book(limits: usize) -> LoanBook {
    let mut book = LoanBook::default();
    for i in 0..limits {
        book.set_limit(&format!("customer/{i}"), 400);
        // One in ten is in use here at a time.
        if i % 10 == 7 {
            book.take(
                MonoTime::ZERO,
                BASE,
                &format!("customer/{i}"),
                MonoTime::from_millis(3_000),
            );
        }
    }
    book
}

fn map(owners: usize) -> ShareMap {
    let first = Incarnation::new(0x9e37_79b9_7f4a_7c15);
    let mut map = ShareMap::sole(first);
    let part = Ppm::new(Ppm::WHOLE.get() / owners as u32);
    for i in 1..owners as u64 {
        map.transfer(
            first,
            Incarnation::new(i.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            part,
        );
    }
    map
}
