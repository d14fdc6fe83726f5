//! The retries of all instances together, over orders of cuts, starts and removed entries.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::Heartbeat;
use jd_serving::InstanceDirectory;
use jd_serving::InstanceEntry;
use jd_serving::RetryBudget;
use jd_serving::RetryLimit;
use jd_serving::RetryShare;
use jd_serving::StoreRevision;
use jd_serving::Strength;
use jd_serving::UpstreamPath;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use test_case::test_case;

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};
const STEP_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 400;
const HEALTHY: Heartbeat = Heartbeat {
    leaving: false,
    ready: true,
    store_loaded: true,
    upstream_path: UpstreamPath::Open,
};

struct Instance {
    host: u8,
    entry: InstanceEntry,
    directory: InstanceDirectory,
    budget: RetryBudget,
    is_cut: bool,
    started: MonoTime,
}

impl Instance {
    fn try_retry(&mut self, now: MonoTime) -> bool {
        let share = RetryShare::Listed {
            instances: self.directory.largest_size(),
            age: now.since(self.started),
        };
        self.budget.try_retry(now, &LIMIT, share).is_some()
    }
}

struct Fleet {
    now_ms: u64,
    starts: u64,
    instances: Vec<Instance>,
    firsts: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    /// A fleet that has run for long enough to use its whole share.
    fn new(size: u8) -> Fleet {
        let mut fleet = Fleet {
            now_ms: 1_000,
            starts: 0,
            instances: Vec::new(),
            firsts: Vec::new(),
            retries: Vec::new(),
        };
        for host in 1..=size {
            fleet.join(host);
        }
        fleet.run(20_000, 0);
        fleet
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms)
    }

    fn join(&mut self, host: u8) {
        self.starts += 1;
        let entry = InstanceEntry {
            incarnation: Incarnation::new(self.starts),
            caller_address: SocketAddr::from(([127, 0, 0, host], 80)),
            peer_address: SocketAddr::from(([127, 0, 0, host], 81)),
            zone: Name::try_from("a").expect("a name"),
            strength: Strength::default(),
            leaving: false,
        };
        let now = self.now();
        let written = |entry: &InstanceEntry| StoreRevision {
            era: 0,
            revision: entry.incarnation.get(),
        };
        let mut directory = InstanceDirectory::default();
        for other in &mut self.instances {
            directory.put(now, other.entry.clone(), written(&other.entry));
            other.directory.put(now, entry.clone(), written(&entry));
        }
        self.instances.push(Instance {
            host,
            entry,
            directory,
            budget: RetryBudget::default(),
            is_cut: false,
            started: now,
        });
    }

    fn restart(&mut self, index: usize) {
        let ended = self.instances.remove(index);
        self.join(ended.host);
    }

    fn restart_all(&mut self) {
        for _ in 0..self.instances.len() {
            self.restart(0);
        }
    }

    /// Removes the entries of instances that are cut off, as the others do after a silence.
    fn remove_entries(&mut self) {
        let ids: Vec<Incarnation> = self.instances.iter().map(|i| i.entry.incarnation).collect();
        for instance in &mut self.instances {
            for id in &ids {
                instance.directory.unlist(*id);
            }
        }
    }

    /// Runs for a time with so many failing requests in each step, each of which is retried twice.
    fn run(&mut self, ms: u64, requests: usize) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
                self.exchange_heartbeats();
            }
            for _ in 0..requests {
                self.fail_request();
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        let now = self.now();
        let reachable = self.instances.iter().filter(|i| !i.is_cut);
        let reachable: Vec<Incarnation> = reachable.map(|i| i.entry.incarnation).collect();
        for instance in &mut self.instances {
            for id in reachable.iter().filter(|_| !instance.is_cut) {
                instance.directory.record_heartbeat(now, *id, HEALTHY);
            }
            instance.directory.expire(now);
        }
    }

    fn fail_request(&mut self) {
        let index = self.firsts.len() % self.instances.len();
        let now = self.now();
        let instance = &mut self.instances[index];
        instance.budget.record_first_attempt(now, &LIMIT);
        self.firsts.push(self.now_ms);
        for _ in 0..2 {
            if instance.try_retry(now) {
                self.retries.push(self.now_ms);
            }
        }
    }

    /// Every instance tries to retry as often as it may.
    fn use_up(&mut self) {
        let now = self.now();
        for instance in &mut self.instances {
            while instance.try_retry(now) {
                self.retries.push(self.now_ms);
            }
        }
    }

    /// Checks every window that ends with a retry.
    fn assert_bounded(&self) {
        let window = LIMIT.window.as_millis() as u64;
        let count = |times: &[u64], end: u64| {
            let before = times.partition_point(|t| *t + window < end);
            times.partition_point(|t| *t <= end) - before
        };
        for end in self.retries.iter().copied() {
            let ends = [
                end,
                end.saturating_sub(window / 2),
                end.saturating_sub(window),
            ];
            let firsts = ends.map(|end| count(&self.firsts, end));
            let most = firsts.into_iter().max().unwrap_or(0) as f64;
            let retries = count(&self.retries, end);
            let allowed = LIMIT.ratio * most + LIMIT.slack;
            assert!(
                retries as f64 <= allowed,
                "{retries} retries in a window, {allowed} allowed"
            );
        }
    }
}

