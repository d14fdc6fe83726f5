//! The log lines of any number of instances.

use std::io;
use std::io::BufRead;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::LogLine;
use crate::MalformedLine;

/// Malformed lines that are kept for the report; further ones are only counted.
const MAX_REPORTED: usize = 5;

/// The log lines of any number of instances.
#[derive(Debug, Default)]
pub struct Log {
    lines: Vec<LogLine>,
    malformed: Vec<MalformedLine>,
    malformed_count: usize,
}

impl Log {
    /// Reads all lines of `input`, whose name is `file`. Malformed lines are counted;
    /// the only errors are those of reading `input`.
    pub fn read(&mut self, file: &str, mut input: impl BufRead) -> io::Result<()> {
        let mut number = 0;
        let mut buf = Vec::new();
        while input.read_until(b'\n', &mut buf)? > 0 {
            number += 1;
            match std::str::from_utf8(&buf) {
                Ok(text) if text.trim().is_empty() => {}
                Ok(text) => match LogLine::parse(file, text.trim_end()) {
                    Ok(line) => self.lines.push(line),
                    Err(reason) => self.add_malformed(file, number, reason),
                },
                Err(e) => self.add_malformed(file, number, format_compact!("{e}")),
            }
            buf.clear();
        }
        Ok(())
    }

    /// All lines, sorted by the time at which they were written.
    pub fn lines(&mut self) -> &[LogLine] {
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
        &self.lines
    }

    /// The first malformed lines, and the number of all malformed lines.
    pub fn malformed(&self) -> (&[MalformedLine], usize) {
        (&self.malformed, self.malformed_count)
    }

    fn add_malformed(&mut self, file: &str, number: usize, reason: CompactString) {
        self.malformed_count += 1;
        if self.malformed.len() < MAX_REPORTED {
            let file = file.into();
            self.malformed.push(MalformedLine {
                file,
                number,
                reason,
            });
        }
    }
}
