//! Reports what is held for callers, and who was refused for want of room.

use std::sync::Arc;

use jd_net::ClosedConnections;
use jd_net::HttpServer;

use crate::state::State;

/// Reports what is held for callers.
pub(crate) struct MemoryMonitor {
    state: Arc<State>,
    callers: Arc<HttpServer>,
    closed: ClosedConnections,
}

impl MemoryMonitor {
    pub(crate) fn new(state: Arc<State>, callers: Arc<HttpServer>) -> MemoryMonitor {
        MemoryMonitor {
            state,
            callers,
            closed: ClosedConnections::default(),
        }
    }

    /// Reports what has changed since the last report, in one line for all connections.
    pub(crate) fn report(&mut self) {
        self.report_connections();
    }

    fn report_connections(&mut self) {
        let open = self.callers.open_connections();
        self.state.metrics.caller_connections(open);
        let closed = self.callers.closed_connections();
        let before = std::mem::replace(&mut self.closed, closed);
        if closed == before {
            return;
        }
        let changes = [
            ("refused", closed.refused - before.refused),
            ("closing", closed.closing - before.closing),
            ("head", closed.head - before.head),
            ("body", closed.body - before.body),
            ("idle", closed.idle - before.idle),
        ];
        for (phase, count) in changes {
            self.state.metrics.closed_connections(phase, count);
        }
        let [refused, closing, head, body, idle] = changes.map(|(_, count)| count);
        log::warn!(
            open,
            limit = self.state.memory_split.connections,
            refused,
            closing,
            head,
            body,
            idle;
            "connections closed for want of room"
        );
    }
}
