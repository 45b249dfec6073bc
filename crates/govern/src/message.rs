//! Inputs and outputs of a control host's core.

use std::net::SocketAddr;
use std::time::Duration;

use agree::{
    Lease,
    Member,
    MemberChange,
    MemberError,
    MemberId,
    Message,
    NodeStatus,
    Record,
    SnapshotMeta, //
};
use bytes::Bytes;
use conf::{
    Proposal,
    Update, //
};
use ids::{
    Incarnation,
    Index,
    PartId,
    Revision,
    Term,
    Tick,
    Ticket, //
};
use plan::{
    DeploymentSnapshot,
    Directory,
    Distributor,
    Document, //
};
use quarantine::{
    Evidence,
    Quarantine, //
};
use rollout::{
    Decision,
    FrontTally,
    Order,
    OrderRequest,
    Progress,
    Stages, //
};
use serde_bytes::ByteBuf;
use usage::{
    Statement,
    Tally,
    Window, //
};

use crate::command::{
    Command,
    Outcome, //
};
use crate::rollout::RolloutOptions;
use crate::subscribers::{
    Subscriber,
    SubscriberId, //
};

/// Options of a control host that serves a plan.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    /// This host as a member, sent in its requests to join.
    pub member: Member,
    /// The availability zone of this host.
    pub zone: String,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Length of a usage window of the wall clock.
    pub usage_window: Duration,
    /// How many voters may fail at once. The group never shrinks by itself to fewer voters than
    /// tolerate that.
    pub tolerated: usize,
    /// How long a new leader waits before its first usage report, so that the report follows the
    /// predecessor's last one.
    pub report_delay: Duration,
    /// Options for rollouts; none if the host accepts none.
    pub rollouts: Option<RolloutOptions>,
}

/// Options of a control host's core.
#[derive(Clone, Debug)]
pub struct Options {
    /// Options of the consensus node.
    pub node: agree::NodeConfig,
    /// Unix time at the core's start, in milliseconds.
    pub unix_ms: u64,
    /// Length of a usage window of agents' reports.
    pub usage_window: Duration,
    /// Options for serving a plan; none if the host serves no plan.
    pub plan: Option<PlanOptions>,
}

/// A request from an operator or another process.
#[derive(Clone, Debug)]
pub enum Request {
    /// Propose a change of the configuration.
    Propose(Proposal),
    /// Replicate and apply another command.
    Command(Command),
    /// Wait for a configuration other than the one held: the subscriber, the revision that it holds
    /// and how long it waits.
    View(SubscriberId, Revision, Duration),
    /// Read the whole configuration, with a leader's confirmation.
    Config,
    /// Change the members of the control group.
    Member(MemberChange),
    /// Read this host's status, without confirmation.
    Status,
    /// Wait for a deployment of another generation, a newer directory or another quarantine: the
    /// subscriber, the versions that it holds and how long it waits.
    Deployment(SubscriberId, DeploymentVersions, Duration),
    /// Wait, as a distributor, for a newer deployment or directory or another quarantine. Only the
    /// leader replies to it.
    Feed(Box<FeedRequest>),
    /// Read the plan document, with a leader's confirmation.
    Document,
    /// Add a host to the control group.
    Join(Member),
    /// Remove a member that is about to stop, if the group can do without it.
    Leave(MemberId),
    /// Record a process's counts for usage windows.
    Tally(Tally),
    /// Record what a front knows of prompt parts that crash engines. It replaces what the front
    /// reported before.
    Evidence(SubscriberId, Evidence),
    /// Order a rollout.
    Order(OrderRequest),
    /// Read the orders of rollouts, with a leader's confirmation.
    Orders,
    /// Record a front's counts of the responses of both versions of rollouts. They replace what the
    /// front reported before.
    FrontCounts(SubscriberId, FrontTally),
}

/// The versions that a subscriber of the deployment holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentVersions {
    /// The deployment's generation.
    pub generation: u64,
    /// The directory's version.
    pub directory: u64,
    /// The quarantine's version.
    pub quarantine: u64,
    /// The version of the stages of rollouts.
    pub rollouts: u64,
}

