//! Reports what is held for callers and of upstreams, and who was refused for want of room.

use std::sync::Arc;

use jd_net::AnswerCounts;
use jd_net::ClosedConnections;
use jd_net::HttpServer;

use crate::caller_memory::MemoryCounts;
use crate::state::State;

/// Reports what is held for callers.
pub(crate) struct MemoryMonitor {
    state: Arc<State>,
    callers: Arc<HttpServer>,
    closed: ClosedConnections,
    counts: MemoryCounts,
    answers: AnswerCounts,
}

impl MemoryMonitor {
    pub(crate) fn new(state: Arc<State>, callers: Arc<HttpServer>) -> MemoryMonitor {
        MemoryMonitor {
            state,
            callers,
            closed: ClosedConnections::default(),
            counts: MemoryCounts::default(),
            answers: AnswerCounts::default(),
        }
    }

    /// Reports what has changed since the last report, in one line for all connections, one for all
    /// bodies and one for all answers.
    pub(crate) fn report(&mut self) {
        self.report_connections();
        self.report_bodies();
        self.report_answers();
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

    fn report_bodies(&mut self) {
        let memory = &self.state.caller_memory;
        let used = memory.used();
        self.state.metrics.body_bytes(used);
        let counts = memory.counts();
        let before = std::mem::replace(&mut self.counts, counts);
        if counts == before {
            return;
        }
        let refused = counts.refused - before.refused;
        let revoked = counts.revoked - before.revoked;
        self.state.metrics.bodies_without_memory("refused", refused);
        self.state.metrics.bodies_without_memory("stalled", revoked);
        log::warn!(
            used_bytes = used,
            limit_bytes = self.state.memory_split.body_bytes,
            refused,
            stalled = revoked;
            "bodies refused for want of memory"
        );
    }

    fn report_answers(&mut self) {
        let memory = &self.state.answer_memory;
        let used = memory.used();
        self.state.metrics.answer_bytes(used);
        let counts = memory.counts();
        let before = std::mem::replace(&mut self.answers, counts);
        if counts == before {
            return;
        }
        let largest = counts.largest - before.largest;
        let no_room = counts.no_room - before.no_room;
        let metrics = &self.state.metrics;
        metrics.answers_without_memory("largest", largest);
        metrics.answers_without_memory("no-room", no_room);
        log::warn!(
            used_bytes = used,
            limit_bytes = self.state.memory_split.answer_bytes,
            largest,
            no_room;
            "answers ended for want of memory"
        );
    }
}
