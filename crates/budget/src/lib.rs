//! The memory budget of one process: which request gets memory, waits for it, or is rejected.
//!
//! [`Budget`] is a decision core. Everything that a client can make the process store has a share of the
//! budget: connections, requests, bodies that are being received or sent, and buffered responses. A share
//! is requested before the memory is used and closed after it was freed.
//!
//! Each [`Class`] has a ceiling on the total of all shares. The ceilings rise from large requests over
//! small ones to responses, so large requests cannot starve small ones, and a request that has run can
//! always be answered. Shares are granted completely: a request never holds a part of the memory that
//! it needs while it waits for the rest, except for its first share, which is small.

mod core;
mod limits;

pub use core::{
    Budget,
    Class,
    Input,
    Output,
    ShareKey, //
};
pub use limits::Limits;
