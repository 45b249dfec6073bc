//! Connects the memory budget of the process to the futures that wait for its decisions.

use std::fmt;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use budget::{
    Budget,
    Class,
    Input,
    Limits,
    Output,
    ShareKey, //
};
use ids::{
    Clock,
    Monotonic, //
};
use slotmap::SecondaryMap;
use smol::Timer;
use smol::channel::{
    Sender,
    bounded, //
};
use smol::future::FutureExt;
use step::{
    Core as _,
    Outbox, //
};

/// The memory budget of the process. Clones refer to the same budget.
#[derive(Clone)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    clock: Monotonic,
}

struct State {
    budget: Budget,
    /// The shares that wait for a decision.
    waiting: SecondaryMap<ShareKey, Sender<bool>>,
    /// The shares whose bodies arrive too slowly.
    evicted: SecondaryMap<ShareKey, ()>,
}

/// The budget has no memory for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

impl fmt::Display for OutOfMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the memory budget of the process is used up")
    }
}

impl std::error::Error for OutOfMemory {}

impl Memory {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: Limits) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                budget: Budget::new(limits),
                waiting: SecondaryMap::new(),
                evicted: SecondaryMap::new(),
            })),
            clock: Monotonic::start(),
        }
    }

    /// A new share without memory.
    pub fn open(&self) -> Share {
        let key = self.lock().budget.open();
        Share {
            memory: self.clone(),
            key,
        }
    }

    /// Total of the granted shares in bytes, and number of shares that wait for memory.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.budget.used(), state.budget.queued())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self, input: Input) {
        let mut out = Outbox::default();
        let mut state = self.lock();
        state.budget.step(self.clock.now(), input, &mut out);
        state.apply(&mut out);
    }

    /// Runs the time limits. Called by every future that waits for the budget or receives a body.
    pub(crate) fn wake(&self) {
        let mut out = Outbox::default();
        let mut state = self.lock();
        state.budget.wake(self.clock.now(), &mut out);
        state.apply(&mut out);
    }
}

impl State {
    fn apply(&mut self, out: &mut Outbox<Output>) {
        for output in out.drain() {
            let (key, granted) = match output {
                Output::Granted(key) => (key, true),
                Output::Rejected(key) => (key, false),
                Output::Evicted(key) => {
                    self.evicted.insert(key, ());
                    continue;
                }
            };
            if let Some(waiter) = self.waiting.remove(key) {
                // The receiver is gone if the request ended; its share is closed then.
                let _ = waiter.try_send(granted);
            }
        }
    }
}

/// A share of the memory budget. Dropping it returns the memory to the budget.
pub struct Share {
    memory: Memory,
    key: ShareKey,
}

impl Share {
    /// Asks for more memory, and waits until the budget grants or rejects it.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if the budget rejects it.
    pub async fn ask(&self, class: Class, bytes: usize) -> Result<(), OutOfMemory> {
        let (tx, decided) = bounded(1);
        self.memory.lock().waiting.insert(self.key, tx);
        self.memory.step(Input::Ask(self.key, class, bytes));
        let granted = loop {
            let decision = async { Some(decided.recv().await.unwrap_or(false)) };
            let wake = async {
                Timer::after(Budget::WAKE_INTERVAL).await;
                None
            };
            match decision.or(wake).await {
                Some(granted) => break granted,
                None => self.memory.wake(),
            }
        };
        if granted { Ok(()) } else { Err(OutOfMemory) }
    }

    /// Asks for memory for a connection, which never waits.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if the budget rejects it.
    pub(crate) fn ask_connection(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let (tx, decided) = bounded(1);
        self.memory.lock().waiting.insert(self.key, tx);
        self.memory
            .step(Input::Ask(self.key, Class::Connection, bytes));
        match decided.try_recv() {
            Ok(true) => Ok(()),
            _ => Err(OutOfMemory),
        }
    }

    /// Reports bytes of the body that have arrived.
    pub(crate) fn received(&self, bytes: usize) {
        self.memory.step(Input::Received(self.key, bytes));
    }

    /// Reports that the body has arrived, and how much of the memory is still needed.
    pub fn complete(&self, bytes: usize) {
        self.memory.step(Input::Complete(self.key, bytes));
    }

    /// Runs the time limits, and returns whether the body arrives too slowly.
    pub(crate) fn check(&self) -> bool {
        self.memory.wake();
        self.memory.lock().evicted.contains_key(self.key)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.waiting.remove(self.key);
        state.evicted.remove(self.key);
        drop(state);
        self.memory.step(Input::Close(self.key));
    }
}
