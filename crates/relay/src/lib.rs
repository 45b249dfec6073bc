//! The decision core of a front: requests that go to endpoints without an agent between.
//!
//! [`Relay`] follows the plan and the list of endpoints, chooses an endpoint for each attempt,
//! decides what may be repeated, keeps the shared retry budget and the limits of cold endpoints,
//! and counts usage. It has no clock, socket or codec.

mod admit;
mod attempt;
mod budget;
mod choice;
mod endpoint;
mod fleet;
mod gate;
mod health;
mod hold;
mod lane;
mod message;
mod pick;
mod relay;
mod request;
mod tally;
mod trace;

pub use choice::{
    Choice,
    Estimate,
    Predicted, //
};
pub use message::{
    Ask,
    Content,
    Failure,
    Go,
    Input,
    Listing,
    Load,
    Output,
    Prompt,
    Seed,
    Trace,
    Verdict,
    View, //
};
pub use relay::Relay;
