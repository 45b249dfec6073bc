//! The interface of a decision core, the control thread that runs one, and worker threads.
//!
//! A core is a deterministic state machine: it takes the time and an input, and returns typed
//! outputs. The control thread owns the core, sleeps until an input arrives or the core's deadline
//! passes, and passes the outputs to [`Effects`]. Other threads send inputs through an [`Inbox`].

mod runner;
mod worker;

pub use runner::{
    Closed,
    ControlThread,
    Inbox, //
};
pub use worker::Worker;

use ids::Tick;

/// Collects the outputs of one step, in order.
#[derive(Debug)]
pub struct Outbox<O>(Vec<O>);

impl<O> Default for Outbox<O> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<O> Outbox<O> {
    /// Adds an output.
    pub fn push(&mut self, output: O) {
        self.0.push(output);
    }

    /// Removes all outputs, oldest first.
    pub fn drain(&mut self) -> std::vec::Drain<'_, O> {
        self.0.drain(..)
    }
}

/// A decision core: a state machine that uses no clock, thread, socket, file or unseeded
/// randomness.
pub trait Core {
    /// An event or a request for the core.
    type Input;
    /// An effect that the core requests.
    type Output;

    /// Handles one input at time `now`, and adds its outputs to `out`.
    fn step(&mut self, now: Tick, input: Self::Input, out: &mut Outbox<Self::Output>);

    /// Runs the timers that are due. Called once [`Core::deadline`] has passed.
    fn wake(&mut self, now: Tick, out: &mut Outbox<Self::Output>);

    /// When [`Core::wake`] is due next; none if no timer is set.
    fn deadline(&self) -> Option<Tick>;
}

/// Carries out a core's outputs: sends messages, writes to disk, completes requests.
pub trait Effects<O> {
    /// What a traffic thread sends along with an input, such as the channel for the response.
    type Attachment: Send + 'static;

    /// Receives an attachment, before the core handles the input that it was sent with.
    fn attach(&mut self, attachment: Self::Attachment);

    /// Carries out one output. Must not block, since the control thread handles no input until it
    /// returns.
    fn perform(&mut self, output: O);
}
