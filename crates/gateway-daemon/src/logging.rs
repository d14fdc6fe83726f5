//! Logs as JSON lines on standard output.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_io::block_on;
use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::json_format;
use flexi_logger::writers::LogWriter;
use futures_lite::FutureExt;
use log::LevelFilter;
use log::Record;

/// How long a stop waits for its last lines to be written. A stop has 250 ms
/// left when it ends in the worst case.
const LAST_LINES_WITHIN: Duration = Duration::from_millis(100);
/// Lines that may wait to be written. About a second of the most that an
/// instance logs at its limit of work.
const MAX_WAITING: usize = 2_048;

/// Starts logging. The handle ends it when dropped.
pub(crate) fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    // The libraries' own chatter is of use only when everything is asked for.
    let others = level.min(LevelFilter::Error);
    let mut spec = LogSpecification::builder();
    spec.default(match level {
        LevelFilter::Trace => level,
        _ => others,
    });
    for module in ["jd_gateway", "jd_adapter", "jd_net", "jacinthdeal_gateway"] {
        spec.module(module, level);
    }
    Logger::with(spec.build())
        .log_to_writer(Box::new(QueueWriter::start()))
        .start()
}

/// Hands lines to a thread that writes them.
///
/// Guards against a reader of standard output that stands still: writing would
/// block the thread that serves requests. Lines beyond the queue are dropped
/// and counted, and the count is written with the next line.
struct QueueWriter {
    tx: Sender<Vec<u8>>,
    dropped: AtomicU64,
    /// Closed by the writing thread when it has written everything.
    written: Receiver<()>,
}

impl QueueWriter {
    fn start() -> QueueWriter {
        let (tx, rx) = async_channel::bounded(MAX_WAITING);
        let (writes, written) = async_channel::bounded(1);
        let writing = thread::Builder::new().name("log".into());
        // Without its thread nothing is written, and every line counts as dropped.
        let started = writing.spawn(move || {
            write_lines(&rx);
            drop(writes);
        });
        if started.is_err() {
            tx.close();
        }
        QueueWriter {
            tx,
            dropped: AtomicU64::new(0),
            written,
        }
    }

    fn push(&self, line: Vec<u8>) {
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines, as many at a time as are there.
fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut buf) = rx.recv_blocking() {
        while let Ok(line) = rx.try_recv() {
            buf.extend_from_slice(&line);
        }
        // Nobody reads standard output any more: there is nobody to tell.
        if out.write_all(&buf).is_err() {
            return;
        }
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.push(
                format!(
                    "{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"count\":{dropped}}}\n"
                )
                .into(),
            );
        }
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }

    /// Waits until what is queued has been written, so that a stop's last lines
    /// are not lost with the process, but not for a reader that stands still.
    fn shutdown(&self) {
        self.tx.close();
        let written = async {
            // Fails once the thread has ended, and nothing is ever sent.
            let _ = self.written.recv().await;
        };
        let late = async {
            Timer::after(LAST_LINES_WITHIN).await;
        };
        block_on(written.or(late));
    }
}
