//! Splits a byte stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;
use snafu::ensure;

/// Terminates an event.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line with an event's number.
const ID_LINE: &[u8] = b"id:";
/// Maximum size of an event, and of what comes between two events, in bytes. Events hold several
/// tokens, which take some kilobytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An upstream sent more bytes without an event than an event may have.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
#[snafu(display("no event ended within {MAX_EVENT_BYTES} bytes; check the upstream"))]
pub struct EventTooLarge;

/// What the end of a response body says about its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream is complete.
    Whole,
    /// The upstream broke the stream off.
    BrokenOff,
}

/// Splits a byte stream into complete events.
///
/// Guards against an upstream that stops in the middle of an event: only complete events are
/// forwarded, so that another upstream can continue after the last of them without a gap or a
/// partial event in between.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Bytes of blank lines and comments since the last event.
    filler: usize,
    last: Option<u64>,
    /// True once the current response has brought an event.
    has_events: bool,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now.
    ///
    /// Fails if more than [`MAX_EVENT_BYTES`] would be kept, or came without an event. The response
    /// must not be read any further then.
    pub fn push(&mut self, part: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        // Only an end that the new bytes complete can be new.
        let searched = self.partial.len().saturating_sub(EVENT_END.len() - 1);
        self.partial.extend_from_slice(part);
        let Some(found) = find_last(&self.partial[searched..], EVENT_END) else {
            let without_event = self.partial.len() + self.filler;
            ensure!(without_event <= MAX_EVENT_BYTES, EventTooLargeSnafu);
            return Ok(None);
        };
        let end = searched + found + EVENT_END.len();
        let complete = self.partial.split_to(end).freeze();
        self.filler = match complete.split(|b| *b == b'\n').any(has_content) {
            true => 0,
            false => self.filler + complete.len(),
        };
        ensure!(self.filler <= MAX_EVENT_BYTES, EventTooLargeSnafu);
        self.last = last_id(&complete).or(self.last);
        self.has_events = true;
        Ok(Some(complete))
    }

    /// The number of complete events in bytes that [`EventSplitter::push`] returned. Blank lines
    /// between events do not count.
    pub fn count_events(events: &[u8]) -> u32 {
        let ends = events.windows(1 + EVENT_END.len());
        let is_event_end = |w: &&[u8]| w[0] != b'\n' && w[1..] == *EVENT_END;
        let count = ends.filter(is_event_end).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// The number of the last complete event, if there was one.
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// The number of bytes of an incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Judges a response body that has ended without an error. `is_marked` is true if a length or
    /// a last chunk marks its end.
    ///
    /// Without a mark, a process that breaks off and closes its connection in order looks like one
    /// that has sent everything, so that only the end of an event shows that the stream is
    /// complete. A marked body without any event is not an event stream and is passed on as it is.
    pub fn end(&self, is_marked: bool) -> StreamEnd {
        let ends_inside_event = self.partial.iter().any(|b| *b != b'\n');
        match (self.has_events, ends_inside_event) {
            (true, false) => StreamEnd::Whole,
            (false, _) if is_marked => StreamEnd::Whole,
            (true, true) | (false, _) => StreamEnd::BrokenOff,
        }
    }

    /// Drops an incomplete event, and continues with the response of another upstream, of which
    /// `next` has read the beginning.
    pub fn follow(&mut self, next: EventSplitter) {
        let last = next.last.or(self.last);
        *self = EventSplitter { last, ..next };
    }

    /// Takes the bytes after the last complete event.
    pub fn take_remaining(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// True for a line that is neither blank nor a comment.
fn has_content(line: &[u8]) -> bool {
    !matches!(line, [] | [b':', ..])
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
