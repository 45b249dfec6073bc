//! Routing: the decision core of the entry process.
//!
//! The core binds a request to the client account of its key, chooses an endpoint, and decides
//! after each attempt whether to retry. It is independent of HTTP and of message encoding.

mod balance;
mod budget;
mod entry;
mod health;
mod message;
mod request;
mod shares;

pub use balance::{
    Balancer,
    Candidate,
    LeastOutstanding,
    Locality,
    PowerOfTwo,
    RoundRobin, //
};
pub use entry::Entry;
pub use health::LoadReport;
pub use message::{
    EntryOptions,
    Event,
    Input,
    Output, //
};
pub use request::{
    Arrival,
    AttemptOutcome,
    AttemptSpec,
    Claim,
    ClaimResult,
    Decision,
    RequestTarget, //
};
