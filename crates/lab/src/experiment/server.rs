//! A modelled upstream: slots, a queue, and a memory for prefixes.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::AttemptId;

/// Prefixes that an engine remembers.
const PREFIXES: usize = 8;

/// A piece of work at a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) request: usize,
    pub(super) attempt: AttemptId,
    pub(super) service: Duration,
    /// It fails when it is done.
    pub(super) fails: bool,
    /// Its answer never arrives.
    pub(super) silent: bool,
}

/// A modelled upstream.
#[derive(Debug, Default)]
pub(super) struct Server {
    slots: usize,
    pub(super) jobs: Vec<Job>,
    busy: usize,
    queue: VecDeque<usize>,
    prefixes: VecDeque<u64>,
}

impl Server {
    /// An idle server.
    pub(super) fn new(slots: usize) -> Server {
        Server {
            slots,
            ..Server::default()
        }
    }

    /// Takes work; the job's number, and true if it starts at once.
    pub(super) fn submit(&mut self, job: Job) -> (usize, bool) {
        self.jobs.push(job);
        let number = self.jobs.len() - 1;
        let starts = self.busy < self.slots;
        match starts {
            true => self.busy += 1,
            false => self.queue.push_back(number),
        }
        (number, starts)
    }

    /// A job is done; the next one that starts.
    pub(super) fn done(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        self.busy -= usize::from(next.is_none());
        next
    }

    /// Looks a prefix up and remembers it; true if it was there.
    pub(super) fn touch(&mut self, prefix: u64) -> bool {
        let known = self.prefixes.contains(&prefix);
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES {
            self.prefixes.pop_front();
        }
        known
    }
}
