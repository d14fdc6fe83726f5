//! A fleet whose coordinators lose the store, stand still, are cut off or start again, in seeded random
//! orders, while requests crash upstreams. The decisions are those of instances, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::BrokenRun;
use jd_serving::Content;
use jd_serving::CoordinatorAnswer;
use jd_serving::CoordinatorAnswers;
use jd_serving::CrashEvidence;
use jd_serving::CrashLog;
use jd_serving::DecidesOn;
use jd_serving::Finding;
use jd_serving::QUARANTINE_TTL;
use jd_serving::QuarantineList;
use jd_serving::QuarantinePhase;
use jd_serving::QuarantineState;
use jd_serving::RecentRuns;
use jd_serving::RunContents;
use jd_serving::SoundRun;
use jd_serving::Suspicion;
use jd_serving::UpstreamCrash;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use test_case::test_case;

const INSTANCES: usize = 7;
const STEP_MS: u64 = 10;
const PLAY_MS: u64 = 25_000;
/// The users' bound for news between instances in touch, and the arrivals that they allow after it.
const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
/// How long a message takes between instances, and how long one waits for an answer.
const DELAY_MS: u64 = 10;
const SLOW_MS: u64 = 250;
const TIMEOUT_MS: u64 = 400;
/// How often the evidence is evaluated, and heartbeats are sent without news.
const EVALUATE_MS: u64 = 250;
const HEARTBEAT_MS: u64 = 400;
/// How long all instances know of a suspicion before it becomes a quarantine.
const ASKED_FOR: Duration = Duration::from_millis(1_250);
/// The first number of requests that are sound.
const FIRST_SOUND: u64 = 100;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16))
}

fn contents(number: u64) -> RunContents {
    RunContents::of_request(Content::from_number(number))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    NoStore,
    Frozen,
    /// Cut off from all other instances.
    Cut,
    /// What it sends to others is lost.
    CutOneWay,
    Slow,
    /// It starts again, and has lost what it knew.
    Restarted,
}

type Entry = (Content, QuarantineState, Duration);

#[derive(Debug, Clone)]
enum Message {
    Report {
        crashes: Vec<UpstreamCrash>,
        sound: Vec<SoundRun>,
        count: u64,
    },
    Answer {
        answer: CoordinatorAnswer,
        incarnation: u64,
        count: u64,
    },
    Heartbeat(Vec<Entry>),
}

#[derive(Debug, Default)]
struct Instance {
    evidence: CrashEvidence,
    answers: CoordinatorAnswers,
    log: CrashLog,
    list: QuarantineList,
    recent: RecentRuns,
    incarnation: u64,
    /// When each question without an answer counts as missing.
    asked: BTreeMap<usize, u64>,
    has_news: bool,
}

