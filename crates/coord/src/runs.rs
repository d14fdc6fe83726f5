//! Which keys have run here.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::RequestId;
use jd_types::RunState;

use crate::Binding;
use crate::IdempotencyKey;
use crate::RunAnswer;

/// How long a binding that is handed out stays the same. A key may be used
/// until the end of the next epoch.
const EPOCH: Duration = Duration::from_secs(120);
/// Bytes of answers that are kept for callers who ask again.
const ANSWER_BYTES: usize = 4 << 20;

/// What to do with a request that has a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run it; the key is marked as running.
    Run,
    /// It has run; this was the answer.
    Replay(RunAnswer),
    /// It is running, or has run and its answer is not kept.
    Duplicate(RequestId),
    /// Only that instance may run it.
    Forward(Incarnation),
    /// Bound to this instance and handed out too long ago to tell whether it
    /// has run.
    Expired,
    /// Not bound: it has to be claimed in the platform's service first.
    Claim,
}

#[derive(Debug)]
enum Entry {
    Running(RequestId),
    Done(RequestId, RunAnswer),
    Forgotten(RequestId),
}

/// The keys that this instance has run. Kept in memory only.
///
/// Guards against the doubled run: a caller gets no answer, sends the same key
/// again, perhaps to another instance, and the lodgement runs twice. A bound
/// key names the one life of the one instance that may dispatch it, and that
/// life remembers every key it has dispatched for as long as it would accept
/// the key. If that life is over, nobody may ever run the key. So no two
/// instances need to agree on anything, and it holds while the platform's
/// service is down.
///
/// # Examples
///
/// ```
/// use jd_coord::IdempotencyKey;
/// use jd_coord::KeyDecision;
/// use jd_coord::Runs;
/// use jd_types::Incarnation;
/// use jd_types::MonoTime;
/// use jd_types::Name;
/// use jd_types::RequestId;
///
/// let me = Incarnation::new(7);
/// let now = MonoTime::from_millis(5);
/// let mut runs = Runs::new(me);
/// let key = IdempotencyKey::bound(runs.binding(now), 1);
/// let customer = Name::try_from("walkers")?;
/// let request = RequestId { entry: me, number: 1 };
/// assert_eq!(runs.decide(now, &customer, &key, request), KeyDecision::Run);
/// assert_eq!(runs.decide(now, &customer, &key, request), KeyDecision::Duplicate(request));
/// # Ok::<(), jd_types::NameError>(())
/// ```
#[derive(Debug)]
pub struct Runs {
    me: Incarnation,
    by_epoch: BTreeMap<u64, HashMap<RunKey, Entry>>,
    kept: VecDeque<(u64, RunKey)>,
    kept_bytes: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RunKey {
    customer: Name,
    key: IdempotencyKey,
}

impl Runs {
    /// A table for this life, empty.
    pub fn new(me: Incarnation) -> Runs {
        Runs {
            me,
            by_epoch: BTreeMap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// The binding to hand out now.
    pub fn binding(&self, now: MonoTime) -> Binding {
        Binding {
            incarnation: self.me,
            epoch: epoch_of(now),
        }
    }

    /// Decides on a key and, if it is to run here, marks it as running.
    pub fn decide(
        &mut self,
        now: MonoTime,
        customer: &Name,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> KeyDecision {
        match key.binding() {
            None => KeyDecision::Claim,
            Some(b) if b.incarnation != self.me => KeyDecision::Forward(b.incarnation),
            Some(b) => self.decide_here(now, b.epoch, customer, key, request),
        }
    }

    /// True if it is certain that the key has not run anywhere: it is bound to
    /// this life, still open, and not known here.
    pub fn has_never_run(&self, now: MonoTime, customer: &Name, key: &IdempotencyKey) -> bool {
        match key.binding() {
            Some(b) if b.incarnation == self.me && is_open(now, b.epoch) => {
                let run_key = RunKey {
                    customer: customer.clone(),
                    key: key.clone(),
                };
                !self
                    .by_epoch
                    .get(&b.epoch)
                    .is_some_and(|e| e.contains_key(&run_key))
            }
            _ => false,
        }
    }

    /// A claim in the platform's service was won: the key runs here.
    pub fn claimed(&mut self, now: MonoTime, customer: &Name, key: &IdempotencyKey, r: RequestId) {
        let run_key = RunKey {
            customer: customer.clone(),
            key: key.clone(),
        };
        self.entries(epoch_of(now))
            .insert(run_key, Entry::Running(r));
    }

    /// The answer to an unbound key that was claimed here, if it is kept.
    pub fn claimed_answer(&self, customer: &Name, key: &IdempotencyKey) -> Option<RunAnswer> {
        let run_key = RunKey {
            customer: customer.clone(),
            key: key.clone(),
        };
        let found = self.by_epoch.values().rev().find_map(|e| e.get(&run_key));
        match found {
            Some(Entry::Done(_, answer)) => Some(answer.clone()),
            _ => None,
        }
    }

    /// A run ended. One that truthfully did not run may be tried again under
    /// the same key; any other end is final.
    pub fn ended(
        &mut self,
        now: MonoTime,
        customer: &Name,
        key: &IdempotencyKey,
        request: RequestId,
        answer: &RunAnswer,
    ) {
        let run_key = RunKey {
            customer: customer.clone(),
            key: key.clone(),
        };
        let epoch = match key.binding() {
            Some(b) => b.epoch,
            None => self.epoch_of_claim(now, &run_key),
        };
        let not_run = matches!(answer, RunAnswer::Refused(r) if r.run == RunState::NotRun);
        match not_run {
            true => {
                self.entries(epoch).remove(&run_key);
            }
            false => self.keep(epoch, run_key, request, answer.clone()),
        }
        self.forget_old(now);
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.by_epoch.values().map(HashMap::len).sum()
    }

    /// True if no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn decide_here(
        &mut self,
        now: MonoTime,
        epoch: u64,
        customer: &Name,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> KeyDecision {
        let open = is_open(now, epoch);
        let run_key = RunKey {
            customer: customer.clone(),
            key: key.clone(),
        };
        let known = self.by_epoch.get(&epoch).and_then(|e| e.get(&run_key));
        match known {
            Some(Entry::Done(_, answer)) => KeyDecision::Replay(answer.clone()),
            Some(Entry::Running(r) | Entry::Forgotten(r)) => KeyDecision::Duplicate(*r),
            None if open => {
                self.entries(epoch).insert(run_key, Entry::Running(request));
                KeyDecision::Run
            }
            None => KeyDecision::Expired,
        }
    }

    fn entries(&mut self, epoch: u64) -> &mut HashMap<RunKey, Entry> {
        self.by_epoch.entry(epoch).or_default()
    }

    fn epoch_of_claim(&self, now: MonoTime, key: &RunKey) -> u64 {
        let found = self.by_epoch.iter().find(|(_, e)| e.contains_key(key));
        found.map_or(epoch_of(now), |(epoch, _)| *epoch)
    }

    fn keep(&mut self, epoch: u64, key: RunKey, request: RequestId, answer: RunAnswer) {
        self.kept_bytes += answer_bytes(&answer);
        self.kept.push_back((epoch, key.clone()));
        self.entries(epoch)
            .insert(key, Entry::Done(request, answer));
        while self.kept_bytes > ANSWER_BYTES {
            match self.kept.pop_front() {
                Some((epoch, key)) => self.forget_answer(epoch, &key),
                None => break,
            }
        }
    }

    /// Drops an answer and keeps the key, since forgetting the key would let it
    /// run again.
    fn forget_answer(&mut self, epoch: u64, key: &RunKey) {
        let entry = self.by_epoch.get_mut(&epoch).and_then(|e| e.get_mut(key));
        if let Some(entry) = entry
            && let Entry::Done(request, answer) = entry
        {
            self.kept_bytes -= answer_bytes(answer);
            *entry = Entry::Forgotten(*request);
        }
    }

    /// Drops whole epochs whose keys would be refused as expired anyway. An
    /// epoch that still has a run in progress stays.
    fn forget_old(&mut self, now: MonoTime) {
        let current = epoch_of(now);
        let running =
            |e: &HashMap<RunKey, Entry>| e.values().any(|x| matches!(x, Entry::Running(_)));
        let old: Vec<u64> = self
            .by_epoch
            .iter()
            .filter(|(epoch, e)| **epoch + 1 < current && !running(e))
            .map(|(epoch, _)| *epoch)
            .collect();
        for epoch in old {
            let dropped = self.by_epoch.remove(&epoch).unwrap_or_default();
            self.kept_bytes -= dropped.values().map(entry_bytes).sum::<usize>();
            self.kept.retain(|(e, _)| *e != epoch);
        }
    }
}

/// An epoch from the future was not handed out by this life.
fn is_open(now: MonoTime, epoch: u64) -> bool {
    let current = epoch_of(now);
    epoch <= current && epoch + 1 >= current
}

fn epoch_of(now: MonoTime) -> u64 {
    now.as_micros() / EPOCH.as_micros() as u64
}

fn answer_bytes(answer: &RunAnswer) -> usize {
    match answer {
        RunAnswer::Whole(a) => a.output.len(),
        RunAnswer::Refused(r) => r.detail.len(),
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    match entry {
        Entry::Done(_, answer) => answer_bytes(answer),
        Entry::Running(_) | Entry::Forgotten(_) => 0,
    }
}
