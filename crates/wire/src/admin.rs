//! The operators' interface: JSON bodies.

use std::net::SocketAddr;

use conf::{
    Change,
    Verdict, //
};
use ids::{
    AccountName,
    ClassName,
    ClusterName,
    Digest,
    GrantName,
    HostName,
    OperatorName,
    ProposalName,
    Revision,
    Term, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// An operator as the control hosts' settings name one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name.
    pub name: OperatorName,
    /// The digest of the operator's key.
    pub digest: Digest,
}

/// Proposes a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposeRequest {
    /// Names the request; a resend gets the first answer.
    pub name: ProposalName,
    /// The revision it was made on.
    pub base: Revision,
    /// The changes, all or none.
    pub changes: Vec<Change>,
}

/// The answer to a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProposeResponse {
    /// What was decided.
    pub verdict: Verdict,
}

/// The whole configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigResponse {
    /// Its revision.
    pub revision: Revision,
    /// The changes that build it.
    pub changes: Vec<Change>,
}

/// A member of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRow {
    /// Its identity.
    pub id: String,
    /// Its host.
    pub host: HostName,
    /// Where the other members reach it.
    pub address: SocketAddr,
    /// `learner` or `voter`.
    pub stage: agree::Stage,
    /// Whether it leads.
    pub leads: bool,
}

/// A process that follows the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SubscriberRow {
    /// Its host.
    pub host: HostName,
    /// What it is.
    pub side: super::SubscriberRole,
    /// The revision it confirmed.
    pub revision: Revision,
    /// Milliseconds until it stops going by that revision.
    pub fresh_ms: u64,
}

/// Where a control host stands.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusResponse {
    /// The cluster.
    pub cluster: ClusterName,
    /// The host asked.
    pub host: HostName,
    /// The current term.
    pub term: Term,
    /// The revision in force.
    pub revision: Revision,
    /// The log's length in memory, in entries.
    pub log: u64,
    /// Claims kept.
    pub claims: u64,
    /// The control group.
    pub members: Vec<MemberRow>,
    /// The processes that follow.
    pub viewers: Vec<SubscriberRow>,
}

/// One line of a usage window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageRow {
    /// The account billed.
    pub account: AccountName,
    /// The class served.
    pub class: ClassName,
    /// Requests that ran.
    pub runs: u64,
    /// Tokens read.
    pub input: u64,
    /// Tokens generated.
    pub output: u64,
}

/// A usage window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageWindowRow {
    /// The window's number.
    pub number: u64,
    /// Its end, in seconds of Unix time; none while it is open.
    pub end: Option<u64>,
    /// `open`, `pending` or `accepted`.
    pub state: String,
    /// The figures.
    pub lines: Vec<UsageRow>,
}

/// All usage windows kept.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageResponse {
    /// The windows, oldest first; the last one is open.
    pub windows: Vec<UsageWindowRow>,
}

/// Creates a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewKey {
    /// The key's name; not secret.
    pub name: GrantName,
    /// The account it stands for.
    pub account: AccountName,
    /// The class of requests under it, where it differs from the route's.
    #[serde(default)]
    pub class: Option<ClassName>,
}

/// A key just created. The clear text is shown here and nowhere else.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyResponse {
    /// The key's name.
    pub name: GrantName,
    /// The clear text.
    pub key: String,
    /// The revision from which on it works.
    pub revision: Revision,
}

/// Adds a member to the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewMember {
    /// The identity that the new host's folder has, in hexadecimal.
    pub id: String,
    /// Its host.
    pub host: HostName,
    /// Where the other members reach it.
    pub address: SocketAddr,
}

/// A refusal in plain words.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorResponse {
    /// One sentence.
    pub error: String,
    /// The leader's address, if the request belongs there.
    #[serde(default)]
    pub leader: Option<SocketAddr>,
}
