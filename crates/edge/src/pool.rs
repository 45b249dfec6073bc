//! Traffic threads for blocking work.

use std::io;
use std::thread::{
    self,
    JoinHandle, //
};

use crossbeam::channel::Receiver;

/// Stack size of a traffic thread. The deepest call path, the decoding of a JSON body, needs much
/// less.
const STACK_BYTES: usize = 512 * 1024;

/// A fixed number of threads that receive jobs from a channel.
pub struct Pool(Vec<JoinHandle<()>>);

impl Pool {
    /// Starts `size` threads named after `name`, each with a function of its own that `worker`
    /// creates. The threads end when all senders of jobs are dropped.
    ///
    /// # Errors
    ///
    /// The operating system's error if a thread cannot be started.
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
