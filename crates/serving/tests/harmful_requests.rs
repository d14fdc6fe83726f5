//! Several requests that crash upstreams at once, among sound ones, in seeded random orders.

use std::collections::HashMap;
use std::time::Duration;

use jd_serving::BrokenRun;
use jd_serving::Content;
use jd_serving::CrashEvidence;
use jd_serving::RunContents;
use jd_serving::SoundRun;
use jd_serving::Suspicion;
use jd_serving::UpstreamCrash;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use test_case::test_case;

/// The users' bound for news between instances in touch, and the arrivals that they allow after it.
const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
/// How long each play lasts, and its steps.
const PLAY_MS: u64 = 30_000;
const STEP_MS: u64 = 10;
const UPSTREAMS: usize = 12;
/// Numbers of sound requests, the first of which are sent again and again.
const FIRST_SOUND: u64 = 100;
const REPEATED: u64 = 6;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

fn contents(number: u64) -> RunContents {
    RunContents::of_request(Content::from_number(number))
}

/// A run at an upstream.
#[derive(Debug, Clone, Copy)]
struct Run {
    number: u64,
    sent: u64,
    answers: u64,
    ends: u64,
}

/// An upstream: its runs, when it is back if it is down, and its name.
#[derive(Debug, Default, Clone)]
struct Place {
    runs: Vec<Run>,
    back_at: u64,
    name: u64,
}

/// A fleet in virtual time, with one coordinator.
#[derive(Debug)]
struct Play {
    rng: fastrand::Rng,
    evidence: CrashEvidence,
    places: Vec<Place>,
    names: u64,
    held: HashMap<u64, u64>,
    announced: HashMap<Content, u64>,
    suspected: Vec<u64>,
    last_sound: HashMap<u64, u64>,
    crashes: HashMap<u64, Vec<u64>>,
    arrivals: Vec<(u64, u64)>,
}

impl Play {
    fn new(seed: u64) -> Play {
        Play {
            rng: fastrand::Rng::with_seed(seed),
            evidence: CrashEvidence::default(),
            places: vec![Place::default(); UPSTREAMS],
            names: 0,
            held: HashMap::new(),
            announced: HashMap::new(),
            suspected: Vec::new(),
            last_sound: HashMap::new(),
            crashes: HashMap::new(),
            arrivals: Vec::new(),
        }
    }

    fn send(&mut self, now: u64, number: u64, takes: u64) {
        if self.held.contains_key(&number) {
            return;
        }
        let up: Vec<usize> = (0..UPSTREAMS)
            .filter(|p| self.places[*p].back_at <= now)
            .collect();
        let Some(place) = self.rng.choice(up) else {
            return;
        };
        let answers = now + self.rng.u64(20..400);
        self.arrivals.push((now, number));
        self.places[place].runs.push(Run {
            number,
            sent: now,
            answers,
            ends: answers + takes,
        });
    }

    fn sound(&mut self, run: Run) {
        self.last_sound.insert(run.number, run.answers);
        self.report_sound(run.number);
    }

    fn report_sound(&mut self, number: u64) {
        if let Some(answered) = self.last_sound.get(&number) {
            self.evidence.record_sound_run(&SoundRun {
                service: "pool".into(),
                contents: contents(number),
                at: at(*answered),
            });
        }
    }

    fn crash(&mut self, now: u64, place: usize, by: u64) {
        self.crashes.entry(by).or_default().push(now);
        self.names += 1;
        let back_at = now + 4_000;
        let name = self.names;
        let lost = std::mem::replace(
            &mut self.places[place],
            Place {
                back_at,
                name,
                ..Place::default()
            },
        );
        let runs = lost.runs.iter().map(|run| BrokenRun {
            contents: contents(run.number),
            began: at(run.sent),
            answered: (run.answers <= now).then(|| at(run.answers)),
        });
        self.evidence.record_crash(
            at(now + 35),
            UpstreamCrash {
                service: "pool".into(),
                upstream: format!("{place}-{}", lost.name).as_str().into(),
                start: UpstreamStart::at_millis(1),
                at: at(now),
                runs: runs.collect(),
            },
        );
    }

