//! The lines of an event stream.

/// Begins a comment.
const COMMENT: u8 = b':';

/// A line of an event stream that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventLine {
    /// It ends an event.
    Blank,
    /// It belongs to no event.
    Comment,
    /// A field of an event, with its length in bytes.
    Field(usize),
}

/// Finds the ends of lines.
#[derive(Debug, Default)]
pub(crate) struct EventLines {
    /// The first byte of the current line.
    first: u8,
    /// The bytes of the current line so far.
    len: usize,
}

impl EventLines {
    /// Takes the next byte. Returns the line that ends with it.
    pub(crate) fn push(&mut self, byte: u8) -> Option<EventLine> {
        match byte {
            b'\n' => Some(match std::mem::take(&mut self.len) {
                0 => EventLine::Blank,
                _ if self.first == COMMENT => EventLine::Comment,
                len => EventLine::Field(len),
            }),
            _ => {
                if self.len == 0 {
                    self.first = byte;
                }
                self.len += 1;
                None
            }
        }
    }

    /// True if the latest bytes are of a line that has not ended.
    pub(crate) fn is_inside_line(&self) -> bool {
        self.len > 0
    }
}
