//! How many log lines of one kind are written.

use std::time::Duration;

use jd_types::MonoTime;

/// The time in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Bounds the log lines of one kind, so that a crowd of clients costs little time and hides no other
/// line.
#[derive(Debug, Default)]
pub struct LineLimit {
    window_began: MonoTime,
    lines: u32,
}

/// What to do with a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineDecision {
    /// True if the line is to be written.
    pub is_written: bool,
    /// Lines of the window before that were not written, to be told in one line.
    pub left_out: u32,
}

impl LineLimit {
    /// Lines that are written one by one in a window of one second.
    pub const MAX_LINES: u32 = 200;

    /// Decides on the next line.
    pub fn decide(&mut self, now: MonoTime) -> LineDecision {
        let mut left_out = 0;
        if now.since(self.window_began) >= WINDOW {
            left_out = self.lines.saturating_sub(LineLimit::MAX_LINES);
            self.window_began = now;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        LineDecision {
            is_written: self.lines <= LineLimit::MAX_LINES,
            left_out,
        }
    }
}
