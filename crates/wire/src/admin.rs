//! JSON bodies of the operators' HTTP interface. Field names are part of the interface.

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

/// An operator, as listed in the settings of the control hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name.
    pub name: OperatorName,
    /// The digest of the operator's API key.
    pub digest: Digest,
}

/// Proposes changes of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposeRequest {
    /// Identifies the proposal. A repeated proposal with the same name gets the first response.
    pub name: ProposalName,
    /// The revision that the changes are based on.
    pub base: Revision,
    /// The changes, which are applied all or not at all.
    pub changes: Vec<Change>,
}

/// The response to a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProposeResponse {
    /// The decision on the proposal.
    pub verdict: Verdict,
}

/// The complete configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigResponse {
    /// Its revision.
    pub revision: Revision,
    /// The changes that create it from an empty configuration.
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
    /// The address at which other members reach it.
    pub address: SocketAddr,
    /// `learner` or `voter`.
    pub stage: agree::Stage,
    /// Whether it is the leader.
    pub leads: bool,
}

/// A process that subscribes to the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SubscriberRow {
    /// Its host.
    pub host: HostName,
    /// The kind of the process.
    #[serde(rename = "side")]
    pub kind: super::SubscriberKind,
    /// The revision that it has confirmed.
    pub revision: Revision,
    /// Milliseconds until its view of that revision expires.
    pub fresh_ms: u64,
}

/// The status of a control host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusResponse {
    /// The name of the cluster.
    pub cluster: ClusterName,
    /// The host that responded.
    pub host: HostName,
    /// The current term.
    pub term: Term,
    /// The revision in force.
    pub revision: Revision,
    /// Number of log entries in memory.
    pub log: u64,
    /// Number of stored claims.
    pub claims: u64,
    /// The members of the control group.
    pub members: Vec<MemberRow>,
    /// The processes that subscribe to the configuration.
    pub viewers: Vec<SubscriberRow>,
}

/// The usage of one account and class in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageRow {
    /// The account that is billed.
    pub account: AccountName,
    /// The class of the requests.
    pub class: ClassName,
    /// Number of executed requests.
    pub runs: u64,
    /// Input tokens.
    pub input: u64,
    /// Generated tokens.
    pub output: u64,
}

/// A usage window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageWindowRow {
    /// The window's number.
    pub number: u64,
    /// Its end, in seconds of Unix time; `None` if the window is open.
    pub end: Option<u64>,
    /// `open`, `pending` or `accepted`.
    pub state: String,
    /// The usage by account and class.
    pub lines: Vec<UsageRow>,
}

/// All stored usage windows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageResponse {
    /// The windows, oldest first; the last one is open.
    pub windows: Vec<UsageWindowRow>,
}

/// Creates an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewKey {
    /// The key's name, which is not secret.
    pub name: GrantName,
    /// The account that the key authenticates.
    pub account: AccountName,
    /// The class of requests with this key, if it differs from the route's class.
    #[serde(default)]
    pub class: Option<ClassName>,
}

/// A newly created API key. This response is the only place that contains the clear text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyResponse {
    /// The key's name.
    pub name: GrantName,
    /// The key in clear text.
    pub key: String,
    /// The first revision that accepts the key.
    pub revision: Revision,
}

/// Adds a member to the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewMember {
    /// The identity stored in the new host's data directory, in hexadecimal.
    pub id: String,
    /// Its host.
    pub host: HostName,
    /// The address at which other members reach it.
    pub address: SocketAddr,
}

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorResponse {
    /// A sentence that describes the error.
    pub error: String,
    /// The leader's address, if the request must be sent to the leader.
    #[serde(default)]
    pub leader: Option<SocketAddr>,
}
