//! Log lines on things that others write.

use std::time::Duration;

use jd_policy::KeyedLines;
use jd_policy::LineLimit;
use jd_policy::shortened;
use jd_types::MonoTime;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

/// Guards against a line for each reading of an entry that stands.
#[test]
fn each_write_is_logged_once() {
    let mut lines = KeyedLines::default();
    for reading in 0..5 {
        let is_first = reading == 0;
        let line = lines.decide(at(reading * 2_000), "k", [0, 7]);
        assert_eq!(line.is_some_and(|l| l.is_written), is_first);
    }
    let rewritten = lines.decide(at(20_000), "k", [0, 8]);
    assert!(rewritten.is_some_and(|l| l.is_written));
    let restored = lines.decide(at(30_000), "k", [1, 8]);
    assert!(restored.is_some_and(|l| l.is_written));
}

/// Guards against as many lines, and as much memory, as another writer has entries.
#[test]
fn lines_on_many_entries_are_bounded() {
    let mut lines = KeyedLines::default();
    let mut written = 0;
    for n in 0..100_000_u64 {
        let line = lines.decide(at(1), &n.to_string(), [0, n]);
        written += u32::from(line.is_some_and(|l| l.is_written));
    }
    assert_eq!(written, LineLimit::MAX_LINES);
    let next = lines.decide(at(2_000), "k", [0, 1]);
    assert_eq!(
        next.map(|l| l.left_out),
        Some(100_000 - LineLimit::MAX_LINES)
    );
}

/// Guards against lines as long as what another writer left, and against a part of a letter.
#[test]
fn a_text_of_others_is_shortened() {
    assert_eq!(shortened("short"), "short");
    let long = "é".repeat(100_000);
    assert_eq!(shortened(&format!("a{long}")).len(), 199);
}
