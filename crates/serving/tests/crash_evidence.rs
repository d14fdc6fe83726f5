//! Which requests are taken to end upstreams, and which are not.

use std::time::Duration;

use jd_serving::BrokenRun;
use jd_serving::CompletedRun;
use jd_serving::Content;
use jd_serving::CrashEvidence;
use jd_serving::Findings;
use jd_serving::UpstreamCrash;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;

/// A request that ends upstreams, and others.
const BAD: u64 = 1;
const OTHER: u64 = 2;
const THIRD: u64 = 3;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

/// An upstream of that name ended, with runs that began at these times.
fn end(upstream: u64, ms: u64, runs: &[(u64, u64)]) -> UpstreamCrash {
    let runs = runs.iter().map(|(content, began)| BrokenRun {
        content: Content::from_number(*content),
        began: at(*began),
    });
    UpstreamCrash {
        service: "pool".into(),
        upstream: upstream.to_string().into(),
        start: UpstreamStart::at_millis(1),
        at: at(ms),
        runs: runs.collect(),
    }
}

fn good(service: &str, content: u64, ms: u64) -> CompletedRun {
    CompletedRun {
        service: service.into(),
        content: Content::from_number(content),
        at: at(ms),
    }
}

/// Takes ends in as they come, and looks every 100 ms until the given time. Findings
/// of the last look, and when something was first quarantined.
fn play(ends: Vec<UpstreamCrash>, until: u64) -> (Findings, Vec<(u64, u64)>) {
    let mut evidence = CrashEvidence::default();
    play_on(&mut evidence, ends, 0, until)
}

fn play_on(
    evidence: &mut CrashEvidence,
    ends: Vec<UpstreamCrash>,
    from: u64,
    until: u64,
) -> (Findings, Vec<(u64, u64)>) {
    let mut ends = ends.into_iter().peekable();
    let mut first: Vec<(u64, u64)> = Vec::new();
    let mut last = Findings::default();
    for ms in (from..=until).step_by(100) {
        while let Some(end) = ends.next_if(|e| e.at <= at(ms)) {
            evidence.record_crash(at(ms), end);
        }
        last = evidence.findings(at(ms));
        for found in &last.quarantined {
            let number = found.content.number();
            if !first.iter().any(|(_, n)| *n == number) {
                first.push((ms, number));
            }
        }
    }
    (last, first)
}

fn numbers(findings: &[jd_serving::Finding]) -> Vec<u64> {
    findings.iter().map(|f| f.content.number()).collect()
}

/// A request ends an upstream each 600 ms. It is found within 3 s of the third end,
/// and before three more have ended.
#[test]
fn what_ends_three_upstreams_one_after_the_other_is_quarantined_in_time() {
    let ends = (0..8).map(|n| end(n, 1_000 + n * 600, &[(BAD, 900 + n * 600)]));
    let (_, first) = play(ends.collect(), 10_000);
    let (when, who) = first[0];
    let third = 1_000 + 2 * 600;
    assert_eq!(who, BAD);
    assert!(
        when <= third + 1_200,
        "found at {when}, third end at {third}"
    );
}

/// A rack loses power with nine upstreams, and a request that many callers repeat was at
/// each of them. It ends nothing: it was there nine times at one moment.
#[test]
fn a_loss_of_power_under_a_repeated_request_is_one_end() {
    let ends = (0..9).map(|n| end(n, 1_000 + n, &[(OTHER, 950 + n % 3)]));
    let (last, first) = play(ends.collect(), 10_000);
    assert_eq!(first, []);
    assert_eq!(last, Findings::default());
}

/// Power is lost three times, seconds apart, under a request that is always there. In
/// between it has run well, as somebody remembers who is asked at the second end.
#[test]
fn a_request_that_ran_well_between_losses_is_not_held_against() {
    let mut evidence = CrashEvidence::default();
    let loss = |k: u64| -> Vec<UpstreamCrash> {
        let one = move |n: u64| end(k * 9 + n, k * 4_000 + n, &[(OTHER, k * 4_000 - 100)]);
        (0..9).map(one).collect()
    };
    play_on(&mut evidence, loss(1), 0, 5_000);
    let (last, _) = play_on(&mut evidence, loss(2), 5_100, 9_000);
    assert_eq!(numbers(&last.suspected), [OTHER]);
    evidence.record_completed_run(&good("pool", OTHER, 8_900));
    let (last, first) = play_on(&mut evidence, loss(3), 9_100, 20_000);
    assert_eq!(first, []);
    assert_eq!(last, Findings::default());
}

