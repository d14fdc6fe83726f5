//! Tests of breakdowns and request histories that are made from log lines.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use jd_explain::Breakdown;
use jd_explain::Cause;
use jd_explain::LateThresholds;
use jd_explain::Log;
use jd_explain::request_history;
use test_case::test_case;

/// A log line as instances write it; `time` is the second and fraction within one minute.
fn line(time: &str, message: &str, values: &str) -> String {
    format!(
        r#"{{"level":"INFO","timestamp":"2026-01-01 10:00:{time} +00:00","kv":{{{values}}},"text":"{message}"}}"#
    )
}

fn log(lines: &[String]) -> Log {
    let mut log = Log::default();
    log.read("a.log", lines.join("\n").as_bytes())
        .expect("memory can be read");
    log
}

fn breakdown(lines: &[String], late: &LateThresholds) -> Breakdown {
    Breakdown::of(log(lines).lines(), late)
}

#[test_case(
    "would-miss",
    "the stages would end after the deadline",
    Cause::WouldMiss
)]
#[test_case(
    "would-miss",
    "the stages did not end before the deadline",
    Cause::StagesTimedOut
)]
#[test_case("not-serving", "no configuration is known here yet", Cause::Stale)]
#[test_case("not-serving", "the instance stops; ask another one", Cause::Stopping)]
#[test_case("upstream-failed", "the instance stops", Cause::Stopping)]
#[test_case(
    "no-upstream",
    "it is not known which software version began the stream; begin it anew",
    Cause::UnknownStream
)]
#[test_case("no-upstream", "no upstream does one of the stages", Cause::NoUpstream)]
#[test_case("unauthenticated", "", Cause::NotAllowed)]
#[test_case("deadline-passed", "no answer in time", Cause::UpstreamTimedOut)]
#[test_case("new-kind", "", Cause::Other)]
fn a_refusal_has_a_cause(outcome: &str, detail: &str, cause: Cause) {
    let values = format!(r#""request":"r1","outcome":"{outcome}","detail":"{detail}""#);
    let counted = breakdown(
        &[line("01.5", "refused", &values)],
        &LateThresholds::default(),
    );
    assert_eq!(counted.count_of(cause), 1);
}

/// Guards against requests that are left unanswered by an instance that ends, and are in no table.
#[test]
fn a_request_that_is_open_when_its_instance_ends_has_a_cause() {
    let values = r#""request":"r1","waits_for":"answer","answer":"begun""#;
    let lines = [line("01.5", "request open at the end", values)];
    let counted = breakdown(&lines, &LateThresholds::default());
    assert_eq!(counted.count_of(Cause::OpenAtEnd), 1);
}

/// Late answers are attributed to the stages or to the upstream, whichever took longer,
/// since the two have different remedies.
#[test]
fn a_late_answer_is_attributed_to_the_longest_phase() {
    let lines = [
        line("01.1", "stages ended", r#""request":"r1","ms":900"#),
        line(
            "01.2",
            "answer began",
            r#""request":"r1","ms":1000,"route":"x""#,
        ),
        line("02.1", "stages ended", r#""request":"r2","ms":100"#),
        line(
            "02.2",
            "answer began",
            r#""request":"r2","ms":1000,"route":"x""#,
        ),
        line(
            "02.3",
            "answer began",
            r#""request":"r3","ms":1000,"route":"y""#,
        ),
    ];
    let mut late = LateThresholds::default();
    late.routes.insert("x".into(), Duration::from_millis(700));
    let counted = breakdown(&lines, &late);
    assert_eq!(counted.answers(), 3);
    assert_eq!(counted.count_of(Cause::LateByStages), 1);
    assert_eq!(counted.count_of(Cause::LateByUpstream), 1);
}

/// A killed instance leaves a truncated line, and log collectors put a prefix before each
/// line. Neither may keep the rest of the log from being read.
#[test]
fn truncated_lines_are_counted_and_reported() {
    let complete = line(
        "01.0",
        "refused",
        r#""request":"r1","outcome":"overloaded""#,
    );
    let truncated = complete[..60].to_owned();
    let lines = [
        format!("edge-1 {complete}"),
        truncated,
        "hello".to_owned(),
        String::new(),
    ];
    let mut log = log(&lines);
    assert_eq!(log.lines().len(), 1);
    let (reported, count) = log.malformed();
    assert_eq!(count, 2);
    assert!(
        reported[0].to_string().starts_with("a.log:2: "),
        "{}",
        reported[0]
    );
    assert_eq!(reported[1].number, 3);
}

/// The owner of the stages and the instance that accepted the request log to different
/// files.
#[test]
fn a_request_history_is_in_order_across_files() {
    let mut log = Log::default();
    let late = line("05.0", "answered", r#""request":"r1","ms":4000"#);
    let other = line("03.0", "answered", r#""request":"r2","ms":4"#);
    let early = line("01.0", "attempt failed", r#""request":"r1","upstream":"u""#);
    log.read("b", late.as_bytes()).expect("memory can be read");
    log.read("a", [other, early].join("\n").as_bytes())
        .expect("memory can be read");
    let history = request_history(log.lines(), "r1");
    let texts: Vec<&str> = history.lines().collect();
    assert_eq!(texts.len(), 2);
    assert!(texts[0].contains("attempt failed") && texts[1].contains("answered"));
    assert!(request_history(log.lines(), "r9").is_empty());
}

/// A quarantined request is refused without a failed attempt of its own. Its history
/// includes the crashes of upstreams that other instances logged for the same content,
/// and the decision made on them.
#[test]
fn a_quarantined_request_is_listed_with_the_crashes_behind_it() {
    let lines = [
        line(
            "01.0",
            "runs broke at an upstream",
            r#""upstream":"u1","contents":"c9 c1","outcome":"ended""#,
        ),
        line(
            "02.0",
            "upstreams ended with this content",
            r#""content":"c1","ends":3"#,
        ),
        line(
            "02.5",
            "upstreams ended with this content",
            r#""content":"c2""#,
        ),
        line(
            "03.0",
            "refused",
            r#""request":"r1","content":"c1","outcome":"quarantined""#,
        ),
        line("04.0", "answered", r#""request":"r2","content":"c1""#),
    ];
    let mut log = log(&lines);
    let history = request_history(log.lines(), "r1");
    assert_eq!(history.lines().count(), 3, "{history}");
    let counted = Breakdown::of(log.lines(), &LateThresholds::default());
    assert_eq!(counted.count_of(Cause::Quarantined), 1);
}

/// A request is refused because of a part of its prompt, which is held for one customer. Its
/// history includes the crashes at which the part was present in other requests.
#[test]
fn a_request_with_a_quarantined_part_is_listed_with_the_crashes_behind_it() {
    let lines = [
        line(
            "01.0",
            "runs broke at an upstream",
            r#""upstream":"u1","contents":"c8 c9","parts":"p1 p2","outcome":"ended""#,
        ),
        line(
            "01.5",
            "runs broke at an upstream",
            r#""upstream":"u2","contents":"c7","parts":"p2","outcome":"ended""#,
        ),
        line(
            "02.0",
            "upstreams ended with this content",
            r#""content":"k1","ends":3"#,
        ),
        line(
            "03.0",
            "refused",
            r#""request":"r1","content":"c1","held":"k1","held_part":"p1","outcome":"quarantined""#,
        ),
    ];
    let mut log = log(&lines);
    let history = request_history(log.lines(), "r1");
    assert_eq!(history.lines().count(), 3, "{history}");
    assert!(!history.contains("u2"), "{history}");
}

#[test]
fn a_request_refused_by_limited_upstreams_is_listed() {
    let lines = [
        line(
            "01.0",
            "attempt withheld",
            r#""request":"r1","upstream":"u1","reason":"the upstream takes no more for now""#,
        ),
        line("01.1", "refused", r#""request":"r1","outcome":"limited""#),
    ];
    let mut log = log(&lines);
    let history = request_history(log.lines(), "r1");
    assert_eq!(history.lines().count(), 2, "{history}");
    let counted = Breakdown::of(log.lines(), &LateThresholds::default());
    assert_eq!(counted.count_of(Cause::Limited), 1);
}

#[test]
fn pieces_are_counted_by_outcome() {
    let lines = [
        line(
            "01.0",
            "call for pieces",
            r#""outcome":"12 done, 2 no-room","pieces":14"#,
        ),
        line("01.0", "call for pieces", r#""outcome":"Full","pieces":5"#),
    ];
    let text = breakdown(&lines, &LateThresholds::default()).to_string();
    for expected in ["12  done", "2  no-room", "5  Full"] {
        assert!(text.contains(expected), "{text}");
    }
}

/// Guards against one cause for streams whose time was over and those that nothing went on with.
#[test_case(r#""outcome":"truncated","reason":"no-run-left""#, Cause::Truncated; "not resumed")]
#[test_case(r#""outcome":"timed-out","reason":"deadline""#, Cause::TruncatedAtDeadline; "at the deadline")]
#[test_case(r#""outcome":"truncated""#, Cause::Truncated; "without a reason")]
fn a_stream_that_is_cut_off_has_a_cause(values: &str, cause: Cause) {
    let values = format!(r#""request":"r1",{values}"#);
    let counted = breakdown(
        &[line("01.5", "stream cut off", &values)],
        &LateThresholds::default(),
    );
    assert_eq!(counted.count_of(cause), 1);
}
