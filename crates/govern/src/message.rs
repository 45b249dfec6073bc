//! What goes in and out of a control host's core.

use std::net::SocketAddr;
use std::time::Duration;

use agree::{
    Authority,
    Member,
    MemberChange,
    MemberError,
    MemberId,
    Message,
    Record,
    SnapshotMeta,
    Standing, //
};
use conf::{
    Proposal,
    Update, //
};
use ids::{
    Index,
    Revision,
    Term,
    Tick,
    Ticket, //
};
use plan::{
    DeploymentSnapshot,
    Directory,
    Document, //
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
use crate::viewers::{
    Viewer,
    ViewerId, //
};

/// What a control host needs to serve a plan.
#[derive(Clone, Debug)]
pub struct PlanSeed {
    /// This host as a member, for its requests to join.
    pub member: Member,
    /// Length of a usage window of the wall clock.
    pub window: Duration,
    /// How long a new leader waits before its first report, so that its predecessor's last one is
    /// older.
    pub settle: Duration,
}

/// What makes a control host.
#[derive(Clone, Debug)]
pub struct Seed {
    /// The agreement's seed.
    pub node: agree::Seed,
    /// Unix time at the core's start, in milliseconds.
    pub wall: u64,
    /// Length of a usage window.
    pub window: Duration,
    /// What the plan needs; none if no plan is served.
    pub plan: Option<PlanSeed>,
}

/// A question from outside.
#[derive(Clone, Debug)]
pub enum Question {
    /// Change the configuration.
    Propose(Proposal),
    /// Run a command of another kind.
    Run(Command),
    /// Tell about a newer configuration: who asks, what it holds, how long it waits.
    View(ViewerId, Revision, Duration),
    /// Tell the whole configuration, confirmed.
    Config,
    /// Change the control group.
    Member(MemberChange),
    /// Tell where this host stands.
    Status,
    /// Tell about a newer edition of the deployment or a newer directory: who asks, what it holds, how
    /// long it waits.
    Deployment(ViewerId, Held, Duration),
    /// Tell the plan's document, confirmed.
    Document,
    /// Take a host into the control group.
    Join(Member),
    /// Take a process's figures of usage windows.
    Tally(Tally),
}

/// What a follower of the deployment holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The deployment's edition.
    pub edition: u64,
    /// The directory's version.
    pub directory: u64,
}

/// What brings a follower of the deployment up to date.
#[derive(Clone, Debug)]
pub struct DeploymentReply {
    /// The deployment; none if the follower has the newest edition.
    pub copy: Option<DeploymentSnapshot>,
    /// The directory, if this host leads and the follower has another one.
    pub directory: Option<Directory>,
    /// How long ago the directory was read, if this host leads and has read it.
    pub age: Option<Duration>,
    /// Where the leader is reached, as far as is known.
    pub leader: Option<SocketAddr>,
    /// Where the control hosts are.
    pub hosts: Vec<SocketAddr>,
    /// How many processes follow the deployment.
    pub followers: usize,
    /// Unix time, in milliseconds.
    pub wall: u64,
}

/// Messages from one member to another.
#[derive(Clone, Debug)]
pub struct Mail {
    /// The sender.
    pub from: MemberId,
    /// Where the sender is reached.
    pub address: SocketAddr,
    /// The identity that is meant; another one drops the mail.
    pub to: MemberId,
    /// The messages, oldest first.
    pub messages: Vec<Message>,
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Messages from another member.
    Mail(Mail),
    /// The record with this number is synced.
    Synced(u64),
    /// A question, to be answered under the ticket.
    Ask(Ticket, Question),
    /// The billing interface accepted a window, or did not.
    Delivered(u64, bool),
    /// The billing interface accepted a window of the wall clock, or did not.
    Billed(u64, bool),
    /// The pages of the list of endpoints, as read now.
    Listed(Vec<ByteBuf>),
    /// Give the leadership away if it is held.
    HandOver,
    /// The disk failed: do nothing any more, so that the others go on without this host.
    Halt,
}

/// An answer.
#[derive(Clone, Debug)]
pub enum Reply {
    /// What a command did.
    Outcome(Outcome),
    /// What brings a follower up to date, and where the control hosts are.
    View(Update, Vec<SocketAddr>),
    /// The configuration: its revision and the changes that build it.
    Config(Revision, Vec<conf::Change>),
    /// The group was changed, or not.
    Member(Result<(), MemberError>),
    /// Where this host stands.
    Status(Box<Status>),
    /// The deployment and what comes with it.
    Deployment(Box<DeploymentReply>),
    /// The plan's document; none before the first.
    Document(Option<Document>),
    /// The last usage window that is sealed.
    Tallied(Option<u64>),
    /// The leader must be asked, if one is known.
    Elsewhere(Option<SocketAddr>),
    /// Nobody can say now; a command may yet be carried out.
    Unavailable,
}

/// Where a control host stands.
#[derive(Clone, Debug)]
pub struct Status {
    /// When this was said.
    pub at: Tick,
    /// The agreement's standing.
    pub standing: Standing,
    /// The revision in force here.
    pub revision: Revision,
    /// Log entries in memory.
    pub log: usize,
    /// Claims kept.
    pub claims: usize,
    /// The control group.
    pub members: Vec<Member>,
    /// The followers that asked here.
    pub viewers: Vec<Viewer>,
    /// The usage book.
    pub book: usage::Book,
}

/// What is worth logging or counting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trace {
    /// This host leads from now on.
    Elected(Term),
    /// This host no longer leads.
    Deposed(Term),
    /// A command was committed.
    Committed,
    /// A proposal was decided: accepted revision, or none.
    Decided(Option<Revision>),
    /// A claim was granted.
    Claimed,
    /// A snapshot was made.
    Compacted(Index),
    /// The group changed.
    Regrouped(usize),
    /// A usage window was sealed.
    Sealed(u64),
    /// A committed entry or a snapshot does not decode; the host must stop.
    Broken(String),
}

/// What the core asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Append to the journal and sync, then say so.
    Persist(u64, Record),
    /// Replace snapshot and journal in one step, then say so.
    Rotate(u64, SnapshotMeta, Vec<u8>, Record),
    /// Send a message to a member at an address.
    Send(MemberId, SocketAddr, Message),
    /// Answer a question.
    Reply(Ticket, Reply),
    /// Report a window to the billing interface, before the authority ends.
    Deliver(Window, Authority),
    /// Report a window of the wall clock to the billing interface, before the authority ends.
    Bill(Statement, Authority),
    /// Read the list of endpoints.
    ReadList,
    /// Ask the control hosts at these addresses to take this host in.
    Seek(Member, Vec<SocketAddr>),
    /// Log or count something.
    Trace(Trace),
}
