//! The shape of a decision core, and the control thread that runs one.
//!
//! A core is a pure state machine: time and inputs come in, typed outputs go out. The control
//! thread owns the core, sleeps until an input or the core's next deadline, and hands the outputs
//! to [`Effects`]. Traffic threads reach the core only through an [`Inbox`].

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

/// A decision core: no clock, thread, socket, file or unseeded randomness inside.
pub trait Core {
    /// What the core is told.
    type Input;
    /// What the core asks for.
    type Output;

    /// Handles one input at time `now`.
    fn step(&mut self, now: Tick, input: Self::Input, out: &mut Outbox<Self::Output>);

    /// Handles the passing of [`Core::deadline`].
    fn wake(&mut self, now: Tick, out: &mut Outbox<Self::Output>);

    /// When the core wants to be woken next, if at all.
    fn deadline(&self) -> Option<Tick>;
}

/// Carries a core's outputs to the world.
pub trait Effects<O> {
    /// What a traffic thread hands over with an input, such as the channel for its answer.
    type Attachment: Send + 'static;

    /// Takes an attachment before the input that it came with is handled.
    fn attach(&mut self, attachment: Self::Attachment);

    /// Carries out one output. It must not block.
    fn perform(&mut self, output: O);
}
