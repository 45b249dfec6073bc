//! Traffic threads for blocking work.

use std::io;
use std::thread::{
    self,
    JoinHandle, //
};

use crossbeam::channel::Receiver;

/// Stack of a traffic thread, in bytes; the deepest path, a JSON body, stays well below.
const STACK_BYTES: usize = 512 * 1024;

/// A fixed number of threads that take their jobs from a channel.
pub struct Pool(Vec<JoinHandle<()>>);

impl Pool {
    /// Starts `size` threads named `name`, each with a worker of its own. They end when no sender
    /// of jobs is left.
    ///
    /// # Errors
    ///
    /// The operating system's, if a thread cannot be started.
    pub fn start<J, W, F>(name: &str, size: usize, jobs: Receiver<J>, worker: W) -> io::Result<Self>
    where
        J: Send + 'static,
        W: Fn() -> F,
        F: FnMut(J) + Send + 'static,
    {
        let mut threads = Vec::with_capacity(size);
        for i in 0..size {
            let rx = jobs.clone();
            let mut run = worker();
            let builder = thread::Builder::new().name(format!("{name}-{i}"));
            let builder = builder.stack_size(STACK_BYTES);
            threads.push(builder.spawn(move || rx.iter().for_each(&mut run))?);
        }
        Ok(Self(threads))
    }

    /// Waits for the threads to end.
    pub fn close(self) {
        for thread in self.0 {
            let _ = thread.join();
        }
    }
}
