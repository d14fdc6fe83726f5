//! The warnings that gateways log.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::Once;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Recorder;

/// The message of a line and its values, each as ` name=value`.
struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

impl Log for Recorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line(record.args().to_string());
        record.key_values().visit(&mut line).expect("values");
        LINES.lock().expect("a lock").push(line.0);
    }

    fn flush(&self) {}
}

/// Records the warnings of all tests of this process from now on.
pub(crate) fn record_warnings() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        log::set_logger(&Recorder).expect("no other logger");
        log::set_max_level(LevelFilter::Warn);
    });
}

/// The recorded warnings on a request.
pub(crate) fn warnings_on(request: &str) -> Vec<String> {
    let named = format!(" request={request} ");
    let lines = LINES.lock().expect("a lock");
    lines
        .iter()
        .filter(|l| l.contains(&named))
        .cloned()
        .collect()
}
