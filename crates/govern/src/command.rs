//! The commands of the replicated state machine.

use conf::{
    Proposal,
    Verdict, //
};
use ids::{
    AccountName,
    AttemptId,
    PartId, //
};
use ledger::{
    Claimed,
    Fingerprint,
    RequestKey,
    Settlement, //
};
use plan::Document;
use quarantine::{
    Evidence,
    Sentence, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use usage::{
    Report,
    Tally, //
};

use crate::machine::MachineSnapshot;

/// A command of the replicated log. Variants are stored by name, so a renamed one keeps its stored
/// name.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// Applies a proposed change of the configuration.
    Propose(Proposal),
    /// Claims a request for one attempt.
    Claim {
        /// The account and the request key within it.
        key: (AccountName, RequestKey),
        /// A digest of the request.
        fingerprint: Fingerprint,
        /// The one attempt that may run.
        attempt: AttemptId,
        /// The leader's time, in milliseconds of Unix time.
        now: u64,
    },
    /// Records the result of a claimed request.
    Settle {
        /// The account and the request key within it.
        key: (AccountName, RequestKey),
        /// The attempt that holds the claim.
        attempt: AttemptId,
        /// The attempt's result.
        settlement: Settlement,
    },
    /// Merges an agent's usage report.
    #[serde(rename = "Usage")]
    MergeUsage(Report),
    /// Seals the open usage window.
    #[serde(rename = "Seal")]
    SealWindow {
        /// The window's number.
        number: u64,
        /// The window's end, in seconds of Unix time.
        end: u64,
    },
    /// Records that the billing interface accepted a sealed window.
    #[serde(rename = "Accept")]
    AcceptWindow(u64),
    /// Installs a plan if its version is higher than the installed one's.
    Install(Document),
    /// Closes (true) or opens a zone of the plan.
    #[serde(rename = "Zone")]
    SetZoneClosed(String, bool),
    /// Records fronts' tallies for usage windows of the wall clock.
    #[serde(rename = "Tally")]
    RecordTallies(Vec<Tally>),
    /// Seals a usage window of the wall clock as a statement.
    #[serde(rename = "State")]
    SealStatement(u64),
    /// Records that the billing interface accepted a statement.
    #[serde(rename = "Stated")]
    AcceptStatement(u64),
    /// Puts prompt parts into quarantine.
    Quarantine(Vec<(PartId, Sentence)>),
    /// Releases prompt parts from quarantine.
    Release(Vec<PartId>),
    /// Adds evidence of crashes to the record.
    #[serde(rename = "Crashes")]
    RecordCrashes {
        /// The leader's time from which the ages count, in milliseconds of Unix time.
        at_ms: u64,
        /// What was not on record.
        evidence: Evidence,
    },
    /// Changes the orders of rollouts.
    Rollout(rollout::Change),
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The verdict on a proposal.
    Verdict(Verdict),
    /// The result of a claim.
    Claimed(Claimed),
    /// Whether a settlement was recorded.
    Settled(bool),
    /// The effect on the orders of rollouts.
    Rollout(rollout::Effect),
    /// Evidence was added to the record of crashes.
    CrashesRecorded,
    /// The command was applied and has no result.
    Applied,
}

/// Encodes and decodes commands and snapshots.
pub trait Codec {
    /// Why encoding or decoding failed.
    type Error: std::fmt::Display;

    /// Encodes a command.
    ///
    /// # Errors
    ///
    /// If the format cannot represent the command.
    fn encode_command(&self, command: &Command) -> Result<Vec<u8>, Self::Error>;

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// If the bytes are not a command.
    fn decode_command(&self, bytes: &[u8]) -> Result<Command, Self::Error>;

    /// Encodes a snapshot.
    ///
    /// # Errors
    ///
    /// If the format cannot represent the state.
    fn encode_snapshot(&self, state: &MachineSnapshot) -> Result<Vec<u8>, Self::Error>;

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes are not a snapshot.
    fn decode_snapshot(&self, bytes: &[u8]) -> Result<MachineSnapshot, Self::Error>;
}
