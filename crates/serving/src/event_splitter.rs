//! Whole events out of a stream of bytes.

use bytes::Bytes;
use bytes::BytesMut;

/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// What begins the line with an event's number.
const ID_LINE: &[u8] = b"id:";

/// Cuts a stream of bytes into whole events.
///
/// Guards against an upstream that stops in the middle of an event: only whole
/// events are passed on, so that another upstream can go on after the last of
/// them without a gap or a torn event in between.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes in and returns the whole events that are there now.
    pub fn push(&mut self, part: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(part);
        let end = find_last(&self.rest, EVENT_END)? + EVENT_END.len();
        let whole = self.rest.split_to(end).freeze();
        self.last = last_id(&whole).or(self.last);
        Some(whole)
    }

    /// The number of the last whole event; none before the first.
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Bytes of an event that is not whole.
    pub fn take_remaining(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn find_last(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).rposition(|w| w == what)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_LINE));
    let text = std::str::from_utf8(ids.next_back()?).ok()?;
    text.trim().parse().ok()
}
