//! Splits a byte stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;
use snafu::Snafu;
use snafu::ensure;

use crate::EventOrder;
use crate::OutOfOrder;
use crate::ReceivedBody;
use crate::event_lines::EventLine;
use crate::event_lines::EventLines;

/// Prefix of the line with an event's number.
const ID_LINE: &[u8] = b"id:";
/// Maximum size of an event, and of what comes between two events, in bytes. Events hold several
/// tokens, which take some kilobytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An upstream sent more bytes without an event than an event may have.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
#[snafu(display("no event ended within {MAX_EVENT_BYTES} bytes; check the upstream"))]
pub struct EventTooLarge;

/// The lines since the latest blank line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Block {
    #[default]
    Blank,
    /// Comments alone.
    Comment,
    /// An event, with its number if that has come.
    Event(Option<u64>),
}

/// Splits a byte stream into complete events.
///
/// Guards against an upstream that stops in the middle of an event: only complete events are
/// forwarded, so that another upstream can continue after the last of them without a gap or a
/// partial event in between.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Bytes of an incomplete event that was dropped.
    dropped: usize,
    lines: EventLines,
    block: Block,
    /// Bytes of blank lines and comments since the last event.
    filler: usize,
    last: Option<u64>,
    /// True if the last complete event has no number.
    is_unnumbered: bool,
    /// True once the current response has brought a byte.
    has_bytes: bool,
    /// The number of events that the current response has brought.
    events: u32,
    order: EventOrder,
    out_of_order: Option<OutOfOrder>,
}

impl EventSplitter {
    /// Splits a response whose events come in this order.
    pub fn new(order: EventOrder) -> EventSplitter {
        EventSplitter {
            order,
            ..EventSplitter::default()
        }
    }

    /// Appends bytes and returns the events and comments that are complete now.
    ///
    /// Fails if more than [`MAX_EVENT_BYTES`] would be kept, or came without an event. The response
    /// must not be read any further then. Nothing is complete from an event on that is out of order.
    pub fn push(&mut self, part: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        if self.out_of_order.is_some() {
            return Ok(None);
        }
        let searched = self.partial.len();
        self.partial.extend_from_slice(part);
        self.has_bytes |= !part.is_empty();
        let events_before = self.events;
        let mut end = 0;
        for at in searched..self.partial.len() {
            let byte = self.partial[at];
            if self.lines.is_second_of_end(byte) && end == at && end > 0 {
                end = at + 1;
            }
            if let Some(line) = self.lines.push(byte)
                && self.take_line(line, at)
            {
                end = at + 1;
            }
            if self.out_of_order.is_some() {
                break;
            }
        }
        let complete = self.partial.split_to(end).freeze();
        if self.out_of_order.is_some() {
            self.partial.clear();
        }
        self.filler = match self.events > events_before {
            true => 0,
            false => self.filler + complete.len(),
        };
        let without_event = self.partial.len() + self.filler;
        ensure!(without_event <= MAX_EVENT_BYTES, EventTooLargeSnafu);
        Ok((!complete.is_empty()).then_some(complete))
    }

    /// Takes a line that ends at `at`. Returns true if an event or a comment is complete with it.
    fn take_line(&mut self, line: EventLine, at: usize) -> bool {
        self.block = match (line, self.block) {
            // A blank line alone goes out with what follows it.
            (EventLine::Blank, Block::Blank) => Block::Blank,
            (EventLine::Blank, Block::Comment) => {
                self.block = Block::Blank;
                return true;
            }
            (EventLine::Blank, Block::Event(id)) => {
                self.block = Block::Blank;
                if let Some(Err(e)) = id.map(|number| self.order.take(number)) {
                    self.out_of_order = Some(e);
                    return false;
                }
                self.last = id.or(self.last);
                self.is_unnumbered = id.is_none();
                self.events = self.events.saturating_add(1);
                return true;
            }
            (EventLine::Comment, Block::Blank) => Block::Comment,
            (EventLine::Comment, block) => block,
            (EventLine::Field(len), block) => {
                let id = event_id(&self.partial[at - len..at]);
                let earlier = match block {
                    Block::Event(earlier) => earlier,
                    Block::Blank | Block::Comment => None,
                };
                Block::Event(id.or(earlier))
            }
        };
        false
    }

    /// The number of complete events in bytes that [`EventSplitter::push`] returned. Blank lines and
    /// comments between events do not count.
    pub fn count_events(events: &[u8]) -> u32 {
        let mut lines = EventLines::default();
        let mut in_event = false;
        let mut count = 0;
        for line in events.iter().filter_map(|b| lines.push(*b)) {
            match line {
                EventLine::Blank => count += u32::from(std::mem::take(&mut in_event)),
                EventLine::Comment => {}
                EventLine::Field(_) => in_event = true,
            }
        }
        count
    }

    /// The number of the last complete event, if there was one.
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// The first event that was out of order, if there was one.
    pub fn out_of_order(&self) -> Option<OutOfOrder> {
        self.out_of_order
    }

    /// The order of the events so far.
    pub fn order(&self) -> EventOrder {
        self.order
    }

    /// True if another upstream can be told where to go on: the last complete event has a number
    /// that is the highest, or there was none.
    pub fn can_resume(&self) -> bool {
        !self.is_unnumbered && !self.order.is_unordered()
    }

    /// The most memory that is held while `part` is pushed: a buffer that grows is copied, and at least
    /// doubled.
    pub fn bytes_to_push(&self, part: &[u8]) -> usize {
        let needed = self.partial.len() + part.len();
        match needed <= self.partial.capacity() {
            true => self.partial.capacity(),
            false => self.partial.capacity() + needed.max(2 * self.partial.capacity()),
        }
    }

    /// The memory that is held for an incomplete event.
    pub fn held_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// The number of bytes of an incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len() + self.dropped
    }

    /// Where the current response is.
    pub fn received(&self) -> ReceivedBody {
        match self.block {
            _ if self.lines.is_inside_line() => ReceivedBody::InsideEvent,
            Block::Event(_) => ReceivedBody::InsideEvent,
            Block::Blank | Block::Comment if self.events > 0 => ReceivedBody::AfterEvent,
            Block::Blank | Block::Comment if self.has_bytes => ReceivedBody::NoEvent,
            Block::Blank | Block::Comment => ReceivedBody::Nothing,
        }
    }

    /// Continues a stream of which `earlier` has read the beginning, in the response of another
    /// upstream. An incomplete event of the earlier response is dropped.
    pub fn follow(&mut self, earlier: &EventSplitter) {
        if self.events == 0 {
            self.is_unnumbered = earlier.is_unnumbered;
        }
        self.last = self.last.or(earlier.last);
    }

    /// Drops an incomplete event of a response that is not read any further.
    pub fn drop_partial(&mut self) {
        self.dropped = self.partial.len();
        self.partial = BytesMut::new();
    }

    /// Takes the bytes after the last complete event.
    pub fn take_remaining(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// The number in a line with the number of an event.
fn event_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.strip_prefix(ID_LINE)?).ok()?;
    text.trim().parse().ok()
}
