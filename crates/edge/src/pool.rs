//! Traffic threads for blocking work.

use std::io;
use std::thread::{
    self,
    JoinHandle, //
};

use crossbeam::channel::Receiver;
use std::marker::PhantomData;

/// A fixed number of threads that run jobs of one type.
pub struct Pool<J> {
    jobs: PhantomData<fn(J)>,
    threads: Vec<JoinHandle<()>>,
}

/// Stack of a traffic thread, in bytes; the deepest path, a JSON body, stays well below.
const STACK_BYTES: usize = 512 * 1024;

impl<J: Send + 'static> Pool<J> {
    /// Starts threads that take their jobs from a channel. They end when its senders are gone.
    ///
    /// # Errors
    ///
    /// The operating system's, if a thread cannot be started.
    pub fn fed<W, F>(name: &str, size: usize, jobs: Receiver<J>, worker: W) -> io::Result<Self>
    where
        W: Fn() -> F,
        F: FnMut(J) + Send + 'static,
    {
        let mut threads = Vec::with_capacity(size);
        for i in 0..size {
            let rx = jobs.clone();
            let mut run = worker();
            let builder = thread::Builder::new()
                .name(format!("{name}-{i}"))
                .stack_size(STACK_BYTES);
            threads.push(builder.spawn(move || rx.iter().for_each(&mut run))?);
        }
        Ok(Self {
            jobs: PhantomData,
            threads,
        })
    }

    /// Waits for the threads to end, which they do once no sender of jobs is left.
    pub fn close(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}
