//! Messages to and between control hosts.

use std::net::SocketAddr;
use std::time::Duration;

use agree::{
    MemberId,
    Message, //
};
use conf::Update;
use ids::{
    AccountName,
    AttemptId,
    HostName,
    Incarnation,
    Revision, //
};
use ledger::{
    Fingerprint,
    RequestKey,
    Settlement, //
};
use plan::{
    DeploymentSnapshot,
    Directory, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};
use usage::Runs;

/// Paths of the messages.
pub mod paths {
    /// Between control hosts.
    pub const ENVELOPE: &str = "/peer/mail";
    /// Who a control host is.
    pub const IDENTITY: &str = "/peer/identity";
    /// A question for a newer configuration.
    pub const VIEW: &str = "/peer/view";
    /// A claim.
    pub const CLAIM: &str = "/peer/claim";
    /// The outcome of a claimed request.
    pub const SETTLE: &str = "/peer/settle";
    /// A usage report.
    pub const USAGE: &str = "/peer/usage";
    /// A question for a newer edition of the deployment.
    pub const DEPLOYMENT: &str = "/peer/deployment";
    /// A request to be taken into the control group.
    pub const JOIN: &str = "/peer/join";
    /// A front's usage by windows.
    pub const TALLY: &str = "/peer/tally";
    /// An attempt, to an agent.
    pub const ATTEMPT: &str = "/peer/attempt";
    /// Distinguishes the seal of an answer from that of its question.
    pub const RESPONSE: &str = "/peer/answer";
}

/// Messages from one control host to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// Where the sender is reached; a host that joins knows no other way to answer.
    pub address: SocketAddr,
    /// The receiver; a host with another identity drops the mail.
    pub to: MemberId,
    /// The messages, oldest first.
    pub messages: Vec<Message>,
}

/// The part of the system a follower of the configuration plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubscriberRole {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// Asks for a configuration newer than the one held.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViewRequest {
    /// The host that asks.
    pub host: HostName,
    /// What it is.
    pub role: SubscriberRole,
    /// Its run.
    pub incarnation: Incarnation,
    /// The revision it holds.
    pub revision: Revision,
    /// How long the answer may wait for a newer one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_wait: Duration,
}

/// What brings a follower up to date.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViewResponse {
    /// The changes.
    pub update: Update,
    /// How long the follower may go by it, counted from the moment it asked.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: Duration,
    /// The control hosts.
    pub control_hosts: Vec<SocketAddr>,
}

/// Asks for an edition of the deployment newer than the one held.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeploymentRequest {
    /// The host that asks.
    pub host: HostName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The edition it holds.
    pub generation: u64,
    /// The version of the directory that it holds.
    pub directory_version: u64,
    /// How long the answer may wait for a newer one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_wait: Duration,
}

/// What brings a follower of the deployment up to date.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeploymentResponse {
    /// The deployment; none if the follower has the newest edition.
    pub snapshot: Option<DeploymentSnapshot>,
    /// The directory, if the host leads and the follower has another one.
    pub directory: Option<Directory>,
    /// How long ago the directory was read, if the host leads and has read it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub directory_age: Option<Duration>,
    /// Where the leader is reached, as far as is known.
    pub leader: Option<SocketAddr>,
    /// How long the follower may go by it, counted from the moment it asked.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: Duration,
    /// The control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// How many processes follow the deployment here.
    pub subscribers: u64,
    /// Unix time in milliseconds.
    pub unix_ms: u64,
}

/// A front's usage of windows that are not sealed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TallyRequest {
    /// The front's host.
    pub host: HostName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Runs by account, for each window.
    pub windows: Vec<(u64, Runs)>,
}

/// Claims a request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The account.
    pub account: AccountName,
    /// The request key.
    pub key: RequestKey,
    /// A digest of the request.
    pub fingerprint: Fingerprint,
    /// The one attempt that may run.
    pub attempt: AttemptId,
}

/// Notes what became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SettleRequest {
    /// The account.
    pub account: AccountName,
    /// The request key.
    pub key: RequestKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// What became of it.
    pub settlement: Settlement,
}

/// The answer of a control host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerResponse<T> {
    /// Done.
    Done(T),
    /// Ask the leader instead, if its address is known.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    /// Not done now, and it may be unknown whether it will be.
    Unavailable,
}
