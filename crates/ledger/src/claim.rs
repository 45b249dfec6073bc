//! The ledger of claims and its rules.

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

/// How long a claim is kept. A resend after that is a new request.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// How long a claim may stay unsettled before its outcome counts as lost.
const PATIENCE: Duration = Duration::from_secs(15 * 60);
/// Largest answer that is kept; the outcome of a larger one is kept without it.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// How far a claimed request got.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// The attempt named may be running.
    Running,
    /// The answer is known.
    Answered(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The request may have run and its answer is lost.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// The one attempt that may run.
    pub attempt: AttemptId,
    /// How far it got.
    pub stage: Stage,
    /// When it was claimed, in milliseconds of Unix time as the leader saw it.
    pub claimed_at: u64,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Claimed {
    /// The attempt may run.
    Granted,
    /// An earlier attempt may be running.
    Running,
    /// An earlier attempt ran; this is its answer.
    Answered(#[serde(with = "serde_bytes")] Vec<u8>),
    /// An earlier attempt may have run; its answer is lost.
    Unknown,
    /// The request key was used with another request.
    Conflict,
}

/// What became of a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Settlement {
    /// It ran and gave this answer.
    Answered(#[serde(with = "serde_bytes")] Vec<u8>),
    /// It may have run.
    Unknown,
    /// It surely did not run; the claim is given back.
    NotRun,
}

type Key = (AccountName, RequestKey);

/// All claims of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ledger {
    claims: BTreeMap<Key, Claim>,
    order: VecDeque<(u64, Key)>,
}

impl Ledger {
    /// Claims a request for one attempt. A repeated claim by the same attempt is granted again
    /// while it is unsettled, since the answer to the first may have been lost.
    pub fn claim(
        &mut self,
        key: Key,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        now: u64,
    ) -> Claimed {
        self.expire(now);
        if let Some(claim) = self.claims.get_mut(&key) {
            return claim.again(fingerprint, attempt, now);
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

    /// Notes what became of an attempt. Returns whether the claim was that attempt's and open.
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
            Settlement::Answered(answer) if answer.len() <= MAX_ANSWER_BYTES => {
                claim.stage = Stage::Answered(answer);
            }
            Settlement::Answered(_) | Settlement::Unknown => claim.stage = Stage::Unknown,
        }
        true
    }

    /// How many claims are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Looks a claim up.
    pub fn get(&self, key: &Key) -> Option<&Claim> {
        self.claims.get(key)
    }

    fn expire(&mut self, now: u64) {
        let oldest = now.saturating_sub(RETENTION.as_millis() as u64);
        while let Some((claimed_at, _)) = self.order.front()
            && *claimed_at < oldest
        {
            let Some((claimed_at, key)) = self.order.pop_front() else {
                return;
            };
            // A claim that was given back and made anew has a younger place in the order.
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
    fn again(&mut self, fingerprint: Fingerprint, attempt: AttemptId, now: u64) -> Claimed {
        if self.fingerprint != fingerprint {
            return Claimed::Conflict;
        }
        match &self.stage {
            Stage::Answered(answer) => Claimed::Answered(answer.clone()),
            Stage::Unknown => Claimed::Unknown,
            Stage::Running if self.attempt == attempt => Claimed::Granted,
            Stage::Running if now.saturating_sub(self.claimed_at) > PATIENCE.as_millis() as u64 => {
                self.stage = Stage::Unknown;
                Claimed::Unknown
            }
            Stage::Running => Claimed::Running,
        }
    }
}