/// Guards against each instance that hears no other taking the whole slack.
#[test_case(0, 0; "none")]
#[test_case(1, 0; "one")]
#[test_case(3, 0; "three")]
#[test_case(9, 0; "all")]
#[test_case(9, 1; "all under load")]
fn instances_that_are_cut_off_share_the_slack(cut: usize, requests: usize) {
    let mut fleet = Fleet::new(9);
    for instance in fleet.instances.iter_mut().take(cut) {
        instance.is_cut = true;
    }
    fleet.run(5_000, requests);
    fleet.use_up();
    fleet.assert_bounded();
}

/// Guards against a list that shrinks in a cut giving each instance the whole slack.
#[test]
fn removed_entries_do_not_raise_the_share() {
    let mut fleet = Fleet::new(9);
    for instance in &mut fleet.instances {
        instance.is_cut = true;
    }
    fleet.remove_entries();
    fleet.run(10_000, 0);
    fleet.use_up();
    fleet.assert_bounded();
}

/// Guards against restarts that each begin with the whole share.
#[test_case(1; "once")]
#[test_case(2; "twice")]
#[test_case(3; "three times")]
fn restarts_in_a_window_do_not_multiply_the_slack(restarts: u64) {
    let mut fleet = Fleet::new(9);
    fleet.use_up();
    for _ in 0..restarts {
        fleet.restart_all();
        fleet.run(9_000 / restarts, 0);
        fleet.use_up();
    }
    fleet.assert_bounded();
}

/// Guards against an order of cuts, starts, joins and removals in which retries exceed the limit.
#[test]
fn retries_are_bounded_over_all_orders() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(9);
        for host in 10..40 {
            let index = rng.usize(..fleet.instances.len());
            match rng.u8(..12) {
                0 => fleet.restart_all(),
                1..=3 => fleet.restart(index),
                4..=6 => fleet.instances[index].is_cut ^= true,
                7 => fleet.instances.iter_mut().for_each(|i| i.is_cut = true),
                8 => fleet.remove_entries(),
                9 => fleet.join(host),
                _ => fleet.use_up(),
            }
            fleet.run(rng.u64(1..40) * STEP_MS, rng.usize(..4));
        }
        fleet.use_up();
        fleet.assert_bounded();
    }
}

/// Guards against refusing retries in calm, where one request in twenty fails.
#[test_case(1; "alone")]
#[test_case(9; "nine")]
fn retries_in_calm_are_allowed(size: u8) {
    let mut fleet = Fleet::new(size);
    let mut asked = 0;
    for n in 0..2_000 {
        fleet.run(STEP_MS, 0);
        let (index, now) = (n % usize::from(size), fleet.now());
        let instance = &mut fleet.instances[index];
        instance.budget.record_first_attempt(now, &LIMIT);
        if n % 20 == 0 {
            asked += 1;
            fleet
                .retries
                .extend(instance.try_retry(now).then_some(fleet.now_ms));
        }
    }
    assert_eq!(fleet.retries.len(), asked);
}

/// Guards against a process that takes the whole slack because it has not read the list yet.
#[test]
fn there_is_no_slack_before_the_list_of_instances_is_known() {
    let mut budget = RetryBudget::default();
    let now = MonoTime::from_millis(60_000);
    assert_eq!(budget.try_retry(now, &LIMIT, RetryShare::Unlisted), None);
    for _ in 0..10 {
        budget.record_first_attempt(now, &LIMIT);
    }
    let retry = budget.try_retry(now, &LIMIT, RetryShare::Unlisted);
    assert!(retry.is_some());
    assert_eq!(budget.try_retry(now, &LIMIT, RetryShare::Unlisted), None);
}
