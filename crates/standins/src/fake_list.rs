//! A stand-in for the platform's list of instances.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use jd_backing::Listed;
use jd_backing::ListedState;
use jd_types::MonoTime;

/// Past states that are kept for answering late.
const HISTORY: usize = 1_024;

/// A list of instances that lags and can be wrong.
#[derive(Debug)]
pub struct FakeList {
    history: VecDeque<(MonoTime, Vec<Listed>)>,
    lag: Duration,
    hidden: Vec<SocketAddr>,
    wrong_reads: u64,
}

impl FakeList {
    /// A list of `listed`, true from the beginning.
    pub fn new(listed: Vec<Listed>) -> FakeList {
        let history = VecDeque::from([(MonoTime::ZERO, listed)]);
        FakeList {
            history,
            lag: Duration::ZERO,
            hidden: Vec::new(),
            wrong_reads: 0,
        }
    }

    /// From now on answers are that old.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Entries that are wrongly missing from every answer.
    pub fn set_hidden(&mut self, hidden: Vec<SocketAddr>) {
        self.hidden = hidden;
    }

    /// Answers that were not the truth.
    pub fn wrong_reads(&self) -> u64 {
        self.wrong_reads
    }

    /// Adds an instance or changes it.
    pub fn put(&mut self, now: MonoTime, listed: Listed) {
        let mut next = self.newest();
        next.retain(|l| l.address != listed.address);
        next.push(listed);
        self.push(now, next);
    }

    /// Changes what is said of an instance.
    pub fn set_state(&mut self, now: MonoTime, address: SocketAddr, state: ListedState) {
        let mut next = self.newest();
        for l in next.iter_mut().filter(|l| l.address == address) {
            l.state = state;
        }
        self.push(now, next);
    }

    /// Removes an instance.
    pub fn remove(&mut self, now: MonoTime, address: SocketAddr) {
        let mut next = self.newest();
        next.retain(|l| l.address != address);
        self.push(now, next);
    }

    /// The list as it is told now.
    pub fn read(&mut self, now: MonoTime) -> Vec<Listed> {
        let then = now.before(self.lag);
        let told = self.history.iter().rev().find(|(at, _)| *at <= then);
        let mut list = told
            .or(self.history.front())
            .map(|(_, l)| l.clone())
            .unwrap_or_default();
        list.retain(|l| !self.hidden.contains(&l.address));
        self.wrong_reads += u64::from(list != self.newest());
        list
    }

    fn newest(&self) -> Vec<Listed> {
        self.history
            .back()
            .map(|(_, l)| l.clone())
            .unwrap_or_default()
    }

    fn push(&mut self, now: MonoTime, list: Vec<Listed>) {
        self.history.push_back((now, list));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }
}
