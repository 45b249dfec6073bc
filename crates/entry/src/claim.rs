//! Claims at the control group, and the answer that a claim records.

use std::time::Duration;

use fault::Kind;
use ledger::{
    Claimed,
    Settlement, //
};
use peer::ControlClient;
use route::{
    Claim,
    ClaimResult, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use wire::{
    ClaimAsk,
    SettleAsk,
    paths, //
};

/// How long a claim may take before the request is refused as not run.
const CLAIM_PATIENCE: Duration = Duration::from_secs(3);
/// How long the outcome of a request is tried to be recorded.
const SETTLE_PATIENCE: Duration = Duration::from_secs(5);

/// A whole answer as a claim records it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Recorded {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    #[serde(with = "serde_bytes")]
    pub(crate) body: Vec<u8>,
}

/// Claims a request. The same attempt may ask again, so a lost answer does no harm.
pub(crate) fn claim(control: &ControlClient, claim: &Claim) -> ClaimResult {
    let ask = ClaimAsk {
        account: claim.account.clone(),
        key: claim.key.clone(),
        fingerprint: claim.fingerprint,
        attempt: claim.attempt,
    };
    match control.call(paths::CLAIM, &ask, CLAIM_PATIENCE) {
        Ok(Claimed::Granted) => ClaimResult::Granted,
        Ok(Claimed::Running) => ClaimResult::Rejected(Kind::ClaimRunning),
        Ok(Claimed::Answered(answer)) => ClaimResult::Completed(answer),
        Ok(Claimed::Unknown) => ClaimResult::Rejected(Kind::ClaimUnknown),
        Ok(Claimed::Conflict) => ClaimResult::Rejected(Kind::ClaimConflict),
        // Nothing has left this host, and without the claim nothing will.
        Err(_) => ClaimResult::Rejected(Kind::ControlUnavailable),
    }
}

/// Records what became of a claimed request.
///
/// # Errors
///
/// [`peer::PeerError`]; a resend is answered as unknown then, or as running for a while.
pub(crate) fn settle(
    control: &ControlClient,
    claim: &Claim,
    settlement: Settlement,
) -> Result<bool, peer::PeerError> {
    let ask = SettleAsk {
        account: claim.account.clone(),
        key: claim.key.clone(),
        attempt: claim.attempt,
        settlement,
    };
    control.call(paths::SETTLE, &ask, SETTLE_PATIENCE)
}
