//! Messages to control hosts and between them.

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
    Directory,
    Distributor, //
};
use quarantine::{
    Evidence,
    Quarantine, //
};
use rollout::{
    FrontTally,
    Stages, //
};
use serde::ser::SerializeStruct;
use serde::{
    Deserialize,
    Serialize,
    Serializer, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};
use usage::{
    Runs,
    Tally, //
};

/// HTTP paths of the messages. Each message is sealed for its path.
pub mod paths {
    /// An [`Envelope`](super::Envelope), from one control host to another.
    pub const ENVELOPE: &str = "/peer/mail";
    /// A request for a control host's identity and host name.
    pub const IDENTITY: &str = "/peer/identity";
    /// A request for a newer configuration.
    pub const VIEW: &str = "/peer/view";
    /// A claim of a request key.
    pub const CLAIM: &str = "/peer/claim";
    /// The outcome of a claimed request.
    pub const SETTLE: &str = "/peer/settle";
    /// An agent's usage report.
    pub const USAGE: &str = "/peer/usage";
    /// A request for a newer deployment or directory.
    pub const DEPLOYMENT: &str = "/peer/deployment";
    /// A distributor's request for a newer deployment or directory, with the usage of its fronts.
    pub const FEED: &str = "/peer/feed";
    /// A request to join the control group.
    pub const JOIN: &str = "/peer/join";
    /// A member's request to leave the control group.
    pub const LEAVE: &str = "/peer/leave";
    /// A front's usage by window.
    pub const TALLY: &str = "/peer/tally";
    /// What a front knows of prompt parts that crash engines.
    pub const EVIDENCE: &str = "/peer/evidence";
    /// A front's counts of the responses of both versions of a rollout.
    pub const ROLLOUT: &str = "/peer/rollout";
    /// An attempt, from an entry to an agent.
    pub const ATTEMPT: &str = "/peer/attempt";
    /// The path that responses are sealed for. It is never requested. It keeps a sealed request
    /// from being accepted as a response.
    pub const RESPONSE: &str = "/peer/answer";
}

/// A batch of consensus messages from one control host to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// The sender's address. A joining host learns the address of its peers only from this field.
    pub address: SocketAddr,
    /// The receiver. A host with another identity drops the envelope.
    pub to: MemberId,
    /// The messages, oldest first.
    pub messages: Vec<Message>,
}

/// The kind of a process that subscribes to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubscriberKind {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
    /// A control process that distributes the deployment.
    Distributor,
}

/// Requests a configuration newer than the subscriber's.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViewRequest {
    /// The subscriber's host.
    pub host: HostName,
    /// The kind of the subscriber.
    pub kind: SubscriberKind,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The revision that the subscriber has.
    pub revision: Revision,
    /// How long the control host may hold the request until a newer one exists.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_wait: Duration,
}

/// The changes that bring a subscriber up to date.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViewResponse {
    /// The changes since the subscriber's revision.
    pub update: Update,
    /// How long the response is valid, counted from the time of the request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: Duration,
    /// The addresses of the control hosts.
    pub control_hosts: Vec<SocketAddr>,
}

/// Requests a deployment or directory newer than the subscriber's, or another quarantine or other
/// stages of rollouts.
// Fields at the end that are 0 are not sent, so that processes of the versions before accept the
// message.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct DeploymentRequest {
    /// The subscriber's host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The generation of the deployment that the subscriber has.
    pub generation: u64,
    /// The version of the directory that the subscriber has.
    pub directory_version: u64,
    /// How long the control host may hold the request until a newer one exists.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_wait: Duration,
    /// The version of the quarantine that the subscriber has.
    #[serde(default)]
    pub quarantine_version: u64,
    /// The version of the stages of rollouts that the subscriber has.
    #[serde(default)]
    pub rollout_version: u64,
}

impl Serialize for DeploymentRequest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let tail = sent([self.quarantine_version != 0, self.rollout_version != 0]);
        let mut out = s.serialize_struct("DeploymentRequest", 5 + tail)?;
        out.serialize_field("host", &self.host)?;
        out.serialize_field("incarnation", &self.incarnation)?;
        out.serialize_field("generation", &self.generation)?;
        out.serialize_field("directory_version", &self.directory_version)?;
        out.serialize_field("max_wait", &Millis(self.max_wait))?;
        if tail > 0 {
            out.serialize_field("quarantine_version", &self.quarantine_version)?;
        }
        if tail > 1 {
            out.serialize_field("rollout_version", &self.rollout_version)?;
        }
        out.end()
    }
}

/// The deployment and directory that bring a subscriber up to date.
// Fields at the end that are `None` are not sent, so that processes of the versions before accept
// the message.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct DeploymentResponse {
    /// The deployment; `None` if the subscriber has the newest generation.
    pub snapshot: Option<DeploymentSnapshot>,
    /// The directory, if the control host has a newer version than the subscriber.
    pub directory: Option<Directory>,
    /// The time since the leader read the directory; `None` if the control host has none.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub directory_age: Option<Duration>,
    /// The leader's address, if known.
    pub leader: Option<SocketAddr>,
    /// How long the response is valid, counted from the time of the request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: Duration,
    /// The addresses of the control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// Number of processes that subscribe to the deployment.
    pub subscribers: u64,
    /// The control host's Unix time in milliseconds.
    pub unix_ms: u64,
    /// The control processes that serve this request's path.
    pub distributors: Vec<Distributor>,
    /// The quarantine, if the control host has another version than the subscriber.
    #[serde(default)]
    pub quarantine: Option<Quarantine>,
    /// The stages of rollouts, if the control host has another version than the subscriber.
    #[serde(default)]
    pub rollouts: Option<Stages>,
}

