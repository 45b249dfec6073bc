//! The control thread: owns one core, and blocks on a channel between inputs.

use std::fmt;
use std::io;
use std::thread::{
    self,
    JoinHandle, //
};
use std::time::Duration;

use crossbeam::channel::{
    Receiver,
    RecvTimeoutError,
    Sender,
    unbounded, //
};
use ids::Clock;

use crate::{
    Core,
    Effects,
    Outbox, //
};

/// The error of sending an input to a control thread that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the control thread has ended")
    }
}

impl std::error::Error for Closed {}

enum Message<I, A> {
    Input(I),
    Call(A, I),
    /// Ends the thread; inputs sent before are handled first.
    Close,
}

/// The sending side of a control thread's input channel, for any thread.
pub struct Inbox<I, A>(Sender<Message<I, A>>);

impl<I, A> Clone for Inbox<I, A> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<I, A> Inbox<I, A> {
    /// Sends an input without waiting for it to be handled.
    ///
    /// # Errors
    ///
    /// [`Closed`] if the control thread has ended.
    pub fn send(&self, input: I) -> Result<(), Closed> {
        self.0.send(Message::Input(input)).map_err(|_| Closed)
    }

    /// Sends an input together with an attachment for [`Effects::attach`].
    ///
    /// # Errors
    ///
    /// [`Closed`] if the control thread has ended.
    pub fn call(&self, attachment: A, input: I) -> Result<(), Closed> {
        self.0
            .send(Message::Call(attachment, input))
            .map_err(|_| Closed)
    }
}

/// A running control thread.
pub struct ControlThread<I, A> {
    inbox: Inbox<I, A>,
    thread: JoinHandle<()>,
}

impl<I: Send + 'static, A: Send + 'static> ControlThread<I, A> {
    /// Starts a control thread named `name`.
    ///
    /// # Errors
    ///
    /// The operating system's error if the thread cannot be started.
    pub fn start<C, E, K>(name: &str, core: C, effects: E, clock: K) -> io::Result<Self>
    where
        C: Core<Input = I> + Send + 'static,
        E: Effects<C::Output, Attachment = A> + Send + 'static,
        K: Clock + Send + 'static,
    {
        let (tx, rx) = unbounded();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(core, effects, &clock, &rx))?;
        Ok(Self {
            inbox: Inbox(tx),
            thread,
        })
    }

    /// A handle that sends inputs to this thread.
    pub fn inbox(&self) -> Inbox<I, A> {
        self.inbox.clone()
    }

    /// Ends the thread after it has handled the inputs sent so far, and waits for its end.
    ///
    /// # Errors
    ///
    /// [`Closed`] if the thread had ended before, or panicked.
    pub fn close(self) -> Result<(), Closed> {
        let sent = self.inbox.0.send(Message::Close).map_err(|_| Closed);
        let joined = self.thread.join().map_err(|_| Closed);
        sent.and(joined)
    }
}

/// Runs the core until it receives [`Message::Close`] or all senders are dropped.
fn run<C, E, K>(
    mut core: C,
    mut effects: E,
    clock: &K,
    inputs: &Receiver<Message<C::Input, E::Attachment>>,
) where
    C: Core,
    E: Effects<C::Output>,
    K: Clock,
{
    let mut out = Outbox::default();
    loop {
        let wait = core.deadline().map(|at| at.since(clock.now()));
        let message = match receive(inputs, wait) {
            Ok(message) => Some(message),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match message {
            Some(Message::Close) => return,
            Some(Message::Input(input)) => core.step(clock.now(), input, &mut out),
            Some(Message::Call(attachment, input)) => {
                effects.attach(attachment);
                core.step(clock.now(), input, &mut out);
            }
            None => core.wake(clock.now(), &mut out),
        }
        for output in out.drain() {
            effects.perform(output);
        }
    }
}

/// Receives a message, within `wait` if given.
fn receive<M>(inputs: &Receiver<M>, wait: Option<Duration>) -> Result<M, RecvTimeoutError> {
    match wait {
        Some(wait) => inputs.recv_timeout(wait),
        None => inputs.recv().map_err(|_| RecvTimeoutError::Disconnected),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ids::{
        Monotonic,
        Tick, //
    };

    /// Outputs each input. Wakes up `remaining` times, 1 ms apart, and outputs each time 1000 plus
    /// the number of wake-ups that remain.
    struct Echo {
        remaining: u32,
        next: Tick,
    }

    impl Core for Echo {
        type Input = u32;
        type Output = u32;

        fn step(&mut self, _: Tick, input: u32, out: &mut Outbox<u32>) {
            out.push(input);
        }

        fn wake(&mut self, now: Tick, out: &mut Outbox<u32>) {
            self.remaining -= 1;
            self.next = now + Duration::from_millis(1);
            out.push(1000 + self.remaining);
        }

        fn deadline(&self) -> Option<Tick> {
            (self.remaining > 0).then_some(self.next)
        }
    }

    struct SendOutputs(Sender<u32>);

    impl Effects<u32> for SendOutputs {
        type Attachment = u32;

        fn attach(&mut self, attachment: u32) {
            self.perform(attachment);
        }

        fn perform(&mut self, output: u32) {
            self.0.send(output).unwrap();
        }
    }

    fn start(remaining: u32) -> (ControlThread<u32, u32>, Receiver<u32>) {
        let (tx, rx) = unbounded();
        let core = Echo {
            remaining,
            next: Tick::default(),
        };
        (
            ControlThread::start("echo", core, SendOutputs(tx), Monotonic::start()).unwrap(),
            rx,
        )
    }

    case::cases! {
        attachment_is_delivered_before_its_input: {
            let (control, rx) = start(0);
            control.inbox().call(1, 2).unwrap();
            control.close().unwrap();
            assert_eq!(rx.iter().collect::<Vec<_>>(), [1, 2]);
        };
        passed_deadlines_wake_the_core: {
            let (control, rx) = start(3);
            assert_eq!(rx.iter().take(3).collect::<Vec<_>>(), [1002, 1001, 1000]);
            control.close().unwrap();
        };
        sending_to_an_ended_thread_fails: {
            let (control, _rx) = start(0);
            let inbox = control.inbox();
            control.close().unwrap();
            assert_eq!(inbox.send(1), Err(Closed));
        };
    }
}
