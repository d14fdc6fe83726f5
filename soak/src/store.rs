//! The data of the fake store: records, leases and the history of changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// A record of the store.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) key: String,
    /// `None` if the record was removed.
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) revision: u64,
    pub(crate) created: u64,
    pub(crate) lease: u64,
    /// What is answered in place of a valid item.
    pub(crate) raw_item: Option<Vec<u8>>,
}

/// Records, leases and history.
#[derive(Debug, Clone, Default)]
pub(crate) struct Records {
    era: u64,
    revision: u64,
    records: BTreeMap<String, Record>,
    history: VecDeque<Record>,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

impl Records {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes and removes records under one revision if the expected revisions are current.
    /// Otherwise returns the current records of the expected keys.
    pub(crate) fn write(
        &mut self,
        expected: &[(String, u64)],
        puts: Vec<(String, Vec<u8>, u64)>,
        removed: &[String],
    ) -> Result<u64, Vec<Record>> {
        let now = |key: &String| self.records.get(key).map_or(0, |r| r.revision);
        if expected.iter().any(|(key, revision)| now(key) != *revision) {
            let current = expected.iter().filter_map(|(key, _)| self.records.get(key));
            return Err(current.cloned().collect());
        }
        self.revision += 1;
        for (key, value, lease) in puts {
            let created = self.records.get(&key).map_or(self.revision, |r| r.created);
            let record = Record {
                key: key.clone(),
                value: Some(value),
                revision: self.revision,
                created,
                lease,
                raw_item: None,
            };
            self.history.push_back(record.clone());
            self.records.insert(key, record);
        }
        for key in removed {
            self.remove(key);
        }
        Ok(self.revision)
    }

    /// Writes a record that is answered as these bytes.
    pub(crate) fn write_item(&mut self, key: &str, item: Vec<u8>) {
        self.revision += 1;
        let record = Record {
            key: key.into(),
            value: Some(Vec::new()),
            revision: self.revision,
            created: self.revision,
            lease: 0,
            raw_item: Some(item),
        };
        self.history.push_back(record.clone());
        self.records.insert(key.into(), record);
    }

    pub(crate) fn range(&self, prefix: &str, after: &str) -> Vec<Record> {
        let all = self.records.values();
        let wanted = all.filter(|r| r.key.starts_with(prefix) && r.key.as_str() > after);
        wanted.cloned().collect()
    }

    /// Returns the changes after a revision, or `None` if they are no longer in the history.
    pub(crate) fn since(&self, after: u64, prefix: &str) -> Option<Vec<Record>> {
        if after < self.compacted || after > self.revision {
            return None;
        }
        let news = self.history.iter();
        let news = news.filter(|r| r.revision > after && r.key.starts_with(prefix));
        Some(news.cloned().collect())
    }

    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    /// Restores a copy under a new era. Revisions and leases are assigned again from there.
    pub(crate) fn restore(&mut self, copy: Records) {
        let era = self.era + 1;
        *self = Records { era, ..copy };
        self.compact();
    }

    pub(crate) fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    pub(crate) fn lease(&mut self, now: Instant, lifetime: Duration) -> u64 {
        self.revision += 1;
        let lease = self.revision;
        self.leases.insert(lease, (now + lifetime, lifetime));
        lease
    }

    /// Renews a lease. Returns false if the lease has expired.
    pub(crate) fn renew(&mut self, now: Instant, lease: u64) -> bool {
        match self.leases.get_mut(&lease) {
            Some((until, lifetime)) => {
                *until = now + *lifetime;
                true
            }
            None => false,
        }
    }

    pub(crate) fn has_lease(&self, lease: u64) -> bool {
        lease == 0 || self.leases.contains_key(&lease)
    }

    /// Removes expired leases with their records. Returns true if any record was removed.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        self.leases.retain(|_, (until, _)| *until > now);
        let lapsed = |r: &&Record| over.contains(&r.lease);
        let keys: Vec<String> = self
            .records
            .values()
            .filter(lapsed)
            .map(|r| r.key.clone())
            .collect();
        self.revision += u64::from(!keys.is_empty());
        for key in &keys {
            self.remove(key);
        }
        !keys.is_empty()
    }

    fn remove(&mut self, key: &str) {
        if let Some(record) = self.records.remove(key) {
            self.history.push_back(Record {
                value: None,
                revision: self.revision,
                raw_item: None,
                ..record
            });
        }
    }
}
