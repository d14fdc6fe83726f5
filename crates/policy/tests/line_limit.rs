//! Which log lines of a crowd are written.

use jd_policy::LineDecision;
use jd_policy::LineLimit;
use jd_types::MonoTime;
use proptest::prelude::prop;
use proptest::proptest;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

/// Guards against a crowd that fills the log.
#[test]
fn lines_beyond_the_limit_are_counted_in_one() {
    let mut limit = LineLimit::default();
    for _ in 0..LineLimit::MAX_LINES {
        let written = LineDecision {
            is_written: true,
            left_out: 0,
        };
        assert_eq!(limit.decide(at(0)), written);
    }
    for ms in [0, 1, 999] {
        assert!(!limit.decide(at(ms)).is_written);
    }
    let next = LineDecision {
        is_written: true,
        left_out: 3,
    };
    assert_eq!(limit.decide(at(1_000)), next);
    assert_eq!(limit.decide(at(2_000)).left_out, 0);
}

proptest! {
    /// Guards against lines that are neither written nor counted, and against more than the limit in a
    /// second, at any times.
    #[test]
    fn no_line_is_lost(pauses in prop::collection::vec(0_u64..4, 1..2_000)) {
        let mut limit = LineLimit::default();
        let mut ms = 0;
        let (mut written, mut left_out) = (Vec::new(), 0);
        for pause in &pauses {
            ms += pause;
            let decision = limit.decide(at(ms));
            left_out += decision.left_out as usize;
            if decision.is_written {
                written.push(ms);
            }
        }
        left_out += limit.decide(at(ms + 10_000)).left_out as usize;
        assert_eq!(written.len() + left_out, pauses.len());
        // A second overlaps two windows at most.
        let bound = 2 * LineLimit::MAX_LINES as usize;
        for (n, began) in written.iter().enumerate() {
            let within = written[n..].iter().take_while(|w| **w < began + 1_000);
            assert!(within.count() <= bound);
        }
    }
}