#[derive(Debug)]
struct Fleet {
    rng: fastrand::Rng,
    instances: Vec<Instance>,
    troubles: Vec<(usize, u64, u64, Trouble)>,
    /// Messages by the time at which they arrive.
    messages: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    crashes: BTreeMap<u64, Vec<u64>>,
    arrivals: Vec<(u64, u64, usize)>,
    upstreams: u64,
    /// Runs that are to end: when, whether the request crashes its upstream, and at which instance.
    running: Vec<(u64, u64, usize, u64)>,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let kinds = [
            Trouble::NoStore,
            Trouble::Frozen,
            Trouble::Cut,
            Trouble::CutOneWay,
            Trouble::Slow,
            Trouble::Restarted,
        ];
        // One instance is never in trouble, so that someone can decide at any time.
        let sound = rng.usize(..INSTANCES);
        let mut troubles = Vec::new();
        for _ in 0..rng.usize(3..=9) {
            let instance = rng.usize(..INSTANCES);
            let from = rng.u64(..PLAY_MS / 2);
            let kind = kinds[rng.usize(..kinds.len())];
            let lasts = match kind {
                Trouble::Frozen => rng.u64(100..2_900),
                Trouble::Restarted => STEP_MS,
                _ => rng.u64(500..12_000),
            };
            if instance != sound {
                troubles.push((instance, from, from + lasts, kind));
            }
        }
        Fleet {
            rng,
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            troubles,
            messages: BTreeMap::new(),
            sent: 0,
            crashes: BTreeMap::new(),
            arrivals: Vec::new(),
            upstreams: 0,
            running: Vec::new(),
        }
    }

    fn has(&self, now: u64, n: usize, kind: Trouble) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|(i, from, to, k)| *i == n && *k == kind && (*from..*to).contains(&now))
    }

    /// True if the users' rules count what an instance sends: nothing disturbed it for so long.
    fn is_in_touch(&self, now: u64, n: usize) -> bool {
        let excuses = |k: Trouble| k != Trouble::NoStore;
        let mut troubles = self.troubles.iter();
        !troubles
            .any(|(i, from, to, k)| *i == n && excuses(*k) && *from < now && now < to + CONTACT_MS)
    }

    fn can_decide(&self, now: u64, n: usize) -> bool {
        !self.has(now, n, Trouble::NoStore)
    }

    fn send(&mut self, now: u64, from: usize, to: usize, message: Message) {
        let is_cut = |n| self.has(now, n, Trouble::Cut);
        if is_cut(from) || is_cut(to) || self.has(now, from, Trouble::CutOneWay) {
            return;
        }
        let is_slow = [from, to].iter().any(|n| self.has(now, *n, Trouble::Slow));
        let takes = if is_slow { SLOW_MS } else { DELAY_MS };
        self.sent += 1;
        self.messages
            .insert((now + takes, self.sent), (from, to, message));
    }

    fn report(&mut self, now: u64, from: usize, to: usize, sound: &[SoundRun]) {
        let Instance { log, recent, .. } = &self.instances[from];
        let (crashes, count) = log.missing(address(to));
        let mut sound = sound.to_vec();
        for crash in &crashes {
            let present = crash.runs.iter().flat_map(|r| r.contents.iter());
            sound.extend(recent.last_runs(&crash.service, present));
        }
        let message = Message::Report {
            crashes,
            sound,
            count,
        };
        if from == to {
            self.instances[from]
                .log
                .record_received(address(to), 0, count);
            return self.receive(now, from, to, message);
        }
        let asked = &mut self.instances[from].asked;
        asked.entry(to).or_insert(now + TIMEOUT_MS);
        self.send(now, from, to, message);
    }

    /// Sends a report to the first three that may decide.
    fn report_to_all(&mut self, now: u64, from: usize, sound: &[SoundRun]) {
        let answers = &self.instances[from].answers;
        let likely = (0..INSTANCES).filter(|n| answers.may_decide(at(now), address(*n)));
        for to in likely.take(3).collect::<Vec<usize>>() {
            self.report(now, from, to, sound);
        }
    }

    fn receive(&mut self, now: u64, from: usize, to: usize, message: Message) {
        match message {
            Message::Report {
                crashes,
                sound,
                count,
            } => {
                let can_decide = self.can_decide(now, to);
                let instance = &mut self.instances[to];
                for crash in crashes {
                    instance.evidence.record_crash(at(now), crash);
                }
                for run in sound {
                    let cleared = instance.evidence.record_sound_run(&run);
                    let earlier = Vec::from_iter((0..to).map(address));
                    let decides = instance.answers.decides_on(at(now), &earlier);
                    if can_decide && decides == DecidesOn::Everything {
                        let held = run.contents.iter().filter(|c| {
                            let held = instance.list.get(at(now), *c);
                            held.is_some_and(|h| run.at > h.first_recorded())
                        });
                        let released = cleared.into_iter().chain(held.collect::<Vec<_>>());
                        for content in released {
                            instance.release(now, content);
                        }
                    }
                }
                let answer = match can_decide {
                    true => CoordinatorAnswer::Decides,
                    false => CoordinatorAnswer::CannotDecide,
                };
                let incarnation = instance.incarnation;
                if from != to {
                    let answer = Message::Answer {
                        answer,
                        incarnation,
                        count,
                    };
                    self.send(now, to, from, answer);
                }
            }
            Message::Answer {
                answer,
                incarnation,
                count,
            } => {
                let instance = &mut self.instances[to];
                instance.asked.remove(&from);
                instance.answers.record(at(now), address(from), answer);
                let log = &mut instance.log;
                let has_all = log.record_received(address(from), incarnation, count);
                if !has_all {
                    self.report(now, to, from, &[]);
                } else if answer == CoordinatorAnswer::CannotDecide && count > 0 {
                    // The next one that may decide gets what it lacks.
                    self.report_to_all(now, to, &[]);
                }
            }
            Message::Heartbeat(entries) => {
                let instance = &mut self.instances[to];
                let mut asks = false;
                for (content, state, left) in entries {
                    let is_new = instance.list.merge(at(now), content, state, left);
                    instance.has_news |= is_new;
                    asks |= is_new && state.is_active();
                }
                if asks {
                    self.report_recent(now, to);
                }
            }
        }
    }

    /// Reports the sound runs that an instance remembers of what is suspected.
    fn report_recent(&mut self, now: u64, n: usize) {
        let instance = &self.instances[n];
        let is_active = |c| {
            let held = instance.list.get(at(now), c);
            held.is_some_and(|h| h.state.is_active())
        };
        let runs = instance.recent.runs_of(at(now), is_active);
        if !runs.is_empty() {
            self.report_to_all(now, n, &runs);
        }
    }

    fn evaluate(&mut self, now: u64, n: usize) {
        let can_decide = self.can_decide(now, n);
        let earlier = Vec::from_iter((0..n).map(address));
        let instance = &mut self.instances[n];
        if !instance.evidence.is_pending(at(now)) {
            return;
        }
        if !can_decide {
            return;
        }
        let asked: Vec<usize> = {
            let to_ask = instance.answers.to_ask(at(now), &earlier);
            let index = |a: &SocketAddr| usize::from(a.port()) - 7_000;
            to_ask.iter().map(index).collect()
        };
        let decides = instance.answers.decides_on(at(now), &earlier);
        let list = instance.list.clone();
        let findings = instance.evidence.findings(at(now), |content| {
            let held = list.get(at(now), content).filter(|h| h.state.is_active());
            held.map(|h| Suspicion {
                since: h.recorded_at,
                is_recorded: false,
            })
        });
        if decides == DecidesOn::Everything {
            for found in &findings.suspected {
                instance.apply(now, found, QuarantinePhase::Suspected);
            }
            for found in &findings.quarantined {
                instance.apply(now, found, QuarantinePhase::Quarantined);
            }
        }
        let has_news = instance.has_news;
        for to in asked {
            self.report(now, n, to, &[]);
        }
        if has_news {
            self.report_recent(now, n);
        }
    }

    fn heartbeat(&mut self, now: u64, n: usize) {
        let instance = &mut self.instances[n];
        instance.has_news = false;
        let entries = instance.list.entries(at(now));
        let entries: Vec<Entry> = entries
            .map(|(c, h)| (c, h.state, h.expires_at.since(at(now))))
            .collect();
        for to in (0..INSTANCES).filter(|to| *to != n) {
            self.send(now, n, to, Message::Heartbeat(entries.clone()));
        }
    }

    /// A caller sends a request to an instance, which runs it unless it is quarantined.
    fn ask(&mut self, now: u64, number: u64) {
        let n = self.rng.usize(..INSTANCES);
        if self.has(now, n, Trouble::Frozen) || self.has(now, n, Trouble::Restarted) {
            return;
        }
        let list = &self.instances[n].list;
        let content = Content::from_number(number);
        if list.quarantine_remaining(at(now), content).is_some() {
            return;
        }
        self.arrivals.push((now, number, n));
        let answers = now + self.rng.u64(20..300);
        self.running.push((answers + 60, number, n, answers));
    }

    fn end_runs(&mut self, now: u64) {
        let (due, rest): (Vec<_>, Vec<_>) = self.running.drain(..).partition(|r| r.0 <= now);
        self.running = rest;
        for (_, number, n, answers) in due {
            if number >= FIRST_SOUND {
                let run = SoundRun {
                    service: "pool".into(),
                    contents: contents(number),
                    at: at(answers),
                };
                let instance = &mut self.instances[n];
                let held = instance.list.get(at(now), Content::from_number(number));
                instance.recent.record(run.clone());
                if held.is_some_and(|h| h.state.is_active()) {
                    self.report_to_all(now, n, &[run]);
                }
                continue;
            }
            self.crashes.entry(number).or_default().push(now);
            self.upstreams += 1;
            // Sound requests of this and of other instances run there as well.
            let mut lost = vec![(n, number, answers)];
            for _ in 0..self.rng.usize(..3) {
                let sound = FIRST_SOUND + self.rng.u64(..5);
                lost.push((
                    self.rng.usize(..INSTANCES),
                    sound,
                    now - self.rng.u64(..250),
                ));
            }
            for (n, number, answered) in lost {
                if self.has(now, n, Trouble::Frozen) {
                    continue;
                }
                let crash = UpstreamCrash {
                    service: "pool".into(),
                    upstream: self.upstreams.to_string().into(),
                    start: UpstreamStart::at_millis(1),
                    at: at(now),
                    runs: vec![BrokenRun {
                        contents: contents(number),
                        began: at(answered.saturating_sub(100)),
                        answered: Some(at(answered)),
                    }],
                };
                self.instances[n].log.add(at(now), crash);
                self.report_to_all(now, n, &[]);
            }
        }
    }

    fn step(&mut self, now: u64) {
        for n in 0..INSTANCES {
            if self.has(now, n, Trouble::Restarted) {
                let incarnation = self.instances[n].incarnation + 1;
                // It takes what is quarantined from its peers before it serves.
                let list = self.instances[n].list.clone();
                self.instances[n] = Instance {
                    incarnation,
                    list,
                    ..Instance::default()
                };
            }
        }
        let due = self.messages.range(..=(now, u64::MAX));
        let due: Vec<(u64, u64)> = due.map(|(key, _)| *key).collect();
        for key in due {
            let Some((from, to, message)) = self.messages.remove(&key) else {
                continue;
            };
            if self.has(now, to, Trouble::Frozen) {
                self.messages
                    .insert((now + STEP_MS, key.1), (from, to, message));
                continue;
            }
            self.receive(now, from, to, message);
        }
        self.end_runs(now);
        for n in 0..INSTANCES {
            if self.has(now, n, Trouble::Frozen) {
                continue;
            }
            let instance = &mut self.instances[n];
            let overdue = instance.asked.iter().filter(|(_, due)| **due <= now);
            for to in overdue.map(|(to, _)| *to).collect::<Vec<usize>>() {
                instance.asked.remove(&to);
                instance
                    .answers
                    .record(at(now), address(to), CoordinatorAnswer::Missing);
            }
            let turn = now + n as u64 * 30;
            if turn % EVALUATE_MS < STEP_MS {
                self.evaluate(now, n);
            }
            if self.instances[n].has_news || turn % HEARTBEAT_MS < STEP_MS {
                self.heartbeat(now, n);
            }
        }
    }

    fn run(mut self, harmful: u64) -> Fleet {
        let first = self.rng.u64(500..6_000);
        let pause = self.rng.u64(150..900);
        let mut due: Vec<u64> = (0..harmful).map(|n| first + n * 170).collect();
        for now in (0..PLAY_MS).step_by(STEP_MS as usize) {
            self.step(now);
            for (number, due) in due.iter_mut().enumerate() {
                if *due <= now {
                    *due += pause + self.rng.u64(..100);
                    self.ask(now, number as u64);
                }
            }
            if now % 40 == 0 {
                let sound = FIRST_SOUND + self.rng.u64(..5);
                self.ask(now, sound);
            }
        }
        self
    }
}

