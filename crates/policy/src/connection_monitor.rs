//! Which connections have gone silent.

use std::collections::BTreeMap;
use std::time::Duration;

use jd_types::MonoTime;

/// A connection's number; later ones have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

/// Watches the connections to one upstream.
///
/// Guards against the connection that something between the ends has lost
/// track of: requests on it get no answer and no error, for good, while new
/// connections work. It shows as silence with a request outstanding. Whatever
/// forgot that connection has likely forgotten those opened before it, so the
/// older ones are retired with it; blaming the upstream instead would eject a
/// healthy one.
#[derive(Debug, Default)]
pub struct ConnectionMonitor {
    open: BTreeMap<ConnectionKey, Progress>,
    last_key: u64,
}

#[derive(Debug)]
struct Progress {
    outstanding: u32,
    last: MonoTime,
}

impl ConnectionMonitor {
    /// A connection was opened.
    pub fn opened(&mut self, now: MonoTime) -> ConnectionKey {
        self.last_key += 1;
        let key = ConnectionKey(self.last_key);
        self.open.insert(
            key,
            Progress {
                outstanding: 0,
                last: now,
            },
        );
        key
    }

    /// A request went out on it.
    pub fn sent(&mut self, now: MonoTime, key: ConnectionKey) {
        if let Some(p) = self.open.get_mut(&key) {
            p.outstanding += 1;
            p.last = now;
        }
    }

    /// Something came back on it; `done` if that ends the request.
    pub fn received(&mut self, now: MonoTime, key: ConnectionKey, done: bool) {
        if let Some(p) = self.open.get_mut(&key) {
            p.last = now;
            p.outstanding -= u32::from(done && p.outstanding > 0);
        }
    }

    /// A connection was closed.
    pub fn closed(&mut self, key: ConnectionKey) {
        self.open.remove(&key);
    }

    /// Retires a connection on which nothing has been heard for `patience`
    /// with a request outstanding, and every older one that has not been heard
    /// since that request went out. Returns those to close; none if it is fine.
    pub fn retire_silent(
        &mut self,
        now: MonoTime,
        key: ConnectionKey,
        patience: Duration,
    ) -> Vec<ConnectionKey> {
        let silent_since = match self.open.get(&key) {
            Some(p) if p.outstanding > 0 && now.since(p.last) >= patience => p.last,
            _ => return Vec::new(),
        };
        let stale = |k: &ConnectionKey, p: &Progress| *k <= key && p.last <= silent_since;
        let retired: Vec<ConnectionKey> = self
            .open
            .iter()
            .filter(|(k, p)| stale(k, p))
            .map(|(k, _)| *k)
            .collect();
        for key in &retired {
            self.open.remove(key);
        }
        retired
    }
}
