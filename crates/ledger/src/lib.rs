//! Claims: the replicated record by which a request runs at most once.
//!
//! A request that may not be repeated is claimed before its first byte leaves an entry. The claim
//! names the attempt and later holds the answer, so a resend through any entry gets that answer
//! and never a second run. All decisions depend only on the commands and the time in them.

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
