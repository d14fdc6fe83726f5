//! A stand-in for the platform's key-value service.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use jd_backing::Expect;
use jd_backing::KvEntry;
use jd_backing::KvError;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_backing::LeaseId;
use jd_backing::Version;
use jd_types::MonoTime;

/// How the service fails at present.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvFaults {
    /// Every call is refused.
    pub down: bool,
    /// How many of the next writes take effect without an answer.
    pub lose_answers: u32,
    /// How many of the next watches end without telling what they saw.
    pub miss_watches: u32,
    /// Every lease lapses at once, as after a long pause of its holder.
    pub lapse_leases: bool,
    /// Added to every call, in milliseconds.
    pub delay_ms: u32,
}

/// How often each fault did bite.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvBites {
    /// Calls refused.
    pub refused: u64,
    /// Answers lost.
    pub lost: u64,
    /// Watches that told nothing.
    pub missed: u64,
    /// Leases that lapsed early.
    pub lapsed: u64,
    /// Calls delayed.
    pub delayed: u64,
}

#[derive(Debug, Clone)]
struct Stored {
    value: String,
    version: Version,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    until: MonoTime,
}

/// A key-value service with compare-and-swap, leases and watches, in memory.
#[derive(Debug, Default)]
pub struct FakeKv {
    entries: BTreeMap<KvKey, Stored>,
    leases: BTreeMap<LeaseId, Lease>,
    writes: u64,
    calls: u64,
    bites: KvBites,
    faults: KvFaults,
}

impl FakeKv {
    /// How it fails at present.
    pub fn faults(&self) -> KvFaults {
        self.faults
    }

    /// Makes it fail, or stop failing.
    pub fn set_faults(&mut self, faults: KvFaults) {
        self.faults = faults;
    }

    /// How often each fault did bite.
    pub fn bites(&self) -> KvBites {
        self.bites
    }

    /// Calls so far, refused ones included.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Writes that took effect so far.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// As [`FakeKv::apply`] for a call that goes on waiting: not counted again.
    pub fn look_again(&mut self, now: MonoTime, req: &KvRequest) -> Result<KvReply, KvError> {
        let reply = self.apply(now, req);
        self.calls -= 1;
        reply
    }

    /// Carries out one call. A `Watch` answers at once with what there is.
    pub fn apply(&mut self, now: MonoTime, req: &KvRequest) -> Result<KvReply, KvError> {
        self.calls += 1;
        self.bites.delayed += u64::from(self.faults.delay_ms > 0);
        if self.faults.down {
            self.bites.refused += 1;
            return Err(KvError::Unavailable);
        }
        self.lapse(now);
        let reply = self.carry_out(now, req);
        let wrote = matches!(reply, KvReply::Written { .. });
        let watched = matches!(req, KvRequest::Watch { .. });
        match (&mut self.faults, &reply) {
            (f, _) if wrote && f.lose_answers > 0 => {
                f.lose_answers -= 1;
                self.bites.lost += 1;
                Err(KvError::Lost)
            }
            (f, KvReply::Entries { entries })
                if watched && f.miss_watches > 0 && !entries.is_empty() =>
            {
                f.miss_watches -= 1;
                self.bites.missed += 1;
                Ok(KvReply::Entries {
                    entries: Vec::new(),
                })
            }
            _ => Ok(reply),
        }
    }

    fn carry_out(&mut self, now: MonoTime, req: &KvRequest) -> KvReply {
        match req {
            KvRequest::Get { key } => KvReply::Found {
                entry: self.entry(key),
            },
            KvRequest::Put { lease: Some(l), .. } if !self.leases.contains_key(l) => {
                KvReply::LeaseGone
            }
            KvRequest::Put {
                key,
                value,
                expect,
                lease,
            } => self.put(key, value, *expect, *lease),
            KvRequest::Delete { key, version } => self.delete(key, *version),
            KvRequest::Scan {
                prefix,
                after,
                limit,
            } => KvReply::Entries {
                entries: self.scan(prefix, after.as_ref(), *limit),
            },
            KvRequest::Watch { prefix, after, .. } => KvReply::Entries {
                entries: self.scan(prefix, after.as_ref(), 256),
            },
            KvRequest::Grant { ttl_ms } => {
                self.writes += 1;
                let lease = LeaseId(self.writes);
                let ttl = Duration::from_millis(u64::from(*ttl_ms));
                self.leases.insert(
                    lease,
                    Lease {
                        ttl,
                        until: now + ttl,
                    },
                );
                KvReply::Lease { lease }
            }
            KvRequest::Keep { lease } => match self.leases.get_mut(lease) {
                Some(l) => {
                    l.until = now + l.ttl;
                    KvReply::Lease { lease: *lease }
                }
                None => KvReply::LeaseGone,
            },
        }
    }

    fn entry(&self, key: &KvKey) -> Option<KvEntry> {
        self.entries.get(key).map(|s| KvEntry {
            key: key.clone(),
            value: s.value.clone(),
            version: s.version,
        })
    }

    fn put(&mut self, key: &KvKey, value: &str, expect: Expect, lease: Option<LeaseId>) -> KvReply {
        let version = self.entries.get(key).map(|s| s.version);
        let holds = match expect {
            Expect::Absent => version.is_none(),
            Expect::Version(v) => version == Some(v),
        };
        match holds && value.len() <= KvRequest::MAX_VALUE {
            true => {
                self.writes += 1;
                let version = Version(self.writes);
                let stored = Stored {
                    value: value.to_owned(),
                    version,
                    lease,
                };
                self.entries.insert(key.clone(), stored);
                KvReply::Written { version }
            }
            false => KvReply::Conflict {
                current: self.entry(key),
            },
        }
    }

    fn delete(&mut self, key: &KvKey, version: Version) -> KvReply {
        match self.entries.get(key).map(|s| s.version) {
            Some(v) if v == version => {
                self.writes += 1;
                self.entries.remove(key);
                KvReply::Written {
                    version: Version(self.writes),
                }
            }
            _ => KvReply::Conflict {
                current: self.entry(key),
            },
        }
    }

    fn scan(&self, prefix: &str, after: Option<&KvKey>, limit: u32) -> Vec<KvEntry> {
        let start = KvKey::from_wire(prefix);
        let lower = match after {
            Some(a) if *a >= start => Bound::Excluded(a.clone()),
            _ => Bound::Included(start),
        };
        let range = self.entries.range((lower, Bound::Unbounded));
        let matching = range.take_while(|(k, _)| k.as_str().starts_with(prefix));
        let keys = matching.take(limit as usize).map(|(k, _)| k);
        keys.filter_map(|k| self.entry(k)).collect()
    }

    fn lapse(&mut self, now: MonoTime) {
        if self.faults.lapse_leases {
            self.faults.lapse_leases = false;
            self.bites.lapsed += self.leases.len() as u64;
            self.leases.clear();
        }
        self.leases.retain(|_, l| l.until > now);
        let leases = &self.leases;
        self.entries
            .retain(|_, s| s.lease.is_none_or(|l| leases.contains_key(&l)));
    }
}
