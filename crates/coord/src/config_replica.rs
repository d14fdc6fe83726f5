//! This instance's copy of the configuration.

use std::collections::VecDeque;

use jd_types::ChangeRecord;
use jd_types::Config;
use jd_types::Revision;

/// Records that are kept for peers that are behind, and for `explain`.
const TAIL: usize = 512;
/// The most records in one answer to a peer.
const BATCH: usize = 64;

/// What learning did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Learned {
    /// The revision went up.
    Advanced,
    /// Nothing new.
    Nothing,
    /// Records between are missing; ask somebody for what comes after ours.
    Gap,
}

/// What a peer that is behind needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delta {
    /// It is not behind.
    Nothing,
    /// The records after its revision, in order.
    Records(Vec<ChangeRecord>),
    /// Everything: it is further behind than the records that are kept.
    Snapshot(Box<Config>),
}

/// This instance's copy of the configuration, fed from the platform's service
/// and from peers.
///
/// Guards against reverting: a restarted instance, a lagging watch or an old
/// peer offers an earlier state, and a limit or a version falls back. A record
/// is applied only if it is the very next one, and a snapshot only if it is
/// later than what is in force, so the revision can only grow.
///
/// # Examples
///
/// ```
/// use jd_coord::ConfigReplica;
/// use jd_coord::Learned;
/// use jd_types::Config;
/// use jd_types::Revision;
///
/// let mut replica = ConfigReplica::default();
/// let newer = Config { revision: Revision::new(3), ..Config::default() };
/// assert_eq!(replica.learn_snapshot(newer), Learned::Advanced);
/// assert_eq!(replica.learn_snapshot(Config::default()), Learned::Nothing);
/// ```
#[derive(Debug, Default)]
pub struct ConfigReplica {
    config: Config,
    tail: VecDeque<ChangeRecord>,
}

impl ConfigReplica {
    /// The configuration in force here.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The newest records, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &ChangeRecord> {
        self.tail.iter()
    }

    /// Takes in one record.
    pub fn learn(&mut self, record: ChangeRecord) -> Learned {
        match record.revision {
            r if r <= self.config.revision => Learned::Nothing,
            _ if self.config.apply_record(&record) => {
                self.tail.push_back(record);
                if self.tail.len() > TAIL {
                    self.tail.pop_front();
                }
                Learned::Advanced
            }
            _ => Learned::Gap,
        }
    }

    /// Takes in a snapshot.
    pub fn learn_snapshot(&mut self, snapshot: Config) -> Learned {
        match snapshot.revision > self.config.revision {
            true => {
                self.config = snapshot;
                // The kept records no longer reach the present revision.
                self.tail.clear();
                Learned::Advanced
            }
            false => Learned::Nothing,
        }
    }

    /// What a peer at `revision` needs.
    pub fn after(&self, revision: Revision) -> Delta {
        if revision >= self.config.revision {
            return Delta::Nothing;
        }
        let first = self.tail.front().map(|r| r.revision);
        match first {
            Some(first) if first <= revision.next() => {
                let skip = usize::try_from(revision.get() + 1 - first.get()).unwrap_or(usize::MAX);
                let records = self.tail.iter().skip(skip).take(BATCH).cloned();
                Delta::Records(records.collect())
            }
            _ => Delta::Snapshot(Box::new(self.config.clone())),
        }
    }
}
