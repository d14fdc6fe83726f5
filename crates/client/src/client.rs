//! The client.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use compact_str::format_compact;
use jd_entry::LocateEntryBody;
use jd_entry::Problem;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::Workers;
use jd_types::MonoTime;
use jd_types::RefusalKind;

use crate::Call;
use crate::CallReport;
use crate::Outcome;
use crate::directory::Directory;
use crate::exchange::Reply;
use crate::exchange::send;

/// The most times that one call sends a request.
const MAX_SENDS: u32 = 5;
/// Pause before the addresses are asked for again when none could be reached.
const PAUSE: Duration = Duration::from_millis(50);
/// The part of the time left that an idempotent request may be silent before
/// another address is tried.
const SILENT_PARTS: u32 = 2;

/// Who calls, and where it begins.
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// The customer's credential.
    pub credential: String,
    /// The caller's hall; none if it does not know.
    pub hall: Option<String>,
    /// Addresses to ask first, as the platform hands them out.
    pub seeds: Vec<SocketAddr>,
}

/// A caller's client. It keeps connections and a locate answer.
#[derive(Debug)]
pub struct Client {
    clock: Clock,
    pool: HttpPool,
    credential: String,
    directory: Directory,
}

/// A call in progress.
struct Progress {
    until: MonoTime,
    sends: u32,
    broken: u32,
    keys: Vec<(CompactString, bool)>,
}

/// What to do after one request.
enum Next {
    End(Outcome),
    /// Try the next address; the key, if any, has not run.
    Fresh,
    /// Try the next address with the same key.
    Same,
    /// Come back then.
    After(Duration),
}

impl Client {
    /// A client whose connections run on `workers`.
    pub fn new(workers: &Workers, clock: Clock, config: ClientConfig) -> Client {
        let pool = HttpPool::new(workers.executor(), clock);
        let directory = Directory::new(clock, pool.clone(), config.hall.as_deref(), config.seeds);
        Client {
            clock,
            pool,
            credential: config.credential,
            directory,
        }
    }

    /// Makes a call and sees it through.
    pub async fn call(&self, call: &Call) -> CallReport {
        let began = self.clock.now();
        let until = began + call.deadline;
        let mut p = Progress {
            until,
            sends: 0,
            broken: 0,
            keys: Vec::new(),
        };
        let outcome = self.see_through(call, &mut p).await;
        let took = self.clock.now().since(began);
        CallReport {
            outcome,
            took,
            sends: p.sends,
            broken: p.broken,
            keys: p.keys,
        }
    }

    async fn see_through(&self, call: &Call, p: &mut Progress) -> Outcome {
        let mut last = Outcome::Unreached;
        let mut same_key = false;
        while p.sends < MAX_SENDS && self.clock.now() < p.until {
            let entries = self.directory.entries().await;
            if entries.is_empty() {
                Timer::after(PAUSE).await;
                continue;
            }
            let turn = p.sends as usize % entries.len();
            let entry = &entries[turn];
            match self
                .send_once(call, entry, p, &mut same_key, &mut last)
                .await
            {
                Next::End(outcome) => return outcome,
                Next::Fresh => same_key = false,
                Next::Same => same_key = true,
                Next::After(wait) => {
                    same_key = false;
                    let left = p.until.since(self.clock.now());
                    if wait >= left {
                        return last;
                    }
                    Timer::after(wait).await;
                }
            }
        }
        last
    }

    async fn send_once(
        &self,
        call: &Call,
        entry: &LocateEntryBody,
        p: &mut Progress,
        same_key: &mut bool,
        last: &mut Outcome,
    ) -> Next {
        if call.keyed && !*same_key {
            let nonce = fastrand::u64(..);
            p.keys
                .push((format_compact!("{}.{nonce:016x}", entry.binding), true));
        }
        let key = p
            .keys
            .last()
            .map(|(k, _)| k.to_string())
            .filter(|_| call.keyed);
        let left = p.until.since(self.clock.now());
        // A keyed request is worth waiting for: its answer is the only one.
        let patience = if call.keyed {
            left
        } else {
            left / SILENT_PARTS
        };
        p.sends += 1;
        let sent = send(
            &self.pool,
            entry.address,
            &self.credential,
            call,
            key.as_deref(),
            patience,
        )
        .await;
        match sent {
            Reply::Ended(Outcome::Refused(problem)) => self.refused(call, entry, p, problem, last),
            Reply::Ended(outcome) => {
                said_not_run(p, false);
                Next::End(outcome)
            }
            Reply::NeverLeft => {
                self.directory.distrust(entry.address);
                // An earlier send of the same key may have got through.
                if *same_key { Next::Same } else { Next::Fresh }
            }
            Reply::Broken | Reply::Silent => {
                p.broken += u32::from(matches!(sent, Reply::Broken));
                said_not_run(p, false);
                self.directory.distrust(entry.address);
                *last = Outcome::Unknown;
                if call.keyed { Next::Same } else { Next::Fresh }
            }
        }
    }

    fn refused(
        &self,
        call: &Call,
        entry: &LocateEntryBody,
        p: &mut Progress,
        problem: Problem,
        last: &mut Outcome,
    ) -> Next {
        let not_run = problem.is_not_run();
        let after = problem.retry_after_ms.map(Duration::from_millis);
        let kind = problem.refusal_kind();
        said_not_run(p, not_run);
        *last = Outcome::Refused(problem.clone());
        match kind {
            Some(RefusalKind::NotServing) if not_run || !call.keyed => {
                self.directory.distrust(entry.address);
                Next::Fresh
            }
            // "May have run" is the last word on a key; another key could run
            // the same thing twice.
            _ if call.keyed && !not_run => Next::End(Outcome::Refused(problem)),
            _ => match after {
                Some(wait) => Next::After(wait),
                None => Next::End(Outcome::Refused(problem)),
            },
        }
    }
}

fn said_not_run(p: &mut Progress, not_run: bool) {
    if let Some(last) = p.keys.last_mut() {
        last.1 = not_run;
    }
}