/// Brings a subscriber of the deployment up to date.
#[derive(Clone, Debug)]
pub struct DeploymentReply {
    /// The deployment; none if the subscriber holds this generation.
    pub snapshot: Option<DeploymentSnapshot>,
    /// The directory, if the subscriber's version is lower.
    pub directory: Option<Directory>,
    /// Time since the leader read the directory; none if this host has no directory.
    pub directory_age: Option<Duration>,
    /// The leader's address, if known.
    pub leader: Option<SocketAddr>,
    /// The control hosts' addresses.
    pub hosts: Vec<SocketAddr>,
    /// How many processes subscribe to the deployment, as estimated by this host.
    pub subscribers: usize,
    /// Unix time, in milliseconds.
    pub unix_ms: u64,
    /// The control processes that fronts may poll.
    pub distributors: Vec<Distributor>,
    /// How long the reply is valid, counted from when the subscriber sent its request; none if it
    /// is valid for the configured time.
    pub ttl: Option<Duration>,
    /// The quarantine; none if the subscriber holds this version.
    pub quarantine: Option<Quarantine>,
    /// The stages of rollouts; none if the subscriber holds this version.
    pub rollouts: Option<Stages>,
}

/// A distributor's request for the deployment and the directory.
#[derive(Clone, Debug)]
pub struct FeedRequest {
    /// The process that requests.
    pub id: SubscriberId,
    /// Where fronts reach it.
    pub distributor: Distributor,
    /// How many fronts poll it.
    pub subscribers: usize,
    /// The generation of its deployment; none if it gets the deployment from the replicated log.
    pub generation: Option<u64>,
    /// The version of its directory.
    pub directory: u64,
    /// The version of its quarantine; none if it gets the quarantine from the replicated log.
    pub quarantine: Option<u64>,
    /// The version of its stages of rollouts; none if it gets them from the replicated log.
    pub rollouts: Option<u64>,
    /// The usage that its fronts reported since its last request.
    pub tallies: Vec<Tally>,
    /// What its fronts reported of prompt parts that crash engines.
    pub evidence: Evidence,
    /// What its fronts reported of rollouts.
    pub counts: Vec<FrontTally>,
    /// How long it waits for an update.
    pub max_wait: Duration,
}

/// Brings a distributor up to date.
#[derive(Clone, Debug)]
pub struct FeedReply {
    /// The deployment and the directory.
    pub deployment: DeploymentReply,
    /// The last sealed usage window of the wall clock; none before the first.
    pub last_sealed: Option<u64>,
}

/// Why a request for the feed failed, and what is known about where to send the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The host does not lead; the leader's address, if it named one.
    NotLeader(Option<SocketAddr>),
    /// The host did not respond; the seed hosts that the settings name now.
    Unreachable(Vec<SocketAddr>),
}

/// A batch of messages from one member to another.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// The sender's address.
    pub address: SocketAddr,
    /// The receiver's identity. A host with another identity drops the envelope.
    pub to: MemberId,
    /// The messages, oldest first.
    pub messages: Vec<Message>,
}

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// Messages from another member.
    Envelope(Envelope),
    /// The record with this sequence number is synced to disk.
    Synced(u64),
    /// A request; the reply carries the ticket.
    Request(Ticket, Request),
    /// Whether the billing interface accepted the window with this number.
    WindowDelivered(u64, bool),
    /// Whether the billing interface accepted the statement of this window.
    StatementDelivered(u64, bool),
    /// The pages of the platform's listing of endpoints, just read.
    Listing(Vec<ByteBuf>),
    /// The result of the last [`Output::RequestFeed`].
    Feed(Result<Box<FeedReply>, FeedError>),
    /// Transfer the leadership if this host leads.
    TransferLeadership,
    /// This host is about to stop: transfer the leadership if it leads, and request to leave the
    /// group.
    Leave,
    /// The disk failed: the core stops, and the other members go on without this host.
    Halt,
}

