//! Detection of connections that have stopped responding.

use std::collections::BTreeMap;
use std::time::Duration;

use jd_types::MonoTime;

/// Identifies a connection. Connections opened later have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

/// Tracks activity on the connections to one upstream.
///
/// A middlebox such as a NAT or load balancer can drop its state for a connection.
/// Requests on that connection then get neither a response nor an error, while new
/// connections work. The symptom is a connection with an outstanding request on which
/// nothing is received. A middlebox that lost one connection has probably lost the
/// older ones too, so these are retired with it. Treating the silence as a failure of
/// the upstream would eject a healthy upstream.
#[derive(Debug, Default)]
pub struct ConnectionMonitor {
    open: BTreeMap<ConnectionKey, Activity>,
    last_key: u64,
}

#[derive(Debug)]
struct Activity {
    opened_at: MonoTime,
    outstanding: u32,
    last_active: MonoTime,
}

impl ConnectionMonitor {
    /// Registers a newly opened connection.
    pub fn opened(&mut self, now: MonoTime) -> ConnectionKey {
        self.last_key += 1;
        let key = ConnectionKey(self.last_key);
        self.open.insert(
            key,
            Activity {
                opened_at: now,
                outstanding: 0,
                last_active: now,
            },
        );
        key
    }

    /// Records that a request was sent on the connection.
    pub fn sent(&mut self, now: MonoTime, key: ConnectionKey) {
        if let Some(activity) = self.open.get_mut(&key) {
            activity.outstanding += 1;
            activity.last_active = now;
        }
    }

    /// Records that data was received on the connection. `done` is true if it completed
    /// the response.
    pub fn received(&mut self, now: MonoTime, key: ConnectionKey, done: bool) {
        if let Some(activity) = self.open.get_mut(&key) {
            activity.last_active = now;
            activity.outstanding -= u32::from(done && activity.outstanding > 0);
        }
    }

    /// True if a response is awaited on a connection that was opened before this time.
    pub fn is_awaited_on_earlier(&self, time: MonoTime) -> bool {
        let mut open = self.open.values();
        open.any(|a| a.outstanding > 0 && a.opened_at < time)
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// True if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Removes a closed connection.
    pub fn closed(&mut self, key: ConnectionKey) {
        self.open.remove(&key);
    }

    /// Retires a connection that has a request outstanding and no activity for `timeout`,
    /// together with every older connection without activity since then. Returns the
    /// connections to close, or none if the connection is still active.
    pub fn retire_silent(
        &mut self,
        now: MonoTime,
        key: ConnectionKey,
        timeout: Duration,
    ) -> Vec<ConnectionKey> {
        let silent_since = match self.open.get(&key) {
            Some(a) if a.outstanding > 0 && now.since(a.last_active) >= timeout => a.last_active,
            _ => return Vec::new(),
        };
        let stale = |k: &ConnectionKey, a: &Activity| *k <= key && a.last_active <= silent_since;
        let retired: Vec<ConnectionKey> = self
            .open
            .iter()
            .filter(|(k, a)| stale(k, a))
            .map(|(k, _)| *k)
            .collect();
        for key in &retired {
            self.open.remove(key);
        }
        retired
    }
}
