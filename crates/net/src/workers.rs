//! The threads that run everything.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Executor;
use async_executor::Task;

use crate::lock;

/// Threads that run one shared executor until the last handle is dropped.
#[derive(Debug, Clone)]
pub struct Workers {
    executor: Arc<Executor<'static>>,
    threads: usize,
    running: Arc<Mutex<Sender<()>>>,
}

impl Workers {
    /// Starts `threads` threads.
    pub fn start(threads: usize) -> std::io::Result<Workers> {
        let executor = Arc::new(Executor::new());
        let threads = threads.max(1);
        let tx = run_threads(&executor, threads)?;
        Ok(Workers {
            executor,
            threads,
            running: Arc::new(Mutex::new(tx)),
        })
    }

    /// Stops the threads where they are, as the system does with a process that
    /// it suspends: tasks stay as they are and connections stay open.
    pub fn suspend(&self) {
        lock(&self.running).close();
    }

    /// Goes on after [`Workers::suspend`].
    pub fn resume(&self) -> std::io::Result<()> {
        *lock(&self.running) = run_threads(&self.executor, self.threads)?;
        Ok(())
    }

    /// The executor, for libraries that spawn.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        Arc::clone(&self.executor)
    }

    /// Runs `f` on the threads. Dropping the task cancels it.
    pub fn spawn<T: Send + 'static>(&self, f: impl Future<Output = T> + Send + 'static) -> Task<T> {
        self.executor.spawn(f)
    }
}

fn run_threads(executor: &Arc<Executor<'static>>, threads: usize) -> std::io::Result<Sender<()>> {
    let (tx, rx) = async_channel::bounded(1);
    for number in 0..threads {
        let name = format!("worker-{number}");
        let executor = Arc::clone(executor);
        let rx: Receiver<()> = rx.clone();
        thread::Builder::new().name(name).spawn(move || {
            // Ends with an error once the channel is closed or dropped.
            let _ = async_io::block_on(executor.run(rx.recv()));
        })?;
    }
    Ok(tx)
}