/// The reply to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The result of a command.
    Outcome(Outcome),
    /// The update to the newest configuration, and the control hosts' addresses.
    View(Update, Vec<SocketAddr>),
    /// The configuration: its revision and the changes that produce it from an empty one.
    Config(Revision, Vec<conf::Change>),
    /// Whether the group was changed, a join request recorded, or a member has left.
    Member(Result<(), MemberError>),
    /// This host's status.
    Status(Box<Status>),
    /// The deployment and the directory, each only if the subscriber lacks it.
    Deployment(Box<DeploymentReply>),
    /// The deployment, the directory and the usage windows, for a distributor.
    Feed(Box<FeedReply>),
    /// The plan document; none before the first was installed.
    Document(Option<Document>),
    /// The last sealed usage window of the wall clock; none before the first.
    LastSealed(Option<u64>),
    /// The evidence was recorded, or will be passed on to the leader.
    Recorded,
    /// The newest order of each service.
    Orders(Vec<Order>),
    /// The plan has no service of the order's name.
    UnknownService,
    /// This host does not lead; the leader's address, if known.
    NotLeader(Option<SocketAddr>),
    /// No leader confirmed the request in time. A command may still be applied later.
    Unavailable,
}

/// A control host's status.
#[derive(Clone, Debug)]
pub struct Status {
    /// The time of this status.
    pub now: Tick,
    /// The consensus node's status.
    pub node: NodeStatus,
    /// The revision of the configuration applied here.
    pub revision: Revision,
    /// Log entries in memory.
    pub log_entries: usize,
    /// The size of these entries in bytes, by estimate.
    pub log_bytes: usize,
    /// The size of the journal in bytes, by estimate.
    pub journal_bytes: usize,
    /// Claims in the ledger.
    pub claims: usize,
    /// The members of the control group.
    pub members: Vec<Member>,
    /// The configuration's subscribers that poll this host.
    pub subscribers: Vec<Subscriber>,
    /// Usage windows of agents' reports.
    pub usage: usage::UsageWindows,
}

/// An event for logs and counters.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This host was elected leader of this term.
    Elected(Term),
    /// This host stopped leading in this term.
    SteppedDown(Term),
    /// A command was committed.
    Committed,
    /// A proposal was accepted with this revision, or rejected.
    ProposalDecided(Option<Revision>),
    /// A claim was granted.
    ClaimGranted,
    /// A snapshot up to this index was made; the size of the log in memory before, and that of the
    /// snapshot, in bytes.
    Compacted(Index, usize, usize),
    /// A command was rejected because too many bytes are not committed, or not synced to the disk.
    CommandDeferred,
    /// The leader's snapshot is larger than this host may receive; its size in bytes.
    SnapshotRejected(u64),
    /// The group changed to this many members.
    MembersChanged(usize),
    /// The usage window with this number was sealed.
    WindowSealed(u64),
    /// This host leads, and a prompt part was put into quarantine.
    PartQuarantined(PartId),
    /// This host leads, and a prompt part was released from quarantine.
    PartReleased(PartId),
    /// The leader added to the replicated record of crashes, or started its term with it; the number
    /// of crashes on record.
    CrashesRecorded(usize),
    /// This host leads, and an order of a rollout was accepted, changed its exposure or ended; the
    /// decision, unless the order was accepted.
    RolloutChanged(Box<Progress>, Option<Box<Decision>>),
    /// A committed entry or a snapshot cannot be encoded or decoded, with the reason. The core stops.
    CodecFailed(String),
}

/// An effect that the core requests.
#[derive(Clone, Debug)]
pub enum Output {
    /// Append the record to the journal and sync it, then send [`Input::Synced`] with the number.
    Persist(u64, Record),
    /// Replace snapshot and journal atomically, then send [`Input::Synced`] with the number.
    Rotate(u64, SnapshotMeta, Bytes, Record),
    /// Send a message to a member at an address.
    Send(MemberId, SocketAddr, Message),
    /// Reply to the request with this ticket.
    Reply(Ticket, Reply),
    /// Report a window to the billing interface before the lease expires.
    DeliverWindow(Window, Lease),
    /// Report a statement to the billing interface before the lease expires.
    DeliverStatement(Statement, Lease),
    /// Read the platform's listing of endpoints, then send [`Input::Listing`].
    FetchListing,
    /// Request the feed from the host at this address, then send [`Input::Feed`]. At most one such
    /// request is in progress.
    RequestFeed(SocketAddr, Box<FeedRequest>),
    /// Send the control hosts at these addresses this host's request to join.
    RequestJoin(Member, Vec<SocketAddr>),
    /// Send the control hosts at these addresses this member's request to leave; none if the group
    /// has no other member.
    RequestLeave(MemberId, Vec<SocketAddr>),
    /// Log and count an event.
    Event(Event),
}
