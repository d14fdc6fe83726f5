//! The lines of any number of instances.

use std::io;
use std::io::BufRead;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::LogLine;
use crate::MalformedLine;

/// Bad lines that are kept to be named; the others are counted.
const NAMED: usize = 5;

/// The lines of any number of instances.
#[derive(Debug, Default)]
pub struct Log {
    lines: Vec<LogLine>,
    bad: Vec<MalformedLine>,
    bad_count: usize,
}

impl Log {
    /// Takes in all lines of `input`, which is called `file`. Fails only where the
    /// system does; lines that are no log lines are counted.
    pub fn read(&mut self, file: &str, mut input: impl BufRead) -> io::Result<()> {
        let mut number = 0;
        let mut buf = Vec::new();
        while input.read_until(b'\n', &mut buf)? > 0 {
            number += 1;
            match std::str::from_utf8(&buf) {
                Ok(text) if text.trim().is_empty() => {}
                Ok(text) => match LogLine::read(file, text.trim_end()) {
                    Ok(line) => self.lines.push(line),
                    Err(reason) => self.is_bad(file, number, reason),
                },
                Err(e) => self.is_bad(file, number, format_compact!("{e}")),
            }
            buf.clear();
        }
        Ok(())
    }

    /// All lines, by the time at which they were written.
    pub fn lines(&mut self) -> &[LogLine] {
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
        &self.lines
    }

    /// The first few lines that were not log lines, and how many there were.
    pub fn malformed(&self) -> (&[MalformedLine], usize) {
        (&self.bad, self.bad_count)
    }

    fn is_bad(&mut self, file: &str, number: usize, reason: CompactString) {
        self.bad_count += 1;
        if self.bad.len() < NAMED {
            let file = file.into();
            self.bad.push(MalformedLine {
                file,
                number,
                reason,
            });
        }
    }
}