impl Serialize for DeploymentResponse {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let tail = sent([self.quarantine.is_some(), self.rollouts.is_some()]);
        let mut out = s.serialize_struct("DeploymentResponse", 9 + tail)?;
        out.serialize_field("snapshot", &self.snapshot)?;
        out.serialize_field("directory", &self.directory)?;
        out.serialize_field("directory_age", &self.directory_age.map(Millis))?;
        out.serialize_field("leader", &self.leader)?;
        out.serialize_field("ttl", &Millis(self.ttl))?;
        out.serialize_field("control_hosts", &self.control_hosts)?;
        out.serialize_field("subscribers", &self.subscribers)?;
        out.serialize_field("unix_ms", &self.unix_ms)?;
        out.serialize_field("distributors", &self.distributors)?;
        if tail > 0 {
            out.serialize_field("quarantine", &self.quarantine)?;
        }
        if tail > 1 {
            out.serialize_field("rollouts", &self.rollouts)?;
        }
        out.end()
    }
}

/// A distributor's request for a deployment or directory newer than its own. Only the leader
/// answers it.
// Fields at the end that are empty are not sent, so that processes of the versions before accept the
// message.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct FeedRequest {
    /// The distributor's host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Where fronts reach the distributor.
    pub distributor: Distributor,
    /// Number of fronts that poll the distributor.
    pub subscribers: u64,
    /// The generation of the distributor's deployment; `None` if it gets the deployment from the
    /// replicated log.
    pub generation: Option<u64>,
    /// The version of the distributor's directory.
    pub directory_version: u64,
    /// The usage that its fronts reported since its last request.
    pub tallies: Vec<Tally>,
    /// How long the leader may hold the request until a newer deployment or directory exists.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_wait: Duration,
    /// What the distributor has and knows of prompt parts that crash engines.
    #[serde(default)]
    pub quarantine: QuarantineReport,
    /// What the distributor has and knows of rollouts.
    #[serde(default)]
    pub rollouts: RolloutReport,
}

impl Serialize for FeedRequest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let quarantine = self.quarantine != QuarantineReport::default();
        let tail = sent([quarantine, self.rollouts != RolloutReport::default()]);
        let mut out = s.serialize_struct("FeedRequest", 8 + tail)?;
        out.serialize_field("host", &self.host)?;
        out.serialize_field("incarnation", &self.incarnation)?;
        out.serialize_field("distributor", &self.distributor)?;
        out.serialize_field("subscribers", &self.subscribers)?;
        out.serialize_field("generation", &self.generation)?;
        out.serialize_field("directory_version", &self.directory_version)?;
        out.serialize_field("tallies", &self.tallies)?;
        out.serialize_field("max_wait", &Millis(self.max_wait))?;
        if tail > 0 {
            out.serialize_field("quarantine", &self.quarantine)?;
        }
        if tail > 1 {
            out.serialize_field("rollouts", &self.rollouts)?;
        }
        out.end()
    }
}

/// What a distributor has and knows of rollouts.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutReport {
    /// The version of the distributor's stages; 0 if it gets them from the replicated log.
    pub version: u64,
    /// What its fronts reported since its last request.
    pub tallies: Vec<FrontTally>,
}

/// What a distributor has and knows of prompt parts that crash engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineReport {
    /// The version of the distributor's quarantine; 0 if it gets the quarantine from the replicated
    /// log.
    pub version: u64,
    /// What its fronts reported since its last request.
    pub evidence: Evidence,
}

/// Brings a distributor up to date.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FeedResponse {
    /// The deployment and directory.
    pub deployment: DeploymentResponse,
    /// The last sealed usage window.
    pub last_sealed: Option<u64>,
}

/// Reports a front's usage in unsealed windows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TallyRequest {
    /// The front's host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The executions by account, for each window.
    pub windows: Vec<(u64, Runs)>,
}

/// Reports what a front knows of prompt parts that crash engines.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EvidenceRequest {
    /// The front's host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The evidence. It replaces what this process reported before.
    pub evidence: Evidence,
}

/// Reports a front's counts of the responses of both versions of each rollout. The response is
/// [`PeerResponse::Done`] once the control host has the counts.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutRequest {
    /// The counts. They replace those that this process reported before.
    pub report: FrontTally,
}

/// Claims the execution of a request that must be executed at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The account.
    pub account: AccountName,
    /// The caller's request key.
    pub key: RequestKey,
    /// A digest of the request, which detects a different request with the same key.
    pub fingerprint: Fingerprint,
    /// The only attempt that may be executed.
    pub attempt: AttemptId,
}

/// Records the outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SettleRequest {
    /// The account.
    pub account: AccountName,
    /// The caller's request key.
    pub key: RequestKey,
    /// The attempt that was executed.
    pub attempt: AttemptId,
    /// The outcome.
    pub settlement: Settlement,
}

/// The response of a control host to a peer's request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerResponse<T> {
    /// The request succeeded, with its result.
    Done(T),
    /// The host is not the leader. The request must be sent to the leader, whose address is given
    /// if known.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    /// The request did not succeed. A command may still be applied later.
    Unavailable,
}

/// A duration that is sent in milliseconds.
#[serde_as]
#[derive(Serialize)]
struct Millis(#[serde_as(as = "DurationMilliSeconds<u64>")] Duration);

/// How many of the fields at the end of a message are sent, given which of them are not empty. The
/// fields have no names, so those before one that is sent are sent too.
fn sent<const N: usize>(filled: [bool; N]) -> usize {
    filled
        .iter()
        .rposition(|filled| *filled)
        .map_or(0, |last| last + 1)
}
