//! Threads that repeat one turn.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::thread::{
    self,
    JoinHandle, //
};

/// A thread that repeats its turn until it is told to end. A turn that waits does so parked or at
/// a channel.
#[derive(Debug)]
pub struct Worker {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts a thread that repeats `turn` until it is stopped, or `turn` says by none that it is
    /// over.
    ///
    /// # Errors
    ///
    /// The operating system's, if no thread can be started.
    pub fn start(
        name: &str,
        mut turn: impl FnMut() -> Option<()> + Send + 'static,
    ) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let run = move || {
            while !stopped.load(Ordering::Acquire) {
                if turn().is_none() {
                    return;
                }
            }
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(Self { stop, thread })
    }

    /// Asks the thread to end after its turn, without waiting for it.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        self.thread.thread().unpark();
    }

    /// Ends the thread after its turn.
    pub fn close(self) {
        self.stop();
        self.finish();
    }

    /// Waits until the thread's turns are over by themselves.
    pub fn finish(self) {
        let _ = self.thread.join();
    }
}
