//! Requests to the control group that claim a request and settle the claim, and the form in which
//! a claim records the response.

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
    ClaimRequest,
    SettleRequest,
    paths, //
};

/// How long a claim may take before the request is rejected as not executed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// How long one attempt to settle a claim may take.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A complete response as a claim records it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RecordedResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    #[serde(with = "serde_bytes")]
    pub(crate) body: Vec<u8>,
}

/// Claims a request at the control group. The group grants a repeated claim of the same attempt
/// again, so the call is safe to retry after a lost response.
pub(crate) fn claim(control: &ControlClient, claim: &Claim) -> ClaimResult {
    let request = ClaimRequest {
        account: claim.account.clone(),
        key: claim.key.clone(),
        fingerprint: claim.fingerprint,
        attempt: claim.attempt,
    };
    match control.call(paths::CLAIM, &request, CLAIM_TIMEOUT) {
        Ok(Claimed::Granted) => ClaimResult::Granted,
        Ok(Claimed::Running) => ClaimResult::Rejected(Kind::ClaimRunning),
        Ok(Claimed::Answered(response)) => ClaimResult::Completed(response),
        Ok(Claimed::Unknown) => ClaimResult::Rejected(Kind::ClaimUnknown),
        Ok(Claimed::Conflict) => ClaimResult::Rejected(Kind::ClaimConflict),
        // No attempt is sent without the claim, so the request is certain not to be executed.
        Err(_) => ClaimResult::Rejected(Kind::ControlUnavailable),
    }
}

/// Records the result of a claimed request at the control group. Returns whether the claim was held
/// by this attempt and not settled before.
///
/// # Errors
///
/// [`peer::PeerError`] if the group did not confirm the settlement in time. Until the claim is
/// settled, a resend of the request is rejected with [`Kind::ClaimRunning`], and later with
/// [`Kind::ClaimUnknown`].
pub(crate) fn settle(
    control: &ControlClient,
    claim: &Claim,
    settlement: Settlement,
) -> Result<bool, peer::PeerError> {
    let request = SettleRequest {
        account: claim.account.clone(),
        key: claim.key.clone(),
        attempt: claim.attempt,
        settlement,
    };
    control.call(paths::SETTLE, &request, SETTLE_TIMEOUT)
}
