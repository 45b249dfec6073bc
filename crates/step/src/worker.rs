//! Worker threads, which repeat one function until they are stopped.

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

/// A thread that calls a function repeatedly until it is stopped.
///
/// The function may block only by parking the thread, which [`Worker::stop`] unparks, or on a
/// channel whose other side is dropped to end the worker. It must not poll in a loop.
#[derive(Debug)]
pub struct Worker {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts a thread that calls `iteration` until the worker is stopped or a call returns `None`.
    ///
    /// # Errors
    ///
    /// The operating system's error if the thread cannot be started.
    pub fn start(
        name: &str,
        mut iteration: impl FnMut() -> Option<()> + Send + 'static,
    ) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop);
        let run = move || {
            while !stop_requested.load(Ordering::Acquire) {
                if iteration().is_none() {
                    return;
                }
            }
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(Self { stop, thread })
    }

    /// Requests that the thread end after its current iteration, and unparks it. Does not wait.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        self.thread.thread().unpark();
    }

    /// Stops the thread, and waits until its current iteration has ended.
    pub fn close(self) {
        self.stop();
        self.finish();
    }

    /// Waits until the thread ends because an iteration returned `None`, without stopping it.
    pub fn finish(self) {
        let _ = self.thread.join();
    }
}
