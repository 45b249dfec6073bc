//! The commands of the replicated state machine.

use conf::{
    Proposal,
    Verdict, //
};
use ids::{
    AccountName,
    AttemptId, //
};
use ledger::{
    Claimed,
    Fingerprint,
    RequestKey,
    Settlement, //
};
use plan::Document;
use serde::{
    Deserialize,
    Serialize, //
};
use usage::{
    Report,
    Tally, //
};

use crate::machine::MachineSnapshot;

/// One command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Propose(Proposal),
    /// Claims a request.
    Claim {
        /// The account and its request key.
        key: (AccountName, RequestKey),
        /// A digest of the request.
        fingerprint: Fingerprint,
        /// The one attempt that may run.
        attempt: AttemptId,
        /// The leader's time, in milliseconds of Unix time.
        now: u64,
    },
    /// Notes what became of a claimed request.
    Settle {
        /// The account and its request key.
        key: (AccountName, RequestKey),
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        settlement: Settlement,
    },
    /// Merges a usage report.
    #[serde(rename = "Usage")]
    MergeUsage(Report),
    /// Seals the open usage window.
    #[serde(rename = "Seal")]
    SealWindow {
        /// The window's number.
        number: u64,
        /// Its end, in seconds of Unix time.
        end: u64,
    },
    /// Notes that a sealed window was accepted by the billing interface.
    #[serde(rename = "Accept")]
    AcceptWindow(u64),
    /// Puts a plan in force, if its version is above the one held.
    Install(Document),
    /// Closes (true) or opens a zone of the plan.
    #[serde(rename = "Zone")]
    SetZoneClosed(String, bool),
    /// Takes figures of usage windows of the wall clock.
    #[serde(rename = "Tally")]
    RecordTallies(Vec<Tally>),
    /// Seals such a window.
    #[serde(rename = "State")]
    SealStatement(u64),
    /// Notes that such a window was accepted by the billing interface.
    #[serde(rename = "Stated")]
    AcceptStatement(u64),
}

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The verdict on a proposal.
    Verdict(Verdict),
    /// The answer to a claim.
    Claimed(Claimed),
    /// Whether a settlement was taken.
    Settled(bool),
    /// Nothing to say.
    Applied,
}

/// Turns commands and snapshots into bytes and back.
pub trait Codec {
    /// Why bytes do not decode.
    type Error: std::fmt::Display;

    /// Encodes a command.
    ///
    /// # Errors
    ///
    /// For a command that the format cannot hold.
    fn encode_command(&self, command: &Command) -> Result<Vec<u8>, Self::Error>;

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// For bytes that are no command.
    fn decode_command(&self, bytes: &[u8]) -> Result<Command, Self::Error>;

    /// Encodes a snapshot.
    ///
    /// # Errors
    ///
    /// For a state that the format cannot hold.
    fn encode_snapshot(&self, state: &MachineSnapshot) -> Result<Vec<u8>, Self::Error>;

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// For bytes that are no snapshot.
    fn decode_snapshot(&self, bytes: &[u8]) -> Result<MachineSnapshot, Self::Error>;
}
