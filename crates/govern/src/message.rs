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
use usage::Window;

use crate::command::{
    Command,
    Outcome, //
};
use crate::viewers::{
    Viewer,
    ViewerId, //
};

/// What makes a control host.
#[derive(Clone, Copy, Debug)]
pub struct Seed {
    /// The agreement's seed.
    pub node: agree::Seed,
    /// Unix time at the core's start, in milliseconds.
    pub wall: u64,
    /// Length of a usage window.
    pub window: Duration,
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
    /// Log or count something.
    Trace(Trace),
}
