//! Worker threads that run the async executor.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Executor;
use async_executor::Task;

use crate::lock;

/// Worker threads that run a shared executor until the last handle is dropped.
#[derive(Debug, Clone)]
pub struct Workers {
    executor: Arc<Executor<'static>>,
    threads: usize,
    running: Arc<Mutex<Sender<()>>>,
}

impl Workers {
    /// Starts `threads` worker threads, at least one.
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

    /// Suspends the threads, as the operating system suspends a process. Tasks keep their
    /// state, and connections stay open.
    pub fn suspend(&self) {
        lock(&self.running).close();
    }

    /// Resumes the threads after [`Workers::suspend`].
    pub fn resume(&self) -> std::io::Result<()> {
        *lock(&self.running) = run_threads(&self.executor, self.threads)?;
        Ok(())
    }

    /// The executor, for libraries that spawn tasks.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        Arc::clone(&self.executor)
    }

    /// Runs `future` on the worker threads. Dropping the returned task cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}

fn run_threads(executor: &Arc<Executor<'static>>, threads: usize) -> std::io::Result<Sender<()>> {
    let (tx, rx) = async_channel::bounded(1);
    for number in 0..threads {
        let name = format!("worker-{number}");
        let executor = Arc::clone(executor);
        let rx: Receiver<()> = rx.clone();
        thread::Builder::new().name(name).spawn(move || {
            // Returns an error once the channel is closed or dropped.
            let _ = async_io::block_on(executor.run(rx.recv()));
        })?;
    }
    Ok(tx)
}
