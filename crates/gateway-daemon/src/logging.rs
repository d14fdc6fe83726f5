//! Writes the log as JSON lines on standard output.

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

/// How long a shutdown waits for queued lines to be written. In the worst case, 250 ms of
/// the grace period are left when the gateway has stopped.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Capacity of the queue of lines, about the number that an instance at full load logs in
/// one second.
const QUEUE_CAPACITY: usize = 2_048;

/// Starts logging, which lasts until the returned handle is dropped.
pub(crate) fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    // Libraries log errors only, unless everything is asked for with the trace level.
    let libraries = level.min(LevelFilter::Error);
    let mut spec = LogSpecification::builder();
    spec.default(match level {
        LevelFilter::Trace => level,
        _ => libraries,
    });
    for module in ["jd_gateway", "jd_adapter", "jd_net", "jacinthdeal_gateway"] {
        spec.module(module, level);
    }
    Logger::with(spec.build())
        .log_to_writer(Box::new(QueueWriter::start()))
        .start()
}

/// Queues lines for a thread that writes them.
///
/// If the reader of standard output stalls, direct writes would block the threads that
/// serve requests. Lines that do not fit into the queue are dropped and counted, and the
/// count is logged before the next line.
struct QueueWriter {
    tx: Sender<Vec<u8>>,
    dropped: AtomicU64,
    /// Closed by the writer thread when it ends.
    writer_done: Receiver<()>,
}

impl QueueWriter {
    fn start() -> QueueWriter {
        let (tx, rx) = async_channel::bounded(QUEUE_CAPACITY);
        let (done, writer_done) = async_channel::bounded(1);
        let writer = thread::Builder::new().name("log".into());
        // Without the thread nothing is written, and every line counts as dropped.
        let started = writer.spawn(move || {
            write_lines(&rx);
            drop(done);
        });
        if started.is_err() {
            tx.close();
        }
        QueueWriter {
            tx,
            dropped: AtomicU64::new(0),
            writer_done,
        }
    }

    fn push(&self, line: Vec<u8>) {
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines until the queue is closed, with a single write for all queued lines.
fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut buf) = rx.recv_blocking() {
        while let Ok(line) = rx.try_recv() {
            buf.extend_from_slice(&line);
        }
        // Standard output is closed, so the failure cannot be reported either.
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

    /// Waits until the queued lines have been written, so that the last lines of a shutdown
    /// are not lost with the process. The wait is bounded, since a stalled reader of standard
    /// output would otherwise hang the shutdown.
    fn shutdown(&self) {
        self.tx.close();
        let flushed = async {
            // No message is ever sent: the receive fails when the writer thread ends.
            let _ = self.writer_done.recv().await;
        };
        let timeout = async {
            Timer::after(FLUSH_TIMEOUT).await;
        };
        block_on(flushed.or(timeout));
    }
}
