//! Requests and prompt parts that crash engines.
//!
//! Some prompt part may crash each engine that begins a response to it, and so may some request,
//! with or without a prompt, whenever it is repeated. A request as a whole counts as the last of its
//! shared parts. Fronts record which requests were in progress at an engine that crashed, and which
//! parts were served, in [`Suspects`], and report both as [`Evidence`]. The leader of the control
//! group merges the evidence of all fronts, and keeps what counts in a replicated [`Record`]. Parts that were present in several crashes and were not
//! served since are put into the replicated [`Quarantine`], and fronts reject requests that contain
//! them.

mod evidence;
mod identity;
mod list;
mod local;
mod order;
mod record;
mod suspects;

pub use evidence::{
    Attempt,
    Crash,
    Evidence,
    Served,
    Suspect, //
};
pub use identity::ContentDigest;
pub use list::{
    Quarantine,
    Sentence, //
};
pub use local::LocalVerdicts;
pub use record::Record;
pub use suspects::{
    Suspects,
    Verdict, //
};
