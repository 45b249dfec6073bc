//! The ledger of claims.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use ids::{
    AccountName,
    AttemptId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::key::{
    Fingerprint,
    RequestKey, //
};

/// How long a claim is kept. A later resend of the request counts as a new request.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Time after which the result of an unsettled claim counts as lost.
const UNSETTLED_TIMEOUT: Duration = Duration::from_secs(15 * 60);
/// Largest response that is kept. A claim with a larger one is settled as [`Stage::Unknown`].
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// The progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// The claim's attempt may be running.
    Running,
    /// The attempt ran and gave this response.
    Answered(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The attempt may have run, and its response is lost or too large to keep.
    Unknown,
}

/// A claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// A digest of the request.
    pub fingerprint: Fingerprint,
    /// The one attempt that may run.
    pub attempt: AttemptId,
    /// The attempt's progress.
    pub stage: Stage,
    /// When the request was claimed, in milliseconds of Unix time by the leader's clock.
    pub claimed_at: u64,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Claimed {
    /// The attempt may run.
    Granted,
    /// An earlier attempt may be running.
    Running,
    /// An earlier attempt ran and gave this response.
    Answered(#[serde(with = "serde_bytes")] Vec<u8>),
    /// An earlier attempt may have run, and its response is lost.
    Unknown,
    /// The request key was used before with another request.
    Conflict,
}

/// The result of a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Settlement {
    /// The attempt ran and gave this response.
    Answered(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The attempt may have run.
    Unknown,
    /// The attempt certainly did not run. The claim is released.
    NotRun,
}

type Key = (AccountName, RequestKey);

/// All claims of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ledger {
    claims: BTreeMap<Key, Claim>,
    /// Keys with the times of their claims, oldest first, for expiry.
    order: VecDeque<(u64, Key)>,
}

impl Ledger {
    /// Claims a request for one attempt. A repeated claim by the same attempt is granted again while
    /// it is unsettled, since the reply to the first may have been lost.
    pub fn claim(
        &mut self,
        key: Key,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        now: u64,
    ) -> Claimed {
        self.expire(now);
        if let Some(claim) = self.claims.get_mut(&key) {
            return claim.decide_repeated(fingerprint, attempt, now);
        }
        let claim = Claim {
            fingerprint,
            attempt,
            stage: Stage::Running,
            claimed_at: now,
        };
        self.order.push_back((now, key.clone()));
        self.claims.insert(key, claim);
        Claimed::Granted
    }

    /// Records the result of an attempt. Returns whether the claim was held by that attempt and not
    /// settled before.
    pub fn settle(&mut self, key: &Key, attempt: AttemptId, settlement: Settlement) -> bool {
        let Some(claim) = self.claims.get_mut(key) else {
            return false;
        };
        if claim.attempt != attempt || claim.stage != Stage::Running {
            return false;
        }
        match settlement {
            Settlement::NotRun => {
                self.claims.remove(key);
            }
            Settlement::Answered(response) if response.len() <= MAX_RESPONSE_BYTES => {
                claim.stage = Stage::Answered(response);
            }
            Settlement::Answered(_) | Settlement::Unknown => claim.stage = Stage::Unknown,
        }
        true
    }

    /// The number of claims that are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the claim of a request, if it is kept.
    pub fn get(&self, key: &Key) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Drops claims older than [`RETENTION`].
    fn expire(&mut self, now: u64) {
        let oldest = now.saturating_sub(RETENTION.as_millis() as u64);
        while let Some((claimed_at, _)) = self.order.front()
            && *claimed_at < oldest
        {
            let Some((claimed_at, key)) = self.order.pop_front() else {
                return;
            };
            // If the claim was released and the request claimed again, `order` has a later entry
            // too.
            if self
                .claims
                .get(&key)
                .is_some_and(|claim| claim.claimed_at == claimed_at)
            {
                self.claims.remove(&key);
            }
        }
    }
}

impl Claim {
    /// Decides another claim of a request that is claimed already.
    fn decide_repeated(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        now: u64,
    ) -> Claimed {
        if self.fingerprint != fingerprint {
            return Claimed::Conflict;
        }
        match &self.stage {
            Stage::Answered(response) => Claimed::Answered(response.clone()),
            Stage::Unknown => Claimed::Unknown,
            Stage::Running if self.attempt == attempt => Claimed::Granted,
            Stage::Running
                if now.saturating_sub(self.claimed_at) > UNSETTLED_TIMEOUT.as_millis() as u64 =>
            {
                self.stage = Stage::Unknown;
                Claimed::Unknown
            }
            Stage::Running => Claimed::Running,
        }
    }
}
