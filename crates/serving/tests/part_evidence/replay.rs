//! Replays crashes of upstreams in virtual time, as the coordinator of the quarantine hears of them.

use std::collections::HashMap;
use std::time::Duration;

use jd_serving::BrokenRun;
use jd_serving::Content;
use jd_serving::CrashEvidence;
use jd_serving::PartContent;
use jd_serving::Prompt;
use jd_serving::PromptPart;
use jd_serving::RunContents;
use jd_serving::SoundRun;
use jd_serving::Suspicion;
use jd_serving::UpstreamCrash;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;

pub(crate) fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

/// The contents of a request of a customer, with these shared parts and a number of its own.
pub(crate) fn contents(customer: &str, shared: &[u64], own: u64) -> RunContents {
    let own_part = 1_000_000 + own;
    let ids = shared.iter().chain([&own_part]);
    let prompt = Prompt {
        parts: ids.map(|id| PromptPart { id: *id, tokens: 9 }).collect(),
        ..Prompt::default()
    };
    RunContents::new(
        Content::from_number(own),
        "pool",
        Some(customer),
        Some(&prompt),
    )
}

/// The numbers of a part.
pub(crate) fn part(customer: &str, id: u64) -> PartContent {
    contents(customer, &[id], 0).parts[0]
}

/// A run that was broken off: sent and answered this long before the crash.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    pub(crate) customer: &'a str,
    pub(crate) shared: &'a [u64],
    pub(crate) sent_before: u64,
    pub(crate) answered_before: Option<u64>,
    /// The number of the request; one of its own if there is none.
    pub(crate) request: Option<u64>,
}

/// A run that had just begun to answer.
pub(crate) fn fresh<'a>(shared: &'a [u64]) -> Run<'a> {
    Run {
        customer: "a",
        shared,
        sent_before: 900,
        answered_before: Some(80),
        request: None,
    }
}

/// What the coordinator hears, in virtual time.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) evidence: CrashEvidence,
    /// Since when all instances know of each suspicion.
    pub(crate) announced: HashMap<Content, u64>,
    pub(crate) now: u64,
    pub(crate) upstreams: u64,
    pub(crate) requests: u64,
    /// When each content was first quarantined, and what is quarantined now.
    pub(crate) found: Vec<(u64, Content)>,
    pub(crate) held: Vec<Content>,
}

impl Replay {
    /// Evaluates the evidence every 50 ms up to this time.
    pub(crate) fn advance(&mut self, until: u64) {
        while self.now < until {
            self.now += 50;
            let announced = &self.announced;
            let findings = self.evidence.findings(at(self.now), |content| {
                announced.get(&content).map(|since| Suspicion {
                    since: at(*since),
                    is_recorded: false,
                })
            });
            for found in &findings.suspected {
                self.announced.entry(found.content).or_insert(self.now);
            }
            self.held = findings.quarantined.iter().map(|f| f.content).collect();
            for content in &self.held {
                if !self.found.iter().any(|(_, c)| c == content) {
                    self.found.push((self.now, *content));
                }
            }
        }
    }

    /// An upstream crashes, with these runs.
    pub(crate) fn crash(&mut self, ms: u64, runs: &[Run<'_>]) {
        self.advance(ms);
        self.upstreams += 1;
        let mut broken = Vec::new();
        for run in runs {
            self.requests += 1;
            broken.push(BrokenRun {
                contents: contents(
                    run.customer,
                    run.shared,
                    run.request.unwrap_or(self.requests),
                ),
                began: at(ms - run.sent_before),
                answered: run.answered_before.map(|before| at(ms - before)),
            });
        }
        let crash = UpstreamCrash {
            service: "pool".into(),
            upstream: self.upstreams.to_string().into(),
            start: UpstreamStart::at_millis(1),
            at: at(ms),
            runs: broken,
        };
        self.evidence.record_crash(at(ms), crash);
    }

    /// A sound run whose answer began at this time is reported.
    pub(crate) fn sound(&mut self, customer: &str, shared: &[u64], began: u64) {
        self.requests += 1;
        self.evidence.record_sound_run(&SoundRun {
            service: "pool".into(),
            contents: contents(customer, shared, self.requests),
            at: at(began),
        });
    }
}