impl Instance {
    fn apply(&mut self, now: u64, found: &Finding, phase: QuarantinePhase) {
        if let Some(next) = self.list.next_state(at(now), found, phase) {
            if phase == QuarantinePhase::Quarantined {
                // Instances with sound runs have been asked for them, now or in an earlier round.
                let asked = self.list.get(at(now), found.content).map(|h| h.recorded_at);
                let asked = asked.is_some_and(|since| at(now).since(since) >= ASKED_FOR);
                assert!(asked || next.round > 1, "{found:?} was never announced");
            }
            let merged = self
                .list
                .merge(at(now), found.content, next, QUARANTINE_TTL);
            self.has_news |= merged;
        }
    }

    fn release(&mut self, now: u64, content: Content) {
        let held = self.list.get(at(now), content);
        if let Some(held) = held.filter(|h| h.state.is_active()) {
            let state = QuarantineState {
                phase: QuarantinePhase::Released,
                ..held.state
            };
            let left = held.expires_at.since(at(now));
            self.has_news |= self.list.merge(at(now), content, state, left);
        }
    }
}

/// Guards against requests that go on crashing upstreams, and sound ones that are held, in any order
/// of coordinators that cannot decide, do not answer, or know nothing.
#[test_case(1 ; "one")]
#[test_case(2 ; "two")]
#[test_case(3 ; "three")]
fn harmful_requests_are_held_whoever_can_decide(harmful: u64) {
    for seed in 0..150 {
        let fleet = Fleet::new(seed).run(harmful);
        for number in 0..harmful {
            let crashes = &fleet.crashes[&number];
            let Some(third) = crashes.get(2) else {
                continue;
            };
            let late = fleet.arrivals.iter().filter(|(at, n, instance)| {
                *n == number && *at > third + CONTACT_MS && fleet.is_in_touch(*at, *instance)
            });
            let late = late.count();
            assert!(
                late <= MAX_LATE,
                "seed {seed}: {late} late arrivals of {number}, crashes {crashes:?}, {:?}",
                fleet.troubles
            );
        }
        for (n, instance) in fleet.instances.iter().enumerate() {
            let held = instance.list.entries(at(PLAY_MS));
            let held = held.filter(|(c, h)| {
                c.number() >= FIRST_SOUND && h.state.phase == QuarantinePhase::Quarantined
            });
            let held: Vec<u64> = held.map(|(c, _)| c.number()).collect();
            assert!(
                held.is_empty(),
                "seed {seed}: instance {n} holds {held:?}, {:?}",
                fleet.troubles
            );
        }
    }
}
