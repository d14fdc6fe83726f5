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

/// Finds the ends of lines, which are a line feed, a carriage return, or both, in this order.
#[derive(Debug, Default)]
pub(crate) struct EventLines {
    /// The first byte of the current line.
    first: u8,
    /// The bytes of the current line so far.
    len: usize,
    after_return: bool,
}

impl EventLines {
    /// Takes the next byte. Returns the line that ends with it.
    pub(crate) fn push(&mut self, byte: u8) -> Option<EventLine> {
        let is_second = self.is_second_of_end(byte);
        self.after_return = byte == b'\r';
        match byte {
            _ if is_second => None,
            b'\n' | b'\r' => Some(match std::mem::take(&mut self.len) {
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

    /// True if the byte is the line feed of a line end whose carriage return has ended the line.
    pub(crate) fn is_second_of_end(&self, byte: u8) -> bool {
        self.after_return && byte == b'\n'
    }

    /// True if the latest bytes are of a line that has not ended.
    pub(crate) fn is_inside_line(&self) -> bool {
        self.len > 0
    }
}
