//! Claims: the replicated record by which a request with a request key is executed at most once.
//!
//! Such a request is claimed before its first byte leaves an entry. The claim names the one attempt
//! that may run and later holds its response, so that a resend through any entry gets that response
//! and causes no second execution. Decisions depend only on the commands and the times in them, so
//! that all replicas reach the same decisions.

mod claim;
mod key;

pub use claim::{
    Claim,
    Claimed,
    Ledger,
    Settlement,
    Stage, //
};
pub use key::{
    Fingerprint,
    RequestKey,
    RequestKeyError, //
};
