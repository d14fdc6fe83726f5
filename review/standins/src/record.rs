//! The record of a run: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug)]
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            began: Instant::now(),
            lines: Mutex::default(),
        }
    }
}

impl Record {
    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().expect("the record");
        lines.push(format!("{at:8.3} {}", line.as_ref()));
    }

    pub fn write(&self, path: &Path) {
        let mut file = File::create(path).expect("record.txt");
        for line in self.lines.lock().expect("the record").iter() {
            let _ = writeln!(file, "{line}");
        }
    }
}