/// A run that ended well at the service of a stage says nothing of the model's upstreams,
/// which the same request ends.
#[test]
fn a_run_at_another_service_speaks_for_nobody() {
    let mut evidence = CrashEvidence::default();
    for n in 0..3 {
        let ended = end(n, 1_000 + n * 600, &[(BAD, 900 + n * 600)]);
        evidence.record_crash(at(1_000 + n * 600), ended);
    }
    evidence.record_completed_run(&good("stage", BAD, 2_250));
    let (last, _) = play_on(&mut evidence, Vec::new(), 2_300, 6_000);
    assert_eq!(numbers(&last.quarantined), [BAD]);
}

/// A request ran well, and a moment later it ends each upstream that runs it. That it ran
/// before speaks for it at no end that came after.
#[test]
fn a_run_before_speaks_against_no_end_after_it() {
    let mut evidence = CrashEvidence::default();
    for n in 0..3 {
        let ms = 1_000 + n * 600;
        evidence.record_crash(at(ms), end(n, ms, &[(BAD, ms - 100)]));
        assert!(!evidence.record_completed_run(&good("pool", BAD, 850)));
    }
    let (last, _) = play_on(&mut evidence, Vec::new(), 2_300, 6_000);
    assert_eq!(numbers(&last.quarantined), [BAD]);
}

/// Two requests are at every upstream that ends, and one of them is innocent: a hot one,
/// sent again and again. The other's runs end sooner. Who it is shows: it alone is held.
#[test]
fn a_neighbour_at_every_end_is_cleared_by_the_one_that_explains_them() {
    let ends = (0..5).map(|n| {
        let ms = 1_000 + n * 700;
        end(n, ms, &[(OTHER, ms - 400), (BAD, ms - 80)])
    });
    let (last, first) = play(ends.collect(), 12_000);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].1, BAD);
    assert_eq!(numbers(&last.quarantined), [BAD]);
    assert_eq!(last.suspected, []);
}

/// A hot request is at every upstream many times over, and its newest run there has just
/// begun when the upstream ends. Its oldest one there shows that it had been begun long
/// before, and ended nothing.
#[test]
fn a_hot_neighbour_whose_newest_run_is_the_freshest_is_not_held() {
    let ends = (0..6).map(|n| {
        let ms = 1_000 + n * 900;
        end(n, ms, &[(OTHER, ms - 700), (BAD, ms - 80), (OTHER, ms - 5)])
    });
    let (last, first) = play(ends.collect(), 12_000);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].1, BAD);
    assert_eq!(last.suspected, []);
}

/// A rack loses its upstreams one after the other within two seconds. A hot request was at
/// each of them since before the first, and new runs of it had begun there meanwhile.
#[test]
fn a_loss_that_takes_seconds_under_a_hot_request_is_one_end() {
    let ends = (0..10).map(|n| {
        let ms = 1_000 + n * 200;
        end(n, ms, &[(OTHER, 900), (OTHER, ms - 20)])
    });
    let (last, first) = play(ends.collect(), 10_000);
    assert_eq!(first, []);
    assert_eq!(last, Findings::default());
}

/// The same until the third end, and the fourth is under one of them alone. Nobody was
/// held before that, and the other one never is.
#[test]
fn of_two_that_were_always_together_nobody_is_held_until_they_part() {
    let mut evidence = CrashEvidence::default();
    let both = (0..3).map(|n| {
        let ms = 1_000 + n * 700;
        end(n, ms, &[(OTHER, ms - 50), (BAD, ms - 80)])
    });
    let (_, first) = play_on(&mut evidence, both.collect(), 0, 4_000);
    assert_eq!(first, []);
    let alone = vec![end(3, 4_100, &[(BAD, 4_050)])];
    let (last, first) = play_on(&mut evidence, alone, 4_100, 7_000);
    assert_eq!(first.len(), 1);
    assert_eq!(numbers(&last.quarantined), [BAD]);
}

/// They do not part at the fourth end, and the innocent one's runs were ended sooner, so
/// that it is held. Upstreams go on ending: the other is found and the first released.
#[test]
fn a_neighbour_that_was_held_first_is_released_once_the_other_is_found() {
    let mut evidence = CrashEvidence::default();
    let both = (0..4).map(|n| {
        let ms = 1_000 + n * 700;
        end(n, ms, &[(OTHER, ms - 50), (BAD, ms - 80)])
    });
    let (last, _) = play_on(&mut evidence, both.collect(), 0, 4_500);
    assert_eq!(numbers(&last.quarantined), [OTHER]);
    evidence.record_crash(at(4_600), end(4, 4_600, &[(BAD, 4_550)]));
    let mut released = Vec::new();
    for ms in (4_600..7_000).step_by(100) {
        released.extend(evidence.findings(at(ms)).released);
    }
    assert_eq!(released, [Content::from_number(OTHER)]);
    assert_eq!(numbers(&evidence.findings(at(7_000)).quarantined), [BAD]);
}