    /// Ends what is due at the upstreams: sound runs, and upstreams with their runs.
    fn step(&mut self, now: u64) {
        for place in 0..UPSTREAMS {
            let runs = self.places[place].runs.clone();
            let harmful = runs
                .iter()
                .find(|r| r.number < FIRST_SOUND && r.ends <= now);
            if let Some(run) = harmful {
                self.crash(now, place, run.number);
                continue;
            }
            let (done, left): (Vec<Run>, Vec<Run>) = runs.into_iter().partition(|r| r.ends <= now);
            self.places[place].runs = left;
            for run in done {
                self.sound(run);
            }
        }
    }

    fn evaluate(&mut self, now: u64) {
        let announced = &self.announced;
        let findings = self.evidence.findings(at(now), |content| {
            announced.get(&content).map(|since| Suspicion {
                since: at(*since),
                is_recorded: false,
            })
        });
        for found in &findings.suspected {
            self.announced.entry(found.content).or_insert(now);
        }
        for found in &findings.quarantined {
            self.held.entry(found.content.number()).or_insert(now);
        }
        let suspected = findings.suspected.iter().map(|f| f.content.number());
        self.suspected = suspected.collect();
        // Instances report the sound runs that they remember.
        for number in self.suspected.clone() {
            self.report_sound(number);
        }
        for content in findings.released {
            self.held.remove(&content.number());
        }
    }

    fn run(mut self, harmful: u64) -> Play {
        let mut next: Vec<u64> = (0..harmful).map(|_| self.rng.u64(500..3_000)).collect();
        let mut fresh = FIRST_SOUND + REPEATED;
        for now in (0..PLAY_MS).step_by(STEP_MS as usize) {
            self.step(now);
            if now % 100 == 0 {
                self.evaluate(now);
            }
            for (number, due) in next.iter_mut().enumerate() {
                if *due <= now {
                    *due = now + self.rng.u64(200..900);
                    let takes = self.rng.u64(20..130);
                    self.send(now, number as u64, takes);
                }
            }
            if self.rng.u64(..100) < 20 {
                let takes = self.rng.u64(30..1_500);
                fresh += 1;
                self.send(now, fresh, takes);
            }
            if self.rng.u64(..100) < 15 {
                let takes = self.rng.u64(30..900);
                let number = FIRST_SOUND + self.rng.u64(..REPEATED);
                self.send(now, number, takes);
            }
        }
        self
    }
}

/// Guards against requests that go on reaching upstreams because their crashes are held against each
/// other or against sound ones, and against sound ones that are held for them.
#[test_case(1 ; "one")]
#[test_case(2 ; "two")]
#[test_case(3 ; "three")]
fn harmful_requests_at_once_are_each_found_and_no_sound_one(harmful: u64) {
    for seed in 0..60 {
        let play = Play::new(seed).run(harmful);
        for number in 0..harmful {
            let crashes = &play.crashes[&number];
            assert!(play.held.contains_key(&number), "seed {seed}: {crashes:?}");
            // One that is also present at the ends of another may be held before its third one.
            let Some(third) = crashes.get(2) else {
                continue;
            };
            let bound = third + CONTACT_MS;
            let late = play.arrivals.iter();
            let late = late.filter(|(at, n)| *n == number && *at > bound).count();
            assert!(
                late <= MAX_LATE,
                "seed {seed}: {late} late arrivals of {number}, crashes {crashes:?}, held {:?}",
                play.held.get(&number)
            );
        }
        let innocent: Vec<&u64> = play.held.keys().filter(|n| **n >= FIRST_SOUND).collect();
        assert!(innocent.is_empty(), "seed {seed}: held {innocent:?}");
    }
}