/// Two requests each end upstreams of their own. Both are found.
#[test]
fn two_requests_that_end_upstreams_are_both_found() {
    let ends = (0..8).map(|n| {
        let ms = 1_000 + n * 500;
        let who = [BAD, OTHER][n as usize % 2];
        end(n, ms, &[(who, ms - 80), (THIRD + n, ms - 900)])
    });
    let (last, _) = play(ends.collect(), 12_000);
    let mut found = numbers(&last.quarantined);
    found.sort_unstable();
    assert_eq!(found, [BAD, OTHER]);
    assert_eq!(last.suspected, []);
}

/// The same where each has ended three. That another one has ended as many, elsewhere, is no
/// reason to wait for a fourth.
#[test]
fn two_requests_that_end_three_upstreams_each_are_found_after_three() {
    let ends = (0..6).map(|n| {
        let ms = 1_000 + n * 300;
        let who = [BAD, OTHER][n as usize % 2];
        end(n, ms, &[(who, ms - 80)])
    });
    let (last, _) = play(ends.collect(), 8_000);
    let mut found = numbers(&last.quarantined);
    found.sort_unstable();
    assert_eq!(found, [BAD, OTHER]);
}

/// An instance is cut off from upstreams that refuse it, three times. They are listed
/// long after, since they had not ended: what was held is taken back.
#[test]
fn upstreams_that_are_still_listed_have_not_ended() {
    let mut evidence = CrashEvidence::default();
    let ends = (0..3).map(|n| end(n, 1_000 + n * 600, &[(OTHER, 900 + n * 600)]));
    let (last, _) = play_on(&mut evidence, ends.collect(), 0, 4_000);
    assert_eq!(numbers(&last.quarantined), [OTHER]);
    evidence.discard_listed(at(12_000), |_, _| true);
    let findings = evidence.findings(at(12_000));
    assert_eq!(findings.quarantined, []);
    assert_eq!(findings.released, [Content::from_number(OTHER)]);
}

/// One customer's requests, each new, end upstreams at which another's request is, that
/// has run well beside. Who saw it run says so, and it is not held against.
#[test]
fn requests_of_one_customer_do_not_turn_anothers_away() {
    let mut evidence = CrashEvidence::default();
    let mut quarantined = Vec::new();
    for n in 0..10 {
        let ms = 1_000 + n * 1_500;
        let ended = end(n, ms, &[(100 + n, ms - 60), (OTHER, ms - 300)]);
        evidence.record_crash(at(ms), ended);
        for later in (ms..ms + 1_500).step_by(100) {
            let findings = evidence.findings(at(later));
            quarantined.extend(numbers(&findings.quarantined));
            if numbers(&findings.suspected).contains(&OTHER) {
                evidence.record_completed_run(&good("pool", OTHER, later));
            }
        }
    }
    assert_eq!(quarantined, []);
}

/// After its quarantine has lapsed a request is let through, and ends one upstream more.
#[test]
fn one_end_more_is_enough_after_a_quarantine_has_lapsed() {
    let mut evidence = CrashEvidence::default();
    let ends = (0..3).map(|n| end(n, 1_000 + n * 600, &[(BAD, 900 + n * 600)]));
    play_on(&mut evidence, ends.collect(), 0, 4_000);
    let later = 700_000;
    evidence.record_crash(at(later), end(9, later, &[(BAD, later - 80)]));
    let findings = evidence.findings(at(later + 300));
    assert_eq!(numbers(&findings.quarantined), [BAD]);
}

/// Upstreams end by the thousand for months: what is kept stays bounded, and forgetting
/// an end releases nobody.
#[test]
fn evidence_is_bounded_and_what_it_forgets_releases_nobody() {
    let mut evidence = CrashEvidence::default();
    let ends = (0..3).map(|n| end(n, 1_000 + n * 600, &[(BAD, 900 + n * 600)]));
    let (last, _) = play_on(&mut evidence, ends.collect(), 0, 4_000);
    assert_eq!(numbers(&last.quarantined), [BAD]);
    for n in 10..2_000 {
        let ms = 4_000 + n * 10;
        evidence.record_crash(at(ms), end(n, ms, &[(1_000 + n, ms - 5)]));
        assert_eq!(evidence.findings(at(ms)).released, []);
    }
}
